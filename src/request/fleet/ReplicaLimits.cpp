#include "request/fleet/ReplicaLimits.h"

#include <algorithm>

namespace wrenhinge {

std::optional<ReplicaRateLimit> ReplicaLimits::observe(const ReplicaRun& run, const StatedRateLimit& stated, Instant calledAt, Instant now)
{
    auto change = m_table.observe(run, stated, calledAt, now);
    if (change)
        applyLimits(now);
    return change;
}

std::vector<ReplicaRateLimit> ReplicaLimits::take(const std::vector<ReplicaRateLimit>& changes, Instant now)
{
    auto news = m_table.take(changes, now);
    if (!news.empty())
        applyLimits(now);
    return news;
}

void ReplicaLimits::dropEnded(const ReplicaRegistry& registry, Instant now)
{
    if (!m_table.dropEnded(registry, now).empty())
        applyLimits(now);
}

void ReplicaLimits::applyLimits(Instant now)
{
    auto limits = m_table.limits();
    std::erase_if(m_limited, [&limits](const auto& item) { return !limits.contains(item.first); });
    for (const auto& [run, perSecond] : limits)
        m_limited.try_emplace(run, Limited { limitId(run), {}, 0, {} });
    m_permits.setLimits(m_table.limitsById(), now);
}

bool ReplicaLimits::mayCall(const ReplicaRun& run, std::uint32_t rank, Instant now)
{
    auto it = m_limited.find(run);
    if (it == m_limited.end())
        return true;
    auto& limited = it->second;
    if (limited.permitUntil && *limited.permitUntil > now)
        return true;
    bool isHolding = limited.refusedAt && now - *limited.refusedAt < urgentHoldTime;
    bool isHeldBack = isHolding && limited.refusedRank < rank;
    if (!isHeldBack && m_permits.tryTake(limited.id, rank, now)) {
        limited.permitUntil = now + permitLifetime;
        return true;
    }
    ++m_refusals;
    if (!isHeldBack) {
        limited.refusedRank = rank;
        limited.refusedAt = now;
    }
    return false;
}

void ReplicaLimits::recordCall(const ReplicaRun& run, Instant now)
{
    auto it = m_limited.find(run);
    if (it == m_limited.end())
        return;
    auto permitUntil = std::exchange(it->second.permitUntil, std::nullopt);
    if (!permitUntil || *permitUntil <= now)
        m_permits.charge(it->second.id, now);
}

void ReplicaLimits::undoCall(const ReplicaRun& run, Instant now)
{
    if (auto it = m_limited.find(run); it != m_limited.end())
        m_permits.putBack(it->second.id, now);
}

PermitBucket* ReplicaLimits::bucketOf(const ReplicaRun& run, Instant now)
{
    auto it = m_limited.find(run);
    return it == m_limited.end() ? nullptr : m_permits.find(it->second.id, now);
}

std::optional<Duration> ReplicaLimits::retryAfter(const std::vector<ReplicaRun>& runs, Instant now)
{
    auto share = m_permits.share();
    PermitBucket* first = nullptr;
    for (const auto& run : runs) {
        auto* bucket = bucketOf(run, now);
        if (!bucket)
            return std::nullopt;
        if (!first || bucket->retryAfter(share, now) < first->retryAfter(share, now))
            first = bucket;
    }
    return first ? std::optional(first->recordRefusal(share, now)) : std::nullopt;
}

std::optional<ReplicaLimits::Usage> ReplicaLimits::usage(const ReplicaRun& run, Instant now)
{
    auto* bucket = bucketOf(run, now);
    return bucket ? std::optional(Usage { bucket->limit(), bucket->remaining(now) }) : std::nullopt;
}

} // namespace wrenhinge
