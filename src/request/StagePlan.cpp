#include "request/StagePlan.h"

#include <algorithm>
#include <map>

namespace wrenhinge::stages {

namespace {

    /// How busy the busier stage is with this split.
    double busiest(const Pool& pool, std::size_t prefill, std::size_t decode)
    {
        return std::max(prefillWeight * pool.prefillBusy / static_cast<double>(prefill), pool.decodeBusy / static_cast<double>(decode));
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
    if (now < leastBusy)
        return std::nullopt;
    bool canGiveDecode = ownPrefill && prefill > 1;
    if (canGiveDecode && now >= leastGain * busiest(pool, prefill - 1, decode + 1))
        return Change { engineToChange(pool, UpstreamKind::Prefill), UpstreamKind::Decode };
    bool canGivePrefill = ownDecode && decode > 1;
    if (canGivePrefill && now >= leastGain * busiest(pool, prefill + 1, decode - 1))
        return Change { engineToChange(pool, UpstreamKind::Decode), UpstreamKind::Prefill };
    return std::nullopt;
}

} // namespace wrenhinge::stages
