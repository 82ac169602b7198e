/** \file
 * The part of ForwardLogic for time: the deadlines of a request, and what to do when one has passed.
 *
 * A request has several deadlines at once. Its next wake is at the earliest of them; on a wake they are computed anew, and only one that
 * has passed is acted on.
 */
#include "request/forward/ForwardLogic.h"

#include <algorithm>

namespace wrenhinge {

using namespace forward;

namespace {

    /// An idempotent call without an answer is sent to another replica after this share of its target, so that the second answer can
    /// still be in time.
    constexpr double retryAfterTargetShare = 0.55;
    /// A call isn't slow before it has taken the mean latency times this.
    constexpr double slowCallMeanMultiple = 4;
    /// A resumable stream without an event for this long is resumed at another replica. Callers time out after two seconds at the earliest.
    constexpr Duration streamStallTimeout = 1400ms;
    /// A replica replies to a reservation within a round trip. One that has become unreachable while an idle connection to it is open
    /// doesn't reply. Long enough for a few round trips, also over a link with occasional packet loss.
    constexpr Duration reservationReplyTimeout = 120ms;
    /// Longer than the prefill of the longest prompts takes with its queueing, which reservations keep short. One that takes longer is
    /// at an unreachable replica. The decode replica then runs the prefill itself, and the first event can still meet the target.
    constexpr Duration prefillTimeout = 600ms;

} // namespace

void ForwardLogic::scheduleWake(Flow& flow)
{
    auto at = nextDeadline(flow).at;
    if (at == flow.wakeAt)
        return;
    m_wakes.erase({ flow.wakeAt, flow.id });
    flow.wakeAt = at;
    m_wakes.insert({ at, flow.id });
}

/// The earliest deadline among all that the request waits for now.
ForwardFlow::Deadline ForwardLogic::nextDeadline(const Flow& flow) const
{
    if (!flow.route)
        return { flow.documentWaitUntil, Flow::Wait::Document };
    Flow::Deadline next { flow.deadline, Flow::Wait::End };
    auto consider = [&next](const Flow::Deadline& other) { next = other.at < next.at ? other : next; };
    if (flow.lookup)
        consider({ flow.lookup->until, Flow::Wait::StreamOrigin });
    if (flow.eventsHeldUntil)
        consider({ *flow.eventsHeldUntil, Flow::Wait::StreamRecord });
    if (flow.permitWaitUntil && m_awaitingPermits.contains({ rankOf(flow), flow.id }))
        consider({ *flow.permitWaitUntil, Flow::Wait::Permit });
    if (auto call = callDeadline(flow))
        consider(*call);
    return next;
}

/// When the current call counts as making no progress; nothing: it is left to end.
std::optional<ForwardFlow::Deadline> ForwardLogic::callDeadline(const Flow& flow) const
{
    if (!flow.isCalling || flow.isLeftToEnd)
        return std::nullopt;
    auto byMeanLatency = [&](UpstreamKind kind) { return fromSeconds(m_replicas.meanSeconds(flow.service, kind) * slowCallMeanMultiple); };
    if (flow.stage == Flow::Stage::Reserving)
        return Flow::Deadline { flow.sentAt + reservationReplyTimeout, Flow::Wait::Reservation };
    if (flow.stage == Flow::Stage::Prefilling)
        return Flow::Deadline { flow.sentAt + std::max(prefillTimeout, byMeanLatency(UpstreamKind::Prefill)), Flow::Wait::Prefill };
    if (flow.route->repeatability == Repeatability::Idempotent && !flow.hasHead) {
        auto byTargetShare = fromSeconds(toSeconds(flow.route->target) * retryAfterTargetShare);
        return Flow::Deadline { flow.sentAt + std::max(byTargetShare, byMeanLatency(UpstreamKind::Plain)), Flow::Wait::Answer };
    }
    if (flow.route->repeatability == Repeatability::Resumable && flow.hasStreamStarted)
        return Flow::Deadline { flow.lastEventAt + streamStallTimeout, Flow::Wait::StreamEvent };
    return std::nullopt;
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
        if (auto it = m_flows.find(id); it != m_flows.end()) {
            it->second.wakeAt = {};
            wake(it->second, now);
        }
    }
}

/// A wake may be left from a deadline that no longer counts, so it says nothing about what has come due.
void ForwardLogic::wake(Flow& flow, Instant now)
{
    auto due = nextDeadline(flow);
    if (due.at > now)
        return scheduleWake(flow);
    bool hasEnded = flow.route && flow.deadline <= now;
    endWait(flow, hasEnded ? Flow::Wait::End : due.wait, now);
}

/// What the request waits for has not come in time.
void ForwardLogic::endWait(Flow& flow, Flow::Wait wait, Instant now)
{
    switch (wait) {
    case Flow::Wait::Document:
        return refuse(flow, ResultCode::ConfigUnavailable, "no routing document is in effect yet", now);
    case Flow::Wait::StreamOrigin:
        endLookup(flow);
        return refuseIncompleteLookup(flow, now);
    case Flow::Wait::StreamRecord:
        m_streams.notReplied(flow.stream, now);
        passOnHeldEvents(flow);
        return scheduleWake(flow);
    case Flow::Wait::Permit:
        m_awaitingPermits.erase({ rankOf(flow), flow.id });
        return runOrFail(flow, now);
    case Flow::Wait::Reservation:
        return giveUpReservationCall(flow, now);
    case Flow::Wait::Prefill:
        return giveUpPrefill(flow, now);
    case Flow::Wait::Answer:
    case Flow::Wait::StreamEvent:
        return repeatIfPossible(flow, now);
    case Flow::Wait::End:
        return timeOut(flow, now);
    }
}

void ForwardLogic::giveUpReservationCall(Flow& flow, Instant now)
{
    m_effects.push_back(CancelCall { flow.id, flow.attempt });
    endSidecarReservation(flow, false);
    on(ReservationRefused { flow.id, flow.attempt, false }, now);
}

void ForwardLogic::giveUpPrefill(Flow& flow, Instant now)
{
    m_effects.push_back(CancelCall { flow.id, flow.attempt });
    endCall(flow, CallOutcome::Failed, now);
    runOrFail(flow, now);
}

/// The current call makes no progress: continues at another replica if the route and the budget allow it, else waits for its end.
void ForwardLogic::repeatIfPossible(Flow& flow, Instant now)
{
    // While replicas are full, a second call would only make both late.
    bool isOverloaded = m_shedder.refusedShare(flow.service) > 0;
    bool isPossible = !isOverloaded && flow.runs + 1 < flow.route->maxAttempts && flow.sends < maxSends && !crashesReplicas(flow, now)
        && !mayOutliveProcess(flow, now) && choose(flow, criteriaOf(flow), flow.tried, now);
    if (!isPossible || !takeRetry(flow, now)) {
        flow.isLeftToEnd = true;
        return scheduleWake(flow);
    }
    m_effects.push_back(CancelCall { flow.id, flow.attempt });
    endCall(flow, CallOutcome::Failed, now);
    ++flow.runs;
    m_effects.push_back(LogEvent { EventCode::RequestRetried, flow.id, "no answer from " + toString(flow.replica) + " yet" });
    if (!send(flow, now))
        internalError("the replica chosen for a retry is no longer available");
}

} // namespace wrenhinge
