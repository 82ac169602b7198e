#include "request/engine/EngineSubset.h"

#include "request/fleet/ReplicaRegistry.h"

#include <algorithm>
#include <xxhash.h>

namespace wrenhinge {

namespace {

    std::size_t maxEngines(UpstreamKind kind)
    {
        return kind == UpstreamKind::Prefill ? EngineSubset::prefillEngines : EngineSubset::decodeEngines;
    }

} // namespace

/// Hashes the gateway's name with the hash of the engine's id as the seed, so that no separator between the two is needed.
std::uint64_t EngineSubset::rankOf(const Announcement& engine) const
{
    auto engineHash = XXH3_64bits(engine.id.data(), engine.id.size());
    return XXH3_64bits_withSeed(m_gateway.data(), m_gateway.size(), engineHash);
}

void EngineSubset::choose(const ReplicaRegistry& registry, Instant now)
{
    m_hasChosen = true;
    m_ids.clear();
    m_subsetSizes.clear();
    std::map<Stage, std::vector<Ranked>> byStage;
    for (const auto& [id, entry] : registry.entries()) {
        const auto& engine = entry.announcement;
        if (engine.kind != UpstreamKind::Plain && engine.state == ReplicaState::Ready && !entry.isSilent(now))
            byStage[{ engine.service, engine.kind }].push_back({ rankOf(engine), &engine });
    }
    for (auto& [stage, engines] : byStage) {
        auto limit = maxEngines(stage.second);
        m_subsetSizes[stage] = std::min(limit, engines.size());
        select(std::move(engines), limit);
    }
}

bool EngineSubset::isFull(const std::string& service, UpstreamKind kind) const
{
    auto it = m_subsetSizes.find({ service, kind });
    return it != m_subsetSizes.end() && it->second >= maxEngines(kind);
}

/// Selects engines of the own zone up to their share, then of other zones, then further ones of the own zone if there are still too few.
void EngineSubset::select(std::vector<Ranked> engines, std::size_t limit)
{
    std::sort(engines.begin(), engines.end(), [](const Ranked& a, const Ranked& b) { return a.rank < b.rank; });
    auto isInOwnZone = [this](const Ranked& ranked) { return ranked.engine->zone == m_zone; };
    auto firstOtherZone = std::stable_partition(engines.begin(), engines.end(), isInOwnZone);
    auto inOwnZone = static_cast<std::size_t>(firstOtherZone - engines.begin());
    auto fromOwnZone = std::min(inOwnZone, static_cast<std::size_t>(ownZoneShare * static_cast<double>(limit)));
    // Engines of the own zone beyond its share come last.
    std::rotate(engines.begin() + static_cast<std::ptrdiff_t>(fromOwnZone), firstOtherZone, engines.end());
    engines.resize(std::min(engines.size(), limit));
    for (const auto& ranked : engines)
        m_ids.insert(ranked.engine->id);
}

} // namespace wrenhinge
