/** \file
 * The part of ForwardLogic for the request rate limits that replicas state (ReplicaLimits).
 */
#include "request/forward/ForwardLogic.h"

#include <array>
#include <cstdio>

namespace wrenhinge {

using namespace forward;

namespace {

    /// Shortest Retry-After while limits are used up: less than the time between two requests at the lowest useful limits.
    constexpr Duration minLimitRetryAfter = 50ms;

    std::string describe(const ReplicaRateLimit& change)
    {
        if (!change.perSecond)
            return toString(change.run()) + " states no request rate limit any more";
        std::array<char, 32> text {};
        std::snprintf(text.data(), text.size(), "%g", *change.perSecond);
        return toString(change.run()) + " takes " + text.data() + " requests per second";
    }

} // namespace

/// Applies what an answer of a replica states. An answer of a former run says nothing about the present one.
void ForwardLogic::observeLimit(const ReplicaRun& run, const StatedRateLimit& stated, Instant calledAt, Instant now)
{
    bool isUninteresting = !stated.isStated && m_limits.isEmpty();
    if (isUninteresting || !m_replicas.registry().find(run))
        return;
    auto change = m_limits.observe(run, stated, calledAt, now);
    if (!change)
        return;
    logLimit(*change, "its answer");
    m_effects.push_back(ReportReplicaLimits { std::nullopt, { *change } });
}

void ForwardLogic::logLimit(const ReplicaRateLimit& change, const std::string& source)
{
    auto code = change.perSecond ? EventCode::UpstreamRateLimited : EventCode::UpstreamRateLimitLifted;
    m_effects.push_back(
        LogEvent { code, {}, describe(change) + ", known from " + source + ", revision " + std::to_string(change.revision) });
}

void ForwardLogic::on(const ReplicaAnswered& event, Instant now) { observeLimit(event.replica, event.rateLimit, event.calledAt, now); }

void ForwardLogic::on(const ReplicaLimitsReceived& event, Instant now)
{
    for (const auto& change : m_limits.take(event.limits, now))
        logLimit(change, "another process");
    m_shouldAdmit = m_shouldAdmit || m_queue.size();
}

void ForwardLogic::on(const ReplicaUsageTotalsReceived& event, Instant now) { m_limits.counts().take(event.controller, event.totals, now); }

void ForwardLogic::reportReplicaUsage(Instant now)
{
    if (auto report = m_limits.counts().report(now))
        m_effects.push_back(ReportReplicaUsage { std::move(*report) });
}

/// Chooses the best replica whose limit allows a call now.
std::optional<ReplicaTable::Choice> ForwardLogic::choose(
    const Flow& flow, const ReplicaTable::Criteria& criteria, const std::set<ReplicaRun>& tried, Instant now)
{
    auto choice = m_replicas.choose(criteria, tried, now);
    if (m_limits.isEmpty())
        return choice;
    auto excluded = tried;
    while (choice && !m_limits.mayCall(choice->run, rankOf(flow), now)) {
        excluded.insert(choice->run);
        choice = m_replicas.choose(criteria, excluded, now);
    }
    return choice;
}

/// When a replica may take the request again, if it could be sent now but for the limits that replicas state.
std::optional<Duration> ForwardLogic::limitRetryAfter(const Flow& flow, Instant now)
{
    if (m_limits.isEmpty())
        return std::nullopt;
    std::vector<ReplicaRun> candidates;
    auto criteria = criteriaOf(flow);
    auto excluded = flow.tried;
    while (auto choice = m_replicas.choose(criteria, excluded, now)) {
        candidates.push_back(choice->run);
        excluded.insert(choice->run);
    }
    auto delay = m_limits.retryAfter(candidates, now);
    return delay ? std::optional(std::max(*delay, minLimitRetryAfter)) : std::nullopt;
}

} // namespace wrenhinge
