#include "request/engine/StagePlan.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace wrenhinge::stages {

namespace {

    /// The utilization of the busier stage with this split. Prompts queue at a prefill replica, so that stage needs more replicas than it
    /// keeps busy: by a margin of half the square root of that number, which keeps queues equally short at any size. With a proportional
    /// margin, a site of eleven engines was left with two prefill replicas for a load of 1.4, and first events waited for 0.6 s in surges;
    /// at a site of forty, too few prefill replicas were moved.
    constexpr double prefillMargin = 0.5;
    double maxUtilization(const Pool& pool, std::size_t prefill, std::size_t decode)
    {
        auto neededPrefill = pool.prefillLoad + prefillMargin * std::sqrt(pool.prefillLoad);
        return std::max(neededPrefill / static_cast<double>(prefill), pool.decodeLoad / static_cast<double>(decode));
    }

    /// The best number of prefill replicas among this many engines.
    std::size_t bestPrefill(const Pool& pool, std::size_t engines)
    {
        std::size_t best = 1;
        for (std::size_t n = 2; n < engines; ++n) {
            if (maxUtilization(pool, n, engines - n) < maxUtilization(pool, best, engines - best))
                best = n;
        }
        return best;
    }

    std::size_t countOf(const Pool& pool, UpstreamKind kind)
    {
        return static_cast<std::size_t>(
            std::count_if(pool.engines.begin(), pool.engines.end(), [kind](const Engine& engine) { return engine.kind == kind; }));
    }

    /// Chooses an engine from the zone with the most engines of this kind, so that the remaining ones stay spread over zones.
    const Engine& engineToChange(const Pool& pool, UpstreamKind from)
    {
        std::map<std::string, int> byZone;
        for (const auto& engine : pool.engines)
            byZone[engine.zone] += engine.kind == from ? 1 : 0;
        const Engine* best = nullptr;
        for (const auto& engine : pool.engines) {
            if (engine.kind == from && (!best || byZone[engine.zone] > byZone[best->zone]))
                best = &engine;
        }
        return *best;
    }

} // namespace

std::optional<Change> plan(const Pool& pool)
{
    auto currentPrefill = countOf(pool, UpstreamKind::Prefill);
    auto currentDecode = countOf(pool, UpstreamKind::Decode);
    auto prefill = currentPrefill + pool.becomingPrefill;
    auto decode = currentDecode + pool.becomingDecode;
    if (!prefill || !decode)
        return std::nullopt;
    auto now = maxUtilization(pool, prefill, decode);
    auto best = bestPrefill(pool, prefill + decode);
    bool isWorthIt = now >= minLoad && now >= minGain * maxUtilization(pool, best, prefill + decode - best);
    if (!isWorthIt)
        return std::nullopt;
    if (best < prefill && currentPrefill)
        return Change { engineToChange(pool, UpstreamKind::Prefill), UpstreamKind::Decode };
    bool isPrefillBusy = pool.prefillLoad >= minPrefillLoad * static_cast<double>(prefill);
    if (best > prefill && currentDecode && isPrefillBusy)
        return Change { engineToChange(pool, UpstreamKind::Decode), UpstreamKind::Prefill };
    return std::nullopt;
}

} // namespace wrenhinge::stages
