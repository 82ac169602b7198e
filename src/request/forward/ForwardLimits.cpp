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
    /// How long a request waits for a permit: a request for permits and the next grant of the controller take less.
    constexpr Duration maxPermitWait = 250ms;
    /// For this long after a request has waited in vain, others of its service don't wait.
    constexpr Duration permitShortageMemory = 1s;

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

void ForwardLogic::on(const ReplicaAnswered& event, Instant now) { observeAnswer(event.replica, event.metadata, event.calledAt, now); }

void ForwardLogic::on(const ReplicaLimitsReceived& event, Instant now)
{
    for (const auto& change : m_limits.take(event.limits, now))
        logLimit(change, "another process");
    m_shouldAdmit = m_shouldAdmit || m_queue.size();
}

void ForwardLogic::on(const PermitsReceived& event, Instant now)
{
    m_limits.permits().take(event.controller, event.grant, now);
    if (event.grant.permits.empty())
        return;
    m_shouldAdmit = m_shouldAdmit || m_queue.size();
    retryAwaitingPermits(now);
}

void ForwardLogic::requestPermits(Instant now)
{
    auto& permits = m_limits.permits();
    auto former = permits.controller();
    if (auto request = permits.request(now))
        m_effects.push_back(RequestPermits { request->first, std::move(request->second) });
    if (permits.controller() == former)
        return;
    auto text = permits.controller() ? "permits are requested from controller " + toString(*permits.controller())
                                     : std::string("no controller is reachable, this gateway creates its share of the permits itself");
    m_effects.push_back(LogEvent { EventCode::PermitIssuerChanged, {}, std::move(text) });
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

/// The replicas that could take the request now but for the limits that they state.
std::vector<ReplicaRun> ForwardLogic::replicasAtLimit(const Flow& flow, Instant now)
{
    std::vector<ReplicaRun> candidates;
    if (m_limits.isEmpty())
        return candidates;
    auto criteria = criteriaOf(flow);
    auto excluded = flow.tried;
    while (auto choice = m_replicas.choose(criteria, excluded, now)) {
        candidates.push_back(choice->run);
        excluded.insert(choice->run);
    }
    return candidates;
}

/// A permit that is to be had arrives within a round trip to the controller. While requests of the service wait in vain, others are
/// refused at once. \returns false if the request is not to wait.
bool ForwardLogic::waitForPermit(Flow& flow, Instant now)
{
    if (flow.permitWaitUntil && *flow.permitWaitUntil <= now) {
        m_permitsLackedAt[flow.service] = now;
        return false;
    }
    if (!flow.permitWaitUntil) {
        auto lackedAt = m_permitsLackedAt.find(flow.service);
        bool isLacking = lackedAt != m_permitsLackedAt.end() && now - lackedAt->second < permitShortageMemory;
        if (isLacking || !m_limits.permits().hasController(now))
            return false;
        flow.permitWaitUntil = std::min(now + maxPermitWait, flow.deadline);
    }
    m_awaitingPermits.emplace(rankOf(flow), flow.id);
    scheduleWake(flow);
    return true;
}

void ForwardLogic::retryAwaitingPermits(Instant now)
{
    for (const auto& [rank, id] : std::exchange(m_awaitingPermits, {})) {
        if (auto it = m_flows.find(id); it != m_flows.end())
            runOrFail(it->second, now);
    }
}

void ForwardLogic::refuseAtLimit(Flow& flow, const std::string& reason, const std::vector<ReplicaRun>& atLimit, Instant now)
{
    auto delay = m_limits.retryAfter(atLimit, now);
    if (delay)
        delay = std::max(*delay, minLimitRetryAfter);
    refuseUntil(flow, ResultCode::Overloaded, reason, delay, now);
}

} // namespace wrenhinge
