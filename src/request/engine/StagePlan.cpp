#include "request/engine/StagePlan.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace wrenhinge::stages {

namespace {

    /// How busy the busier stage is with this split. Prompts queue at a prefill replica, so that stage needs more replicas than it keeps
    /// busy: more by half the square root of that, which keeps the queue equally short at any size. In proportion, two replicas of a site
    /// with eleven were left to read for 1.4, and first events waited for 0.6 s in surges; at a site with forty too few were given up.
    constexpr double prefillSpare = 0.5;
    double busiest(const Pool& pool, std::size_t prefill, std::size_t decode)
    {
        auto needsPrefill = pool.prefillLoad + prefillSpare * std::sqrt(pool.prefillLoad);
        return std::max(needsPrefill / static_cast<double>(prefill), pool.decodeLoad / static_cast<double>(decode));
    }

    /// How many of so many engines had best be prefill replicas.
    std::size_t bestPrefill(const Pool& pool, std::size_t engines)
    {
        std::size_t best = 1;
        for (std::size_t n = 2; n < engines; ++n) {
            if (busiest(pool, n, engines - n) < busiest(pool, best, engines - best))
                best = n;
        }
        return best;
    }

    std::size_t countOf(const Pool& pool, UpstreamKind kind)
    {
        return static_cast<std::size_t>(
            std::count_if(pool.engines.begin(), pool.engines.end(), [kind](const Engine& engine) { return engine.kind == kind; }));
    }

    /// One of the zone that has most of this kind, so that what is left stays spread.
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
    auto ownPrefill = countOf(pool, UpstreamKind::Prefill);
    auto ownDecode = countOf(pool, UpstreamKind::Decode);
    auto prefill = ownPrefill + pool.becomingPrefill;
    auto decode = ownDecode + pool.becomingDecode;
    if (!prefill || !decode)
        return std::nullopt;
    auto now = busiest(pool, prefill, decode);
    auto best = bestPrefill(pool, prefill + decode);
    bool isWorthIt = now >= leastBusy && now >= leastGain * busiest(pool, best, prefill + decode - best);
    if (!isWorthIt)
        return std::nullopt;
    if (best < prefill && ownPrefill)
        return Change { engineToChange(pool, UpstreamKind::Prefill), UpstreamKind::Decode };
    bool isPrefillBusy = pool.prefillLoad >= leastPrefillBusy * static_cast<double>(prefill);
    if (best > prefill && ownDecode && isPrefillBusy)
        return Change { engineToChange(pool, UpstreamKind::Decode), UpstreamKind::Prefill };
    return std::nullopt;
}

} // namespace wrenhinge::stages
