/** \file
 * The part of ForwardLogic for answers: passing them on, retries, and the end of a request.
 */
#include "request/forward/ForwardLogic.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace wrenhinge {

using namespace forward;

namespace {

    /// Retry-After is the caller's remaining time divided by this. Callers heed up to a third; a quarter leaves time for the transfer.
    constexpr int retryAfterDivisor = 4;
    constexpr Duration minRetryAfter = 40ms;
    constexpr Duration maxRetryAfter = 1s;

    constexpr auto otherReplicaReason = "the call has reached another replica than the one it was for";

    bool isSuccess(int status) { return status >= 200 && status < 300; }

} // namespace

// --- Answers ----------------------------------------------------------------------------------------------------

ForwardLogic::Flow* ForwardLogic::current(const RequestId& id, Attempt attempt)
{
    auto it = m_flows.find(id);
    return it == m_flows.end() || it->second.attempt != attempt || !it->second.isCalling ? nullptr : &it->second;
}

void ForwardLogic::on(const AnswerHead& event, Instant now)
{
    auto* flow = current(event.id, event.attempt);
    if (!flow)
        return;
    flow->hasHead = true;
    flow->metadata = event.metadata;
    flow->headers = event.headers;
    flow->lastEventAt = now;
    flow->isLeftToEnd = false;
    observeAnswer(flow->replica, event.metadata, flow->sentAt, now);
    scheduleWake(*flow);
}

void ForwardLogic::on(const AnswerBody& event, Instant now)
{
    auto* flow = current(event.id, event.attempt);
    if (!flow)
        return;
    bool isEvents = flow->metadata.isStream && isSuccess(flow->metadata.status) && flow->metadata.isGenuine;
    if (isEvents)
        return forwardEvents(*flow, event.bytes, now);
    flow->body += event.bytes;
    noteBuffered(*flow);
    giveUpLargestAnswers(now);
}

void ForwardLogic::forwardEvents(Flow& flow, std::string bytes, Instant now)
{
    for (auto& event : flow.splitter.push(bytes)) {
        noteSurvival(flow, now);
        // A replica that resumes a stream may repeat the event after which it was asked to resume.
        if (event.id && flow.lastEventId && *event.id <= *flow.lastEventId)
            continue;
        if (!flow.hasStreamStarted)
            beginStream(flow, now);
        else
            flow.longestGap = std::max(flow.longestGap, now - flow.lastForwardedAt);
        if (event.id)
            flow.lastEventId = event.id;
        flow.lastEventAt = flow.lastForwardedAt = now;
        flow.isLeftToEnd = false;
        passOn(flow, StreamBytes { flow.id, std::move(event.bytes) });
    }
    scheduleWake(flow);
    if (flow.splitter.rest().size() > maxEventBytes)
        return giveUpAnswer(flow, "an event of the stream exceeds the size limit", now);
    noteBuffered(flow);
    giveUpLargestAnswers(now);
}

/// Updates how much is buffered of the answer to the current call.
void ForwardLogic::noteBuffered(const Flow& flow)
{
    m_buffered.set(flow.id, flow.body.size() + flow.splitter.rest().size() + flow.heldBytes);
}

void ForwardLogic::giveUpLargestAnswers(Instant now)
{
    for (auto id = m_buffered.excess(); id; id = m_buffered.excess())
        giveUpAnswer(m_flows.at(*id), "the answers in progress need more memory than there is, this one most", now);
}

/// The replica sends more than can be an answer.
void ForwardLogic::giveUpAnswer(Flow& flow, const std::string& reason, Instant now)
{
    m_effects.push_back(CancelCall { flow.id, flow.attempt });
    endCall(flow, CallOutcome::Failed, now);
    flow.body = {};
    flow.splitter.clear();
    passOnHeldEvents(flow);
    noteBuffered(flow);
    resendOrFail(flow, true, reason, now);
}

void ForwardLogic::beginStream(Flow& flow, Instant now)
{
    flow.hasStreamStarted = true;
    recordStream(flow, now);
    flow.timeToFirstByte = now - flow.arrivedAt;
    m_effects.push_back(LogEvent {
        EventCode::FirstByte, flow.id, m_replicas.describe(flow.replica) + " after " + std::to_string((now - flow.sentAt) / 1ms) + " ms" });
    passOn(flow, BeginStream { flow.id, flow.metadata.status, flow.headers });
}

void ForwardLogic::on(const AnswerEnd& event, Instant now)
{
    auto* flow = current(event.id, event.attempt);
    if (!flow)
        return;
    const auto& metadata = flow->metadata;
    if (metadata.wasNotRun && metadata.status == httpStatusOf(ResultCode::MalformedRequest)) {
        endCall(*flow, CallOutcome::Abandoned, now);
        return refuse(*flow, ResultCode::MalformedRequest, "the replica refused the request as malformed", now);
    }
    if (metadata.wasNotRun || metadata.isMisdirected) {
        if (metadata.isMisdirected)
            restoreKvSource(*flow);
        else if (!flow->route->hasPrompt && !metadata.rest)
            m_shedder.noteFull(flow->service, now);
        endCall(*flow, metadata.isMisdirected ? CallOutcome::Misdirected : CallOutcome::Refused, now);
        ++flow->refusals;
        m_retryCounts.otherReplicas += metadata.isMisdirected;
        return resendOrFail(*flow, false, metadata.isMisdirected ? otherReplicaReason : "the replica did not run the request", now);
    }
    if (isSuccess(metadata.status) && !metadata.isGenuine) {
        endCall(*flow, CallOutcome::Failed, now);
        return resendOrFail(*flow, true, "the answer failed the authenticity check", now);
    }
    if (metadata.isStream && isSuccess(metadata.status))
        return endStream(*flow, now);
    if (!flow->route->hasPrompt)
        m_shedder.noteAnswer(flow->service, now - flow->sentAt, flow->route->target, now);
    m_answerForecast.note(flow->service, 0, now - flow->sentAt, Duration::zero());
    bool isFailure = metadata.status >= 500;
    endCall(*flow, isFailure ? CallOutcome::Failed : CallOutcome::Served, now);
    ++flow->runs;
    if (flow->hasStreamStarted)
        return resendOrFail(*flow, false, "the stream could not be resumed", now);
    if (isFailure && resend(*flow, now))
        return;
    if (!isFailure)
        noteServed(*flow, now);
    m_effects.push_back(LogEvent { EventCode::RequestFinished, flow->id,
        std::to_string(metadata.status) + " after " + std::to_string((now - flow->arrivedAt) / 1ms) + " ms" });
    m_effects.push_back(Reply { flow->id, metadata.status, std::move(flow->headers), std::move(flow->body) });
    flow->timeToFirstByte = now - flow->arrivedAt;
    finish(*flow, isFailure ? ResultCode::UpstreamFailed : ResultCode::Ok, now);
}

void ForwardLogic::endStream(Flow& flow, Instant now)
{
    // A caller that has all events already resumes the stream to learn that it is complete.
    bool isComplete = flow.splitter.rest().empty() && (flow.hasStreamStarted || flow.request.resumeAfter);
    endCall(flow, isComplete ? CallOutcome::Served : CallOutcome::Failed, now);
    if (!isComplete) {
        noteCrash(flow, now);
        return resendOrFail(flow, true, "the stream ended inside an event", now);
    }
    noteServed(flow, now);
    if (!flow.hasStreamStarted)
        beginStream(flow, now);
    m_effects.push_back(LogEvent { EventCode::RequestFinished, flow.id,
        "stream after " + std::to_string((now - flow.arrivedAt) / 1ms) + " ms, longest pause " + std::to_string(flow.longestGap / 1ms)
            + " ms" });
    passOnHeldEvents(flow);
    m_effects.push_back(EndStream { flow.id });
    // The duration of a resumed stream says nothing about that of a complete one.
    if (!flow.request.resumeAfter)
        m_forecast.note(flow.service, expectedTokensOf(flow), *flow.timeToFirstByte, now - flow.arrivedAt - *flow.timeToFirstByte);
    finish(flow, ResultCode::Ok, now);
}

void ForwardLogic::on(const CallFailed& event, Instant now)
{
    auto* flow = current(event.id, event.attempt);
    if (!flow)
        return;
    endCall(*flow, event.mayHaveRun ? CallOutcome::Failed : CallOutcome::Unreachable, now);
    if (event.mayHaveRun)
        noteCrash(*flow, now);
    if (flow->stage == Flow::Stage::Prefilling)
        return retryPrefillOrRun(*flow, !event.mayHaveRun, now);
    if (!event.mayHaveRun)
        restoreKvSource(*flow);
    resendOrFail(*flow, event.mayHaveRun, event.reason, now);
}

void ForwardLogic::endCall(Flow& flow, CallOutcome outcome, Instant now)
{
    flow.isCalling = false;
    m_replicas.end(flow.replica, reservedTokensOf(flow), outcome, now - flow.sentAt, now);
    if (auto sidecar = std::exchange(flow.prefillSidecar, std::nullopt))
        m_effects.push_back(NotifyPrefill { *sidecar, flow.id, flow.request.promptTokens, true });
    if (flow.stage != Flow::Stage::Running)
        return;
    endSidecarReservation(flow, outcome == CallOutcome::Served, outcome == CallOutcome::Failed && !flow.hasStreamStarted);
    if (m_queue.size()) {
        m_replicas.clearFull(flow.replica);
        m_shouldAdmit = true;
    }
}

/// Cancels the current call, if there is one: its answer is no longer needed.
void ForwardLogic::abandonCall(Flow& flow, Instant now)
{
    if (!flow.isCalling)
        return;
    m_effects.push_back(CancelCall { flow.id, flow.attempt });
    endCall(flow, CallOutcome::Abandoned, now);
}

bool ForwardLogic::mayRunAgain(const Flow& flow) const
{
    if (flow.route->repeatability == Repeatability::AtMostOnce)
        return !flow.runs;
    return flow.runs < flow.route->maxAttempts;
}

/// Takes a retry from the budget.
bool ForwardLogic::takeRetry(const Flow& flow, Instant now)
{
    bool isTaken = m_budget.take(flow.service, now);
    if (isTaken)
        ++m_retryCounts.taken;
    else
        recordRetryNotAllowed(flow, now);
    return isTaken;
}

void ForwardLogic::recordRetryNotAllowed(const Flow& flow, Instant now)
{
    ++m_retryCounts.notAllowed;
    std::array<char, 32> left {};
    std::snprintf(left.data(), left.size(), "%.2f", m_budget.remaining(flow.service, now));
    auto gateways = m_budget.gateways();
    m_effects.push_back(LogEvent { EventCode::RetryNotAllowed, flow.id,
        std::string(left.data()) + " retries left for " + flow.service + ", shared by "
            + (gateways ? std::to_string(*gateways) : "an unknown number of") + " gateways" });
}

/// Sends the request again if its route, the number of sends, the available replicas and the retry budget allow it.
bool ForwardLogic::resend(Flow& flow, Instant now)
{
    bool isPossible = mayRunAgain(flow) && !crashesReplicas(flow, now) && !mayOutliveProcess(flow, now) && flow.sends < maxSends
        && choose(flow, criteriaOf(flow), flow.tried, now);
    return isPossible && takeRetry(flow, now) && (repeatPrefill(flow, now) || send(flow, now));
}

void ForwardLogic::resendOrFail(Flow& flow, bool mayHaveRun, const std::string& reason, Instant now)
{
    flow.runs += mayHaveRun ? 1 : 0;
    if (flow.deadline <= now)
        return timeOut(flow, now);
    if (resend(flow, now)) {
        m_effects.push_back(LogEvent { EventCode::RequestRetried, flow.id, reason });
        return;
    }
    if (flow.hasStreamStarted) {
        m_effects.push_back(LogEvent { EventCode::RequestFailed, flow.id, reason + " at " + toString(flow.replica) });
        passOnHeldEvents(flow);
        m_effects.push_back(AbortStream { flow.id });
        return finish(flow, ResultCode::UpstreamFailed, now);
    }
    if (crashesReplicas(flow, now))
        return refuseAsCrashing(flow, now);
    if (!flow.runs && refuseIfMayOutliveProcess(flow, now))
        return;
    if (refuseIfVersionIsGone(flow, now))
        return;
    if (auto atLimit = replicasAtLimit(flow, now); !flow.runs && !atLimit.empty())
        return refuseAtLimit(flow, reason, atLimit, now);
    if (!flow.runs && refuseIfAllRest(flow, now))
        return;
    auto notRun = flow.refusals ? ResultCode::Overloaded : ResultCode::NoUpstream;
    refuse(flow, flow.runs ? ResultCode::UpstreamFailed : notRun, reason, now);
}

// --- End of a request -------------------------------------------------------------------------------------------

Duration ForwardLogic::retryAfter(const Flow& flow, Instant now) const
{
    return std::clamp<Duration>((flow.deadline - now) / retryAfterDivisor, minRetryAfter, maxRetryAfter);
}

void ForwardLogic::refuse(Flow& flow, ResultCode code, const std::string& reason, Instant now)
{
    refuseUntil(flow, code, reason, httpStatusOf(code) == 503 ? std::optional(retryAfter(flow, now)) : std::nullopt, now);
}

void ForwardLogic::refuseUntil(Flow& flow, ResultCode code, const std::string& reason, std::optional<Duration> retryAfter, Instant now)
{
    Error error { code, reason, retryAfter };
    bool hasFailed = flow.runs > 0;
    auto text = std::string(nameOf(code)) + ": " + reason;
    if (hasFailed)
        text += " at " + toString(flow.replica);
    m_effects.push_back(LogEvent { hasFailed ? EventCode::RequestFailed : EventCode::RequestRefused, flow.id, std::move(text) });
    m_effects.push_back(Refuse { flow.id, std::move(error) });
    finish(flow, code, now);
}

void ForwardLogic::timeOut(Flow& flow, Instant now)
{
    bool wasCalling = flow.isCalling;
    if (wasCalling) {
        m_effects.push_back(CancelCall { flow.id, flow.attempt });
        endCall(flow, flow.hasHead ? CallOutcome::Abandoned : CallOutcome::Failed, now);
    }
    if (flow.hasStreamStarted) {
        m_effects.push_back(LogEvent { EventCode::RequestFailed, flow.id, "the stream did not end in time" });
        passOnHeldEvents(flow);
        m_effects.push_back(AbortStream { flow.id });
        return finish(flow, ResultCode::TimedOut, now);
    }
    bool wasRunning = wasCalling && flow.stage == Flow::Stage::Running;
    bool mayHaveRun = flow.runs || wasRunning;
    flow.runs += wasRunning ? 1 : 0;
    refuse(flow, mayHaveRun ? ResultCode::TimedOut : ResultCode::DeadlineUnreachable, "no answer in time", now);
}

void ForwardLogic::on(const CallerDisconnected& event, Instant now)
{
    auto it = m_flows.find(event.id);
    if (it == m_flows.end())
        return;
    auto& flow = it->second;
    m_effects.push_back(LogEvent {
        EventCode::RequestCancelled, flow.id, "the caller disconnected after " + std::to_string((now - flow.arrivedAt) / 1ms) + " ms" });
    abandonCall(flow, now);
    finish(flow, ResultCode::Cancelled, now);
}

void ForwardLogic::finish(Flow& flow, ResultCode code, Instant now)
{
    if (flow.admittedAt)
        m_engineLoad.finish(flow.service, *flow.admittedAt, code == ResultCode::Ok, now);
    m_effects.push_back(
        Finished { flow.id, flow.route ? flow.route->name : "", code, flow.sends, flow.timeToFirstByte, flow.reservationWait });
    refundQuota(flow, code, now);
    releaseKvSource(flow, now);
    releaseReservation(flow, now);
    endSidecarReservation(flow, false);
    auto id = flow.id;
    m_queue.remove(id);
    m_trials.end(id);
    m_awaitingHolders.erase({ flow.stream, id });
    m_buffered.set(id, 0);
    m_wakes.erase({ flow.wakeAt, id });
    m_flows.erase(id);
}

} // namespace wrenhinge
