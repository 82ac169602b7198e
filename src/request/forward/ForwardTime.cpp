/** \file
 * The part of ForwardLogic for time: when to check a request next, and what to do if its call makes no progress.
 */
#include "request/forward/ForwardLogic.h"

#include <algorithm>

namespace wrenhinge {

using namespace forward;

namespace {

    /// An idempotent call without an answer is sent to another replica after this share of its target, so that the second answer can
    /// still be in time. It must also have taken four times the mean latency.
    constexpr double retryAfterTargetShare = 0.55;
    constexpr double retryAfterMeanMultiple = 4;
    /// A resumable stream without an event for this long is resumed at another replica. Callers time out after two seconds at the earliest.
    constexpr Duration streamStallTimeout = 1400ms;
    /// A replica replies to a reservation within a round trip. One that has become unreachable while an idle connection to it is open
    /// doesn't reply. Long enough for a few round trips, also over a link with occasional packet loss.
    constexpr Duration reservationReplyTimeout = 120ms;
    /// Longer than the prefill of the longest prompts takes with its queueing, which reservations keep short. One that takes longer is
    /// at an unreachable replica. The decode replica then runs the prefill itself, and the first event can still meet the target.
    constexpr Duration prefillTimeout = 600ms;

} // namespace

void ForwardLogic::scheduleCheck(Flow& flow)
{
    auto nextCheckAt = flow.deadline;
    if (flow.isCalling && flow.stage == Flow::Stage::Prefilling) {
        auto byMeanLatency = fromSeconds(m_replicas.meanSeconds(flow.service, UpstreamKind::Prefill) * retryAfterMeanMultiple);
        nextCheckAt = std::min(nextCheckAt, flow.sentAt + std::max(prefillTimeout, byMeanLatency));
    }
    if (flow.isCalling && flow.stage == Flow::Stage::Reserving)
        nextCheckAt = std::min(nextCheckAt, flow.sentAt + reservationReplyTimeout);
    if (flow.eventsHeldUntil)
        nextCheckAt = std::min(nextCheckAt, *flow.eventsHeldUntil);
    bool isIdempotentCall = flow.route->repeatability == Repeatability::Idempotent && !flow.hasHead && flow.isCalling;
    bool isResumable = flow.route->repeatability == Repeatability::Resumable && flow.hasStreamStarted && flow.isCalling;
    if (isIdempotentCall) {
        auto byTargetShare = fromSeconds(toSeconds(flow.route->target) * retryAfterTargetShare);
        auto byMeanLatency = fromSeconds(m_replicas.meanSeconds(flow.service, UpstreamKind::Plain) * retryAfterMeanMultiple);
        nextCheckAt = std::min(nextCheckAt, flow.sentAt + std::max(byTargetShare, byMeanLatency));
    } else if (isResumable) {
        nextCheckAt = std::min(nextCheckAt, flow.lastEventAt + streamStallTimeout);
    }
    if (nextCheckAt == flow.nextCheckAt)
        return;
    m_wakes.erase({ flow.nextCheckAt, flow.id });
    flow.nextCheckAt = nextCheckAt;
    m_wakes.insert({ nextCheckAt, flow.id });
}

void ForwardLogic::on(const Tick&, Instant now)
{
    beginRequestsAwaitingDocument(now);
    fetchRegistry(now);
    refuseExpired(now);
    reportLoad(now);
    reportQuotaUsage(now);
    requestPermits(now);
    if (m_retryAdmissionAt <= now) {
        m_retryAdmissionAt = Instant::max();
        m_shouldAdmit = true;
    }
    while (!m_wakes.empty() && m_wakes.begin()->first <= now) {
        auto id = m_wakes.begin()->second;
        m_wakes.erase(m_wakes.begin());
        auto it = m_flows.find(id);
        if (it == m_flows.end())
            continue;
        it->second.nextCheckAt = {};
        if (!it->second.route)
            refuse(it->second, ResultCode::ConfigUnavailable, "no routing document is in effect yet", now);
        else if (it->second.deadline <= now)
            timeOut(it->second, now);
        else
            checkProgress(it->second, now);
    }
}

/// The current call makes no progress: continues at another replica if the route and the budget allow it, else waits for its end.
void ForwardLogic::checkProgress(Flow& flow, Instant now)
{
    if (flow.lookup) {
        endLookup(flow);
        return refuseIncompleteLookup(flow, now);
    }
    if (flow.eventsHeldUntil && *flow.eventsHeldUntil <= now) {
        m_streams.notReplied(flow.stream, now);
        passOnHeldEvents(flow);
        return scheduleCheck(flow);
    }
    if (m_awaitingPermits.erase({ rankOf(flow), flow.id }))
        return runOrFail(flow, now);
    if (flow.isCalling && flow.stage == Flow::Stage::Reserving) {
        m_effects.push_back(CancelCall { flow.id, flow.attempt });
        endSidecarReservation(flow, false);
        return on(ReservationRefused { flow.id, flow.attempt, false }, now);
    }
    if (flow.isCalling && flow.stage == Flow::Stage::Prefilling) {
        m_effects.push_back(CancelCall { flow.id, flow.attempt });
        endCall(flow, CallOutcome::Failed, now);
        return runOrFail(flow, now);
    }
    // While replicas are full, a second call would only make both late.
    bool isOverloaded = flow.stage == Flow::Stage::Running && m_shedder.refusedShare(flow.service) > 0;
    bool mayGoOn = !isOverloaded && flow.isCalling && flow.stage == Flow::Stage::Running && flow.runs + 1 < flow.route->maxAttempts
        && flow.sends < maxSends && !crashesReplicas(flow, now) && choose(flow, criteriaOf(flow), flow.tried, now);
    if (!mayGoOn || !takeRetry(flow, now)) {
        flow.nextCheckAt = flow.deadline;
        m_wakes.insert({ flow.nextCheckAt, flow.id });
        return;
    }
    m_effects.push_back(CancelCall { flow.id, flow.attempt });
    endCall(flow, CallOutcome::Failed, now);
    ++flow.runs;
    m_effects.push_back(LogEvent { EventCode::RequestRetried, flow.id, "no answer from " + toString(flow.replica) + " yet" });
    if (!send(flow, now))
        internalError("the replica chosen for a retry is no longer available");
}

} // namespace wrenhinge
