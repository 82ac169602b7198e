/** \file
 * The part of ForwardLogic that is about answers: what is passed on, what is sent once more, and how a request ends.
 */
#include "request/forward/ForwardLogic.h"

#include <algorithm>

namespace wrenhinge {

using namespace forward;

namespace {

    /// An answer that is gathered whole may have this many bytes; today's have a few thousand.
    constexpr std::size_t answerLimit = 16u << 20;
    /// A caller heeds a pause of up to a third of what it has left; a quarter leaves room for its way back.
    constexpr int patiencePartForReturn = 4;
    constexpr Duration shortestReturn = 40ms;
    constexpr Duration longestReturn = 1s;

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
    flow->facts = event.facts;
    flow->headers = event.headers;
    flow->lastEventAt = now;
    scheduleCheck(*flow);
}

void ForwardLogic::on(const AnswerBody& event, Instant now)
{
    auto* flow = current(event.id, event.attempt);
    if (!flow)
        return;
    bool isEvents = flow->facts.isStream && isSuccess(flow->facts.status) && flow->facts.isGenuine;
    if (isEvents)
        return passEvents(*flow, event.bytes, now);
    flow->body += event.bytes;
    if (flow->body.size() > answerLimit) {
        m_effects.push_back(CancelCall { flow->id, flow->attempt });
        endCall(*flow, CallOutcome::Failed, now);
        resendOrFail(*flow, true, "the answer is larger than can be kept", now);
    }
}

void ForwardLogic::passEvents(Flow& flow, std::string bytes, Instant now)
{
    for (auto& event : flow.splitter.push(bytes)) {
        // A replica that takes over may repeat the event after which it was asked to go on.
        if (event.id && flow.lastEvent && *event.id <= *flow.lastEvent)
            continue;
        if (!flow.hasBegun) {
            flow.hasBegun = true;
            flow.timeToFirstByte = now - flow.arrivedAt;
            m_effects.push_back(LogEvent {
                EventCode::FirstByte, flow.id, toString(flow.replica) + " after " + std::to_string((now - flow.sentAt) / 1ms) + " ms" });
            m_effects.push_back(BeginStream { flow.id, flow.facts.status, flow.headers });
        } else {
            flow.longestPause = std::max(flow.longestPause, now - flow.passedAt);
        }
        if (event.id)
            flow.lastEvent = event.id;
        flow.lastEventAt = flow.passedAt = now;
        m_effects.push_back(StreamBytes { flow.id, std::move(event.bytes) });
    }
    scheduleCheck(flow);
}

void ForwardLogic::on(const AnswerEnd& event, Instant now)
{
    auto* flow = current(event.id, event.attempt);
    if (!flow)
        return;
    const auto& facts = flow->facts;
    if (facts.wasNotRun && facts.status == httpStatusOf(ResultCode::MalformedRequest)) {
        endCall(*flow, CallOutcome::Abandoned, now);
        return refuse(*flow, ResultCode::MalformedRequest, "the replica refused the request as malformed", now);
    }
    if (facts.wasNotRun || facts.isMisdirected) {
        if (facts.isMisdirected)
            takeSourceBack(*flow);
        else if (!flow->route->hasPrompt)
            m_shedder.noteFull(flow->service, now);
        endCall(*flow, facts.isMisdirected ? CallOutcome::Misdirected : CallOutcome::Refused, now);
        ++flow->refusals;
        return resendOrFail(*flow, false, "the replica did not run the request", now);
    }
    if (isSuccess(facts.status) && !facts.isGenuine) {
        endCall(*flow, CallOutcome::Failed, now);
        return resendOrFail(*flow, true, "the replica's answer was not its own", now);
    }
    if (facts.isStream && isSuccess(facts.status))
        return endStream(*flow, now);
    if (!flow->route->hasPrompt)
        m_shedder.noteAnswer(flow->service, now - flow->sentAt, flow->route->target, now);
    bool isFailure = facts.status >= 500;
    endCall(*flow, isFailure ? CallOutcome::Failed : CallOutcome::Served, now);
    ++flow->runs;
    if (flow->hasBegun)
        return resendOrFail(*flow, false, "the stream was not taken over", now);
    if (isFailure && resend(*flow, now))
        return;
    if (!isFailure)
        noteServed(*flow, now);
    m_effects.push_back(LogEvent { EventCode::RequestFinished, flow->id,
        std::to_string(facts.status) + " after " + std::to_string((now - flow->arrivedAt) / 1ms) + " ms" });
    m_effects.push_back(Reply { flow->id, facts.status, std::move(flow->headers), std::move(flow->body) });
    flow->timeToFirstByte = now - flow->arrivedAt;
    finish(*flow, isFailure ? ResultCode::UpstreamFailed : ResultCode::Ok, now);
}

void ForwardLogic::endStream(Flow& flow, Instant now)
{
    bool isComplete = flow.splitter.rest().empty() && flow.hasBegun;
    endCall(flow, isComplete ? CallOutcome::Served : CallOutcome::Failed, now);
    if (!isComplete) {
        noteCrash(flow, now);
        return resendOrFail(flow, true, "the stream ended inside an event", now);
    }
    noteServed(flow, now);
    m_effects.push_back(LogEvent { EventCode::RequestFinished, flow.id,
        "stream after " + std::to_string((now - flow.arrivedAt) / 1ms) + " ms, longest pause " + std::to_string(flow.longestPause / 1ms)
            + " ms" });
    m_effects.push_back(EndStream { flow.id });
    // The rest of a stream tells nothing of a whole one.
    if (!flow.ask.resumeAfter)
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
        return prefillElsewhere(*flow, !event.mayHaveRun, now);
    if (!event.mayHaveRun)
        takeSourceBack(*flow);
    resendOrFail(*flow, event.mayHaveRun, event.why, now);
}

void ForwardLogic::endCall(Flow& flow, CallOutcome outcome, Instant now)
{
    flow.isCalling = false;
    m_replicas.end(flow.replica, tokensOf(flow), outcome, now - flow.sentAt, now);
    if (auto sidecar = std::exchange(flow.readsBeside, std::nullopt))
        m_effects.push_back(NotifyPrefill { *sidecar, flow.id, flow.ask.promptTokens, true });
    if (flow.stage != Flow::Stage::Running)
        return;
    endReservation(flow, outcome == CallOutcome::Served, outcome == CallOutcome::Failed && !flow.hasBegun);
    if (m_queue.size()) {
        m_replicas.clearFull(flow.replica);
        m_mayAdmit = true;
    }
}

/// Breaks the present call off, if there is one: its answer is of no use any more.
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

/// Sends the request once more if its route, the number of sends, the replicas and the budget allow it.
bool ForwardLogic::resend(Flow& flow, Instant now)
{
    bool isPossible
        = mayRunAgain(flow) && !crashesReplicas(flow, now) && flow.sends < maxSends && m_replicas.choose(needOf(flow), flow.tried, now);
    return isPossible && m_budget.take(flow.service, now) && (prefillAgain(flow, now) || send(flow, now));
}

void ForwardLogic::resendOrFail(Flow& flow, bool mayHaveRun, const std::string& why, Instant now)
{
    flow.runs += mayHaveRun ? 1 : 0;
    if (flow.endsAt <= now)
        return giveUp(flow, now);
    if (resend(flow, now)) {
        m_effects.push_back(LogEvent { EventCode::RequestRetried, flow.id, why });
        return;
    }
    if (flow.hasBegun) {
        m_effects.push_back(LogEvent { EventCode::RequestFailed, flow.id, why + " at " + toString(flow.replica) });
        m_effects.push_back(AbortStream { flow.id });
        return finish(flow, ResultCode::UpstreamFailed, now);
    }
    if (crashesReplicas(flow, now))
        return refuseAsCrashing(flow, now);
    auto notRun = flow.refusals ? ResultCode::Overloaded : ResultCode::NoUpstream;
    refuse(flow, flow.runs ? ResultCode::UpstreamFailed : notRun, why, now);
}

// --- Ends -------------------------------------------------------------------------------------------------------

Duration ForwardLogic::retryAfter(const Flow& flow, Instant now) const
{
    return std::clamp<Duration>((flow.endsAt - now) / patiencePartForReturn, shortestReturn, longestReturn);
}

void ForwardLogic::refuse(Flow& flow, ResultCode code, const std::string& why, Instant now)
{
    refuseUntil(flow, code, why, httpStatusOf(code) == 503 ? std::optional(retryAfter(flow, now)) : std::nullopt, now);
}

void ForwardLogic::refuseUntil(Flow& flow, ResultCode code, const std::string& why, std::optional<Duration> retryAfter, Instant now)
{
    Error error { code, why, retryAfter };
    bool hasFailed = flow.runs > 0;
    auto text = std::string(nameOf(code)) + ": " + why;
    if (hasFailed)
        text += " at " + toString(flow.replica);
    m_effects.push_back(LogEvent { hasFailed ? EventCode::RequestFailed : EventCode::RequestRefused, flow.id, std::move(text) });
    m_effects.push_back(Refuse { flow.id, std::move(error) });
    finish(flow, code, now);
}

void ForwardLogic::giveUp(Flow& flow, Instant now)
{
    bool wasCalling = flow.isCalling;
    if (wasCalling) {
        m_effects.push_back(CancelCall { flow.id, flow.attempt });
        endCall(flow, flow.hasHead ? CallOutcome::Abandoned : CallOutcome::Failed, now);
    }
    if (flow.hasBegun) {
        m_effects.push_back(LogEvent { EventCode::RequestFailed, flow.id, "the stream did not end in time" });
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
    m_effects.push_back(
        LogEvent { EventCode::RequestCancelled, flow.id, "the caller left after " + std::to_string((now - flow.arrivedAt) / 1ms) + " ms" });
    abandonCall(flow, now);
    finish(flow, ResultCode::Cancelled, now);
}

void ForwardLogic::finish(Flow& flow, ResultCode code, Instant now)
{
    if (flow.admittedAt)
        m_engineLoad.finish(flow.service, *flow.admittedAt, code == ResultCode::Ok, now);
    m_effects.push_back(Finished { flow.route ? flow.route->name : "", code, flow.sends, flow.timeToFirstByte, flow.reservationWait });
    giveBackCharge(flow, code, now);
    dropSource(flow);
    dropPlace(flow);
    endReservation(flow, false);
    auto id = flow.id;
    m_queue.remove(id);
    m_wakes.erase({ flow.checkAt, id });
    m_flows.erase(id);
}

} // namespace wrenhinge
