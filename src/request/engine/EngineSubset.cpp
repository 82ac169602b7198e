#include "request/engine/EngineSubset.h"

#include "request/fleet/ReplicaRegistry.h"

#include <algorithm>
#include <xxhash.h>

namespace wrenhinge {

namespace {

    std::size_t mostOf(UpstreamKind kind)
    {
        return kind == UpstreamKind::Prefill ? EngineSubset::prefillEngines : EngineSubset::decodeEngines;
    }

} // namespace

/// The hash of both names decides. Hashed one after the other, the engine's as the seed of the gateway's, no separator is needed.
std::uint64_t EngineSubset::rankOf(const Announcement& engine) const
{
    auto ofEngine = XXH3_64bits(engine.id.data(), engine.id.size());
    return XXH3_64bits_withSeed(m_gateway.data(), m_gateway.size(), ofEngine);
}

void EngineSubset::choose(const ReplicaRegistry& registry, Instant now)
{
    m_hasChosen = true;
    m_ids.clear();
    m_sizes.clear();
    std::map<Stage, std::vector<Ranked>> byStage;
    for (const auto& [id, entry] : registry.entries()) {
        const auto& engine = entry.announcement;
        if (engine.kind != UpstreamKind::Plain && engine.state == ReplicaState::Ready && !entry.isSilent(now))
            byStage[{ engine.service, engine.kind }].push_back({ rankOf(engine), &engine });
    }
    for (auto& [stage, engines] : byStage) {
        auto most = mostOf(stage.second);
        m_sizes[stage] = std::min(most, engines.size());
        take(std::move(engines), most);
    }
}

bool EngineSubset::isFull(const std::string& service, UpstreamKind kind) const
{
    auto it = m_sizes.find({ service, kind });
    return it != m_sizes.end() && it->second >= mostOf(kind);
}

/// First those of the own zone up to their part, then the others, then what is still missing from either.
void EngineSubset::take(std::vector<Ranked> engines, std::size_t most)
{
    std::sort(engines.begin(), engines.end(), [](const Ranked& a, const Ranked& b) { return a.rank < b.rank; });
    auto isNear = [this](const Ranked& ranked) { return ranked.engine->zone == m_zone; };
    auto firstFar = std::stable_partition(engines.begin(), engines.end(), isNear);
    auto near = static_cast<std::size_t>(firstFar - engines.begin());
    auto ofOwnZone = std::min(near, static_cast<std::size_t>(ownZonePart * static_cast<double>(most)));
    // Those beyond their part come last, after all others.
    std::rotate(engines.begin() + static_cast<std::ptrdiff_t>(ofOwnZone), firstFar, engines.end());
    engines.resize(std::min(engines.size(), most));
    for (const auto& ranked : engines)
        m_ids.insert(ranked.engine->id);
}

} // namespace wrenhinge
