#include "request/forward/ReplicaTable.h"

#include <algorithm>
#include <tuple>

namespace wrenhinge {

namespace {

    /// Without a controller for this long nobody's silence means anything: a gateway that is cut off serves on.
    constexpr Duration controllersGoneAfter = 3s;
    constexpr Duration firstAvoidance = 400ms;
    constexpr Duration longestAvoidance = 6s;
    /// A replica announces itself every 1.2 s, and its announcement takes up to 0.8 s. One that has changed its stage unnoticed, by an
    /// order that was carried out late, was asked again every 0.4 s and refused 106 calls of 176 requests in 10 s.
    constexpr Duration untilAnnounced = 2s;
    /// Weight of the newest call in the running means: the last ten or so count.
    constexpr double newest = 0.15;
    /// A call in progress is taken to cost as much as this many tokens of prompt, for its output.
    constexpr double tokensPerCall = 1500;
    /// Another zone costs a round trip and bytes between zones: worth a tenth of a call's time, not more.
    constexpr double otherZonePenalty = 1.1;
    /// A replica that failed every call would still be tried now and then, to learn that it has recovered.
    constexpr double worstSuccess = 0.04;
    constexpr double timeFloor = 0.002;

} // namespace

double ReplicaTable::costOf(
    const ReplicaRegistry::Entry& entry, const Load& load, const EngineHeadroomTable::Headroom* room, const Criteria& need) const
{
    const auto& announcement = entry.announcement;
    double cost = 0;
    if (need.cacheTokens && room) {
        auto taken
            = need.kind == UpstreamKind::Prefill ? room->prefillBacklog : need.cacheTokens - std::min(need.cacheTokens, room->tokens);
        cost = static_cast<double>(taken) + need.tokens;
    } else if (need.cacheTokens) {
        cost = static_cast<double>(load.tokens) + tokensPerCall * load.calls + need.tokens;
        // Beyond its memory a replica must preempt or queue.
        if (load.tokens + need.tokens > need.cacheTokens)
            cost *= 4;
    } else {
        cost = (load.calls + 1.0) / std::max(1u, announcement.slots) * std::max(load.meanSeconds, timeFloor);
    }
    double success = std::max(worstSuccess, 1 - load.failureRate);
    cost /= success * success;
    const auto& near = need.preferredZone.empty() ? m_zone : need.preferredZone;
    return announcement.zone == near ? cost : cost * otherZonePenalty;
}

std::string ReplicaTable::zoneOf(const ReplicaRun& run) const
{
    const auto* entry = m_registry.find(run);
    return entry ? entry->announcement.zone : std::string();
}

bool ReplicaTable::isDoubtful(const ReplicaRegistry::Entry& entry, const Load& load, Instant now) const
{
    bool hearsControllers = now - m_controllerHeardAt < controllersGoneAfter;
    return load.backoffUntil > now || (hearsControllers && entry.isSilent(now));
}

/// A replica without a stage does what both do.
bool ReplicaTable::serves(const Announcement& announcement, const std::string& service, UpstreamKind kind)
{
    bool isOfKind = announcement.kind == kind || announcement.kind == UpstreamKind::Plain;
    return announcement.service == service && isOfKind && announcement.state == ReplicaState::Ready;
}

bool ReplicaTable::hasReady(const std::string& service, UpstreamKind kind) const
{
    const auto& entries = m_registry.entries();
    return std::any_of(entries.begin(), entries.end(), [&](const auto& item) { return serves(item.second.announcement, service, kind); });
}

std::optional<ReplicaTable::Choice> ReplicaTable::choose(const Criteria& need, const std::set<ReplicaRun>& tried, Instant now)
{
    const ReplicaRegistry::Entry* best = nullptr;
    std::tuple<bool, bool, bool, double> bestRank;
    for (const auto& [id, entry] : m_registry.entries()) {
        if (!serves(entry.announcement, need.service, need.kind) || entry.isChanging(now))
            continue;
        // While all engines of the subset are full, the others are as full as these, and their sidecars would have to be asked one by one.
        bool isOutside = !m_subset.contains(entry.announcement);
        bool hasInside = best && !std::get<0>(bestRank);
        if (isOutside && (need.excludeFull || hasInside))
            continue;
        auto run = entry.announcement.run();
        if (tried.contains(run))
            continue;
        const auto& load = m_loads[run];
        bool isAtLimit = need.maxCalls && load.calls >= need.maxCalls;
        const auto* room = m_rooms.find(entry.announcement.address);
        bool isFull = load.fullUntil > now || (room && room->tokens < need.minFreeTokens);
        if (need.excludeOverdue && entry.isOverdue(now))
            continue;
        if (isAtLimit || load.misdirectedUntil > now || (need.excludeFull && isFull))
            continue;
        // An engine whose room is not known looks as idle as this gateway keeps it, which is the least of what it does.
        bool isBlind = need.promptTokens && !room;
        // Gateways that see the same idle replicas must not all take the first: a spread below a tenth breaks ties.
        double cost = costOf(entry, load, room, need) * std::uniform_real_distribution<double>(1, 1.1)(m_random);
        std::tuple rank(isOutside, isDoubtful(entry, load, now), isBlind, cost);
        if (best && rank >= bestRank)
            continue;
        best = &entry;
        bestRank = rank;
    }
    if (!best)
        return std::nullopt;
    return Choice { best->announcement.run(), best->announcement.address };
}

void ReplicaTable::begin(const ReplicaRun& run, std::uint32_t tokens)
{
    auto& load = m_loads[run];
    ++load.calls;
    load.tokens += tokens;
}

void ReplicaTable::end(const ReplicaRun& run, std::uint32_t tokens, CallOutcome outcome, Duration took, Instant now)
{
    release(run, tokens);
    auto& load = m_loads[run];
    switch (outcome) {
    case CallOutcome::Served:
        load.meanSeconds += (toSeconds(took) - load.meanSeconds) * (load.meanSeconds > 0 ? newest : 1);
        load.failureRate -= load.failureRate * newest;
        load.backoff = {};
        break;
    case CallOutcome::Failed:
        load.failureRate += (1 - load.failureRate) * newest;
        break;
    case CallOutcome::Refused:
    case CallOutcome::Unreachable:
        load.backoff = std::clamp<Duration>(load.backoff * 2, firstAvoidance, longestAvoidance);
        load.backoffUntil = now + (outcome == CallOutcome::Refused ? firstAvoidance : load.backoff);
        break;
    case CallOutcome::Misdirected:
        load.misdirectedUntil = now + untilAnnounced;
        break;
    case CallOutcome::Abandoned:
        break;
    }
    bool isForgotten = !load.calls && !m_registry.find(run);
    if (isForgotten)
        m_loads.erase(run);
}

void ReplicaTable::release(const ReplicaRun& run, std::uint32_t tokens)
{
    auto& load = m_loads[run];
    load.calls -= load.calls ? 1 : 0;
    load.tokens -= std::min<std::uint64_t>(load.tokens, tokens);
}

void ReplicaTable::noteFull(const ReplicaRun& run, Instant until)
{
    if (auto it = m_loads.find(run); it != m_loads.end())
        it->second.fullUntil = until;
}

bool ReplicaTable::isReady(const ReplicaRun& run) const
{
    const auto* entry = m_registry.find(run);
    return entry && entry->announcement.state == ReplicaState::Ready;
}

void ReplicaTable::forgetEnded()
{
    std::erase_if(m_loads, [this](const auto& item) { return !item.second.calls && !m_registry.find(item.first); });
}

double ReplicaTable::meanSeconds(const std::string& service, UpstreamKind kind) const
{
    double sum = 0;
    double n = 0;
    for (const auto& [id, entry] : m_registry.entries()) {
        auto it = m_loads.find(entry.announcement.run());
        if (entry.announcement.service != service || entry.announcement.kind != kind || it == m_loads.end() || it->second.meanSeconds <= 0)
            continue;
        sum += it->second.meanSeconds;
        ++n;
    }
    return n > 0 ? sum / n : 0;
}

} // namespace wrenhinge
