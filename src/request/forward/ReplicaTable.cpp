#include "request/forward/ReplicaTable.h"

#include <algorithm>
#include <tuple>

namespace wrenhinge {

namespace {

    /// After this long without word from a controller, missing announcements don't count against a replica, so that a gateway that is
    /// cut off from the controllers continues to serve.
    constexpr Duration controllerTimeout = 3s;
    constexpr Duration minBackoff = 400ms;
    constexpr Duration maxBackoff = 6s;
    /// Weight of the newest call in the moving averages, which thus cover about the last ten calls.
    constexpr double newestWeight = 0.15;
    /// Estimated cost of the output of a call in progress, in prompt tokens.
    constexpr double tokensPerCall = 1500;
    /// A call to another availability zone costs a round trip and traffic between zones; this outweighs at most a tenth of a call's cost.
    constexpr double otherZonePenalty = 1.1;
    /// Lower bound of the success rate, so that a replica that failed every call is still tried occasionally and can recover.
    constexpr double minSuccessRate = 0.04;
    constexpr double minCallSeconds = 0.002;

} // namespace

double ReplicaTable::costOf(
    const ReplicaRegistry::Entry& entry, const Load& load, const EngineHeadroomTable::Headroom* headroom, const Criteria& criteria) const
{
    const auto& announcement = entry.announcement;
    double cost = 0;
    if (criteria.cacheTokens && headroom) {
        auto usedTokens = criteria.kind == UpstreamKind::Prefill ? headroom->prefillBacklog
                                                                 : criteria.cacheTokens - std::min(criteria.cacheTokens, headroom->tokens);
        cost = static_cast<double>(usedTokens) + criteria.tokens;
    } else if (criteria.cacheTokens) {
        cost = static_cast<double>(load.tokens) + tokensPerCall * load.calls + criteria.tokens;
        // A replica that runs out of KV memory must preempt or queue requests.
        if (load.tokens + criteria.tokens > criteria.cacheTokens)
            cost *= 4;
    } else {
        cost = (load.calls + 1.0) / std::max(1u, announcement.slots) * std::max(load.meanSeconds, minCallSeconds);
    }
    double success = std::max(minSuccessRate, 1 - load.failureRate);
    cost /= success * success;
    const auto& zone = criteria.preferredZone.empty() ? m_zone : criteria.preferredZone;
    return announcement.zone == zone ? cost : cost * otherZonePenalty;
}

std::string ReplicaTable::describe(const ReplicaRun& run) const
{
    const auto* entry = m_registry.find(run);
    return toString(run) + " software " + (entry ? entry->announcement.softwareVersion : "unknown");
}

std::string ReplicaTable::zoneOf(const ReplicaRun& run) const
{
    const auto* entry = m_registry.find(run);
    return entry ? entry->announcement.zone : std::string();
}

bool ReplicaTable::isSuspect(const ReplicaRegistry::Entry& entry, const Load& load, Instant now) const
{
    bool hearsControllers = now - m_controllerHeardAt < controllerTimeout;
    return load.backoffUntil > now || (hearsControllers && entry.isSilent(now));
}

/// A replica without a stage (UpstreamKind::Plain) serves both prefill and decode.
bool ReplicaTable::serves(const Announcement& announcement, const Criteria& criteria)
{
    bool isOfKind = announcement.kind == criteria.kind || announcement.kind == UpstreamKind::Plain;
    bool isOfVersion = !criteria.softwareVersion || announcement.softwareVersion == *criteria.softwareVersion;
    return announcement.service == criteria.service && isOfKind && isOfVersion && announcement.state == ReplicaState::Ready;
}

bool ReplicaTable::hasReady(const Criteria& criteria) const
{
    const auto& entries = m_registry.entries();
    return std::any_of(entries.begin(), entries.end(), [&](const auto& item) {
        const auto& announcement = item.second.announcement;
        const auto* load = findLoad(announcement.run());
        return serves(announcement, criteria) && !(load && load->isLeaving);
    });
}

std::optional<std::string> ReplicaTable::softwareVersionOf(const std::string& id) const
{
    auto it = m_registry.entries().find(id);
    return it == m_registry.entries().end() ? std::nullopt : std::optional(it->second.announcement.softwareVersion);
}

std::optional<ReplicaTable::Choice> ReplicaTable::choose(const Criteria& criteria, const std::set<ReplicaRun>& tried, Instant now)
{
    const ReplicaRegistry::Entry* best = nullptr;
    std::tuple<bool, bool, bool, double> bestRank;
    for (const auto& [id, entry] : m_registry.entries()) {
        if (!serves(entry.announcement, criteria) || entry.isChanging(now) || m_registry.isDisplaced(entry))
            continue;
        // While all engines of the subset are full, those outside it are about as full, and their sidecars would have to be asked one by
        // one.
        bool isOutsideSubset = !m_subset.contains(entry.announcement);
        bool hasBestInSubset = best && !std::get<0>(bestRank);
        if (isOutsideSubset && (criteria.excludeFull || hasBestInSubset))
            continue;
        auto run = entry.announcement.run();
        if (tried.contains(run))
            continue;
        const auto& load = m_loads[run];
        const auto* headroom = m_engineHeadroom.find(entry.announcement.address);
        // A reservation is made at the engine's sidecar, which admits no more requests than the engine runs at once, from all gateways.
        bool isAdmittedBySidecar = criteria.excludeFull && headroom;
        bool isAtLimit = criteria.maxCalls && load.calls >= criteria.maxCalls && !isAdmittedBySidecar;
        bool isFull = load.fullUntil > now || (headroom && headroom->tokens < criteria.minFreeTokens);
        if (criteria.excludeOverdue && entry.isOverdue(now))
            continue;
        bool isResting = load.restsUntil > now || (load.isOnTrial && load.calls > 0);
        if (load.isLeaving || isResting || isAtLimit || load.misdirectedUntil > now || (criteria.excludeFull && isFull))
            continue;
        // For an engine whose free memory isn't known, only this gateway's own calls are counted, which are the smallest part of its load.
        bool hasUnknownHeadroom = criteria.promptTokens && !headroom;
        // Random noise of up to a tenth, so that gateways that see the same idle replicas don't all choose the same one.
        double cost = costOf(entry, load, headroom, criteria) * std::uniform_real_distribution<double>(1, 1.1)(m_random);
        std::tuple rank(isOutsideSubset, isSuspect(entry, load, now), hasUnknownHeadroom, cost);
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
        load.meanSeconds += (toSeconds(took) - load.meanSeconds) * (load.meanSeconds > 0 ? newestWeight : 1);
        load.failureRate -= load.failureRate * newestWeight;
        load.backoff = {};
        break;
    case CallOutcome::Failed:
        load.failureRate += (1 - load.failureRate) * newestWeight;
        break;
    case CallOutcome::Refused:
    case CallOutcome::Unreachable:
        load.backoff = std::clamp<Duration>(load.backoff * 2, minBackoff, maxBackoff);
        load.backoffUntil = now + (outcome == CallOutcome::Refused ? minBackoff : load.backoff);
        break;
    case CallOutcome::Misdirected:
        load.misdirectedUntil = now + m_registry.times().nextWithin();
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

bool ReplicaTable::takesCalls(const ReplicaRun& run, Instant now) const
{
    const auto* load = findLoad(run);
    return isReady(run) && !(load && (load->isLeaving || load->restsUntil > now));
}

const ReplicaTable::Load* ReplicaTable::findLoad(const ReplicaRun& run) const
{
    auto it = m_loads.find(run);
    return it == m_loads.end() ? nullptr : &it->second;
}

void ReplicaTable::noteRest(const ReplicaRun& run, Instant until)
{
    auto& load = m_loads[run];
    load.restsUntil = std::max(load.restsUntil, until);
    load.isOnTrial = true;
}

void ReplicaTable::noteAnswer(const ReplicaRun& run, Instant calledAt)
{
    auto it = m_loads.find(run);
    if (it != m_loads.end() && calledAt >= it->second.restsUntil)
        it->second.isOnTrial = false;
}

bool ReplicaTable::noteLeaving(const ReplicaRun& run) { return !std::exchange(m_loads[run].isLeaving, true); }

std::optional<Instant> ReplicaTable::allRestUntil(const Criteria& criteria, Instant now) const
{
    std::optional<Instant> first;
    for (const auto& [id, entry] : m_registry.entries()) {
        const auto* load = findLoad(entry.announcement.run());
        if (!serves(entry.announcement, criteria) || (load && load->isLeaving))
            continue;
        if (!load || load->restsUntil <= now)
            return std::nullopt;
        first = std::min(first.value_or(Instant::max()), load->restsUntil);
    }
    return first;
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
