#include "process/RegistryBounds.h"

namespace wrenhinge {

namespace {

    /// Entries that nobody renews any more are dropped every second.
    constexpr Duration comeBackAfter = 1s;

    Error full(const std::string& what) { return { ResultCode::Overloaded, what, comeBackAfter }; }

    std::size_t idsOf(const ReplicaRegistry& registry) { return registry.entries().size() + registry.withdrawn().size(); }

} // namespace

std::optional<Error> RegistryBounds::refuses(const ReplicaRegistry& registry, const Announcement& announcement, Instant now)
{
    if (registry.entries().contains(announcement.id))
        return std::nullopt;
    if (idsOf(registry) >= mostIds)
        return full("`id` is new, and " + std::to_string(mostIds) + " replicas are known or remembered; wait until some are forgotten");
    count(registry, now);
    auto it = m_ofService.find(announcement.service);
    if (it != m_ofService.end() && it->second >= mostOfService)
        return full("`service` has " + std::to_string(it->second) + " replicas, which is the most; wait until some have ended");
    ++m_ofService[announcement.service];
    return std::nullopt;
}

std::optional<Error> RegistryBounds::refuses(const ReplicaRegistry& registry, const std::string& withdrawn)
{
    bool isKnown = registry.entries().contains(withdrawn) || registry.withdrawn().contains(withdrawn);
    if (isKnown || idsOf(registry) < mostIds)
        return std::nullopt;
    return full("`id` is not known here, and no more can be remembered for now");
}

void RegistryBounds::count(const ReplicaRegistry& registry, Instant now)
{
    if (m_countedAt && now - *m_countedAt < countAgainAfter)
        return;
    m_countedAt = now;
    m_ofService.clear();
    for (const auto& [id, entry] : registry.entries())
        ++m_ofService[entry.announcement.service];
}

} // namespace wrenhinge
