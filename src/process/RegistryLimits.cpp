#include "process/RegistryLimits.h"

namespace wrenhinge {

namespace {

    /// Entries that nobody renews any more are dropped every second.
    constexpr Duration retryAfter = 1s;

    Error limitReached(const std::string& what) { return { ResultCode::Overloaded, what, retryAfter }; }

    std::size_t idCount(const ReplicaRegistry& registry) { return registry.entries().size() + registry.withdrawn().size(); }

} // namespace

std::optional<Error> RegistryLimits::checkCapacity(const ReplicaRegistry& registry, const Announcement& announcement, Instant now)
{
    if (registry.entries().contains(announcement.id))
        return std::nullopt;
    if (idCount(registry) >= maxIds)
        return limitReached(
            "`id` is new, and " + std::to_string(maxIds) + " replicas are known or remembered; wait until some are forgotten");
    count(registry, now);
    auto it = m_replicasPerService.find(announcement.service);
    if (it != m_replicasPerService.end() && it->second >= maxReplicasPerService)
        return limitReached("`service` has " + std::to_string(it->second) + " replicas, which is the most; wait until some have ended");
    ++m_replicasPerService[announcement.service];
    return std::nullopt;
}

std::optional<Error> RegistryLimits::checkCapacity(const ReplicaRegistry& registry, const std::string& withdrawn)
{
    bool isKnown = registry.entries().contains(withdrawn) || registry.withdrawn().contains(withdrawn);
    if (isKnown || idCount(registry) < maxIds)
        return std::nullopt;
    return limitReached("`id` is not known here, and no more can be remembered for now");
}

void RegistryLimits::count(const ReplicaRegistry& registry, Instant now)
{
    if (m_countedAt && now - *m_countedAt < recountInterval)
        return;
    m_countedAt = now;
    m_replicasPerService.clear();
    for (const auto& [id, entry] : registry.entries())
        ++m_replicasPerService[entry.announcement.service];
}

} // namespace wrenhinge
