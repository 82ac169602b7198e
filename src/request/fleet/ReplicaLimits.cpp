#include "request/fleet/ReplicaLimits.h"

#include <algorithm>

namespace wrenhinge {

namespace {

    /// What all gateways may exceed a limit by in a window, until they know of each other's calls.
    const QuotaSettings tolerance { 4s, 0.5, 5, 400ms };

    QuotaRule ruleFor(double perSecond)
    {
        // Twice what is used up in the smoothing time, so that a pause in the traffic doesn't end in a burst.
        return { QuotaRule::Unit::Requests, perSecond, 2 * perSecond * toSeconds(tolerance.smoothing), 0 };
    }

} // namespace

ReplicaLimits::ReplicaLimits(std::string gateway, std::uint64_t seed)
    : m_counts(tolerance, std::move(gateway), seed)
{
}

std::optional<ReplicaRateLimit> ReplicaLimits::observe(const ReplicaRun& run, const StatedRateLimit& stated, Instant calledAt, Instant now)
{
    auto change = m_table.observe(run, stated, calledAt, now);
    if (change)
        applyRules(now);
    return change;
}

std::vector<ReplicaRateLimit> ReplicaLimits::take(const std::vector<ReplicaRateLimit>& changes, Instant now)
{
    auto news = m_table.take(changes, now);
    if (!news.empty())
        applyRules(now);
    return news;
}

void ReplicaLimits::dropEnded(const ReplicaRegistry& registry, Instant now)
{
    if (!m_table.dropEnded(registry, now).empty())
        applyRules(now);
}

void ReplicaLimits::applyRules(Instant now)
{
    auto limits = m_table.limits();
    std::erase_if(m_limited, [&limits](const auto& item) { return !limits.contains(item.first); });
    std::map<std::string, QuotaRule> rules;
    for (const auto& [run, perSecond] : limits) {
        m_limited.try_emplace(run);
        rules.emplace(toString(run), ruleFor(perSecond));
    }
    m_counts.setRules(rules, now);
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
    if (!isHeldBack && m_counts.tryAdmit(toString(run), 1, now)) {
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
        m_counts.charge(toString(run), 1, now);
}

void ReplicaLimits::undoCall(const ReplicaRun& run, Instant now)
{
    if (m_limited.contains(run))
        m_counts.refund(toString(run), 1, now);
}

AccountQuota* ReplicaLimits::quotaOf(const ReplicaRun& run)
{
    auto it = m_counts.accounts().find(toString(run));
    return it == m_counts.accounts().end() ? nullptr : &it->second;
}

std::optional<Duration> ReplicaLimits::retryAfter(const std::vector<ReplicaRun>& runs, Instant now)
{
    AccountQuota* first = nullptr;
    for (const auto& run : runs) {
        auto* quota = quotaOf(run);
        if (!quota)
            return std::nullopt;
        if (!first || quota->timeUntil(1, now) < first->timeUntil(1, now))
            first = quota;
    }
    return first ? std::optional(first->recordRefusal(1, now)) : std::nullopt;
}

std::optional<ReplicaLimits::Usage> ReplicaLimits::usage(const ReplicaRun& run, Instant now)
{
    auto* quota = quotaOf(run);
    return quota ? std::optional(Usage { quota->rule().perSecond, quota->remaining(now) }) : std::nullopt;
}

} // namespace wrenhinge
