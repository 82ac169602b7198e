#include "request/sidecar/Placement.h"

#include <algorithm>
#include <utility>

namespace wrenhinge {

namespace {

    using Upstream = UpstreamTable::Upstream;

    constexpr Duration startTimeResolution = 50ms;

    /// Smaller is better: the expected start first, then how full the replica is.
    std::pair<std::int64_t, double> placementScore(const Upstream& upstream, const SlotRequirements& requirements)
    {
        auto assigned = upstream.load.occupied + upstream.load.queued + upstream.uncovered.size();
        auto start = std::max(predictedSlotWait(upstream, requirements.priority), requirements.neededIn);
        if (upstream.kind == UpstreamKind::Decode)
            start += predictedTransferTime(upstream, requirements.promptTokens);
        // Differences within the error of the estimates must not decide, or all go to the one that looks best by chance.
        return { start / startTimeResolution, static_cast<double>(assigned) / std::max(1u, upstream.load.slots) };
    }

} // namespace

Placement::Placement(const UpstreamTable& table, std::uint64_t seed)
    : m_table(table)
    , m_random(seed)
{
}

std::size_t Placement::randomIndex(std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(m_random); }

double Placement::jitter(double spread) { return std::uniform_real_distribution<double>(1 - spread, 1 + spread)(m_random); }

Placement::Candidates Placement::candidates(const std::string& service, UpstreamKind kind, const Excluded& excluded, Instant now)
{
    auto list = m_table.candidates(service, kind, now, m_random);
    std::erase_if(list, [&excluded](const Upstream* upstream) { return excluded.contains(upstream->id); });
    return list;
}

std::optional<PeerId> Placement::chooseReplica(
    const std::string& service, UpstreamKind kind, const SlotRequirements& requirements, const Excluded& excluded, Instant now)
{
    auto list = candidates(service, kind, excluded, now);
    if (list.empty())
        return std::nullopt;
    // Urgent work is rare enough to look at all without a rush to the best; the rest takes the better of two.
    if (requirements.priority != Priority::Urgent)
        list = { list[randomIndex(list.size())], list[randomIndex(list.size())] };
    auto isBetter = [&requirements](const Upstream* a, const Upstream* b) {
        return placementScore(*a, requirements) < placementScore(*b, requirements);
    };
    return (*std::min_element(list.begin(), list.end(), isBetter))->id;
}

PrefillChoice Placement::evaluate(const Upstream& upstream, const PrefillRequirements& requirements) const
{
    auto cached = std::min(m_prefixes.cachedTokens(requirements.prefixBlocks, upstream.id), requirements.promptTokens);
    auto micros = upstream.load.microsPerToken * (requirements.promptTokens - cached);
    auto cost = upstream.load.fixedCost + Duration(static_cast<std::int64_t>(micros));
    return { upstream.id, predictedCompletion(upstream, requirements.priority, cost), cost, cached };
}

/// Adds the owner of the prefix and those that are believed to hold it already.
void Placement::addByPrefix(
    Candidates& list, const std::string& service, const PrefillRequirements& requirements, const Excluded& excluded, Instant now) const
{
    auto add = [&](const Upstream* upstream) {
        if (upstream && !excluded.contains(upstream->id) && UpstreamTable::isEligible(*upstream, now))
            list.push_back(upstream);
    };
    add(m_table.prefixOwner(service, UpstreamKind::Prefill, requirements.prefixBlocks.front(), now));
    for (auto holder : m_prefixes.holders(requirements.prefixBlocks.front()))
        add(m_table.find(holder));
}

std::optional<PrefillChoice> Placement::choosePrefillReplica(
    const std::string& service, const PrefillRequirements& requirements, const Excluded& excluded, Instant now)
{
    auto list = candidates(service, UpstreamKind::Prefill, excluded, now);
    if (list.empty())
        return std::nullopt;
    Candidates shortList { list[randomIndex(list.size())], list[randomIndex(list.size())] };
    if (!requirements.prefixBlocks.empty())
        addByPrefix(shortList, service, requirements, excluded, now);
    std::optional<PrefillChoice> best;
    for (const auto* upstream : shortList) {
        auto choice = evaluate(*upstream, requirements);
        // Among equals the prefix's owner (listed later) is preferred: that is where others will look for it.
        if (!best || choice.end <= best->end)
            best = choice;
    }
    return best;
}

} // namespace wrenhinge
