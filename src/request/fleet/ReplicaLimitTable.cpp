#include "request/fleet/ReplicaLimitTable.h"

#include <algorithm>
#include <limits>
#include <xxhash.h>

namespace wrenhinge {

namespace {

    double valueOf(const std::optional<double>& limit) { return limit.value_or(std::numeric_limits<double>::infinity()); }

} // namespace

std::optional<ReplicaRateLimit> ReplicaLimitTable::observe(
    const ReplicaRun& run, const StatedRateLimit& stated, Instant calledAt, Instant now)
{
    auto it = m_entries.find(run);
    auto known = it != m_entries.end() ? it->second : Entry();
    bool isUnreadable = stated.isStated && !stated.perSecond;
    if (isUnreadable || stated.perSecond == known.perSecond)
        return std::nullopt;
    bool isHigher = valueOf(stated.perSecond) > valueOf(known.perSecond);
    if (isHigher && calledAt <= known.changedAt)
        return std::nullopt;
    m_entries[run] = { stated.perSecond, known.revision + 1, now };
    return ReplicaRateLimit { run.id, run.start, stated.perSecond, known.revision + 1 };
}

std::vector<ReplicaRateLimit> ReplicaLimitTable::take(const std::vector<ReplicaRateLimit>& changes, Instant now)
{
    std::vector<ReplicaRateLimit> news;
    for (const auto& change : changes) {
        auto [it, isNew] = m_entries.try_emplace(change.run());
        auto& entry = it->second;
        bool isLater = change.revision > entry.revision;
        bool isLower = change.revision == entry.revision && valueOf(change.perSecond) < valueOf(entry.perSecond);
        if (!isNew && !isLater && !isLower)
            continue;
        entry = { change.perSecond, change.revision, now };
        news.push_back(change);
    }
    return news;
}

std::vector<ReplicaRateLimit> ReplicaLimitTable::all() const
{
    std::vector<ReplicaRateLimit> list;
    for (const auto& [run, entry] : m_entries)
        list.push_back({ run.id, run.start, entry.perSecond, entry.revision });
    return list;
}

std::map<ReplicaRun, double> ReplicaLimitTable::limits() const
{
    std::map<ReplicaRun, double> limits;
    for (const auto& [run, entry] : m_entries) {
        if (entry.perSecond)
            limits.emplace(run, std::max(minRequestsPerSecond, *entry.perSecond));
    }
    return limits;
}

std::map<LimitId, double> ReplicaLimitTable::limitsById() const
{
    std::map<LimitId, double> byId;
    for (const auto& [run, perSecond] : limits())
        byId.emplace(limitId(run), perSecond);
    return byId;
}

bool ReplicaLimitTable::hasLimits() const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [](const auto& item) { return item.second.perSecond.has_value(); });
}

std::vector<ReplicaRun> ReplicaLimitTable::dropEnded(const ReplicaRegistry& registry, Instant now)
{
    std::vector<ReplicaRun> dropped;
    std::erase_if(m_entries, [&](const auto& item) {
        const auto& [run, entry] = item;
        auto newest = registry.newestRun(run.id);
        // The newest run is also returned if it has ended.
        bool hasEnded = newest && !registry.find(run) && !newest->isBefore(run);
        bool isForgotten = !newest && now - entry.changedAt > unknownRetention;
        if (!hasEnded && !isForgotten)
            return false;
        dropped.push_back(run);
        return true;
    });
    return dropped;
}

LimitId limitId(const ReplicaRun& run)
{
    auto text = toString(run);
    return LimitId(XXH3_64bits(text.data(), text.size()));
}

} // namespace wrenhinge
