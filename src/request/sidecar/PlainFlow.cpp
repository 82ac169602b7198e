#include "request/sidecar/PlainFlow.h"

#include <algorithm>

namespace wrenhinge {

namespace {

    constexpr int maxPlacements = 4;
    constexpr Duration hangMargin = 1s;
    /// How long a dispatched call may take after its start deadline or its last progress, whichever is later.
    constexpr Duration answerTimeout = 60s;
    constexpr Duration intentTimeout = 2s;
    constexpr Duration outcomeTimeout = 30s;
    constexpr Duration sealTimeout = 2s;
    constexpr Duration inProgressRetryAfter = 500ms;
    constexpr std::size_t keptAnswerLimit = 16384;

} // namespace

void PlainFlow::begin(GatewayRequest& request, Instant now) { place(request, now); }

void PlainFlow::place(GatewayRequest& request, Instant now)
{
    if (m_context.crashesReplicas(request, now))
        return m_context.refuseAsCrashing(request, now);
    m_context.tryConvicted(request);
    if (request.placementAttempts++ >= maxPlacements || now >= request.startDeadline)
        return m_context.failRequest(
            request, ResultCode::Overloaded, "no replica can start this call in time; it was not run, retry later", now);
    auto replica = m_context.placement.chooseReplica(
        request.caller.service, UpstreamKind::Plain, { .priority = request.priority }, request.excluded, now);
    if (!replica) {
        auto code = request.retryAfter ? ResultCode::Overloaded : ResultCode::NoUpstream;
        return m_context.failRequest(request, code, "no replica of this service can take this call now; it was not run, retry later", now);
    }
    request.upstream = *replica;
    request.attempt = request.attempt.next();
    m_context.note(EventCode::RequestPlaced, request.id, "at " + toString(*replica));
    if (isKeyed(request) && m_context.safeguards.recordsIntent)
        proposeIntent(request, now);
    else
        dispatch(request, now);
}

void PlainFlow::proposeIntent(GatewayRequest& request, Instant now)
{
    request.phase = RequestPhase::AwaitingIntent;
    IntentCommand intent { request.ledgerKey, request.contentHash, request.attempt, request.upstream, request.id };
    m_context.sendAll(m_context.controllers.propose(std::move(intent), request.id, now + intentTimeout, now));
}

void PlainFlow::onIntent(GatewayRequest& request, const IntentCommand& intent, const std::optional<ProposeReply>& reply, Instant now)
{
    if (request.phase != RequestPhase::AwaitingIntent || intent.attempt != request.attempt)
        return;
    if (!reply && !m_context.safeguards.refusesWithoutLedger)
        return dispatch(request, now);
    if (!reply) {
        return m_context.failRequest(request, ResultCode::LedgerUnavailable,
            "the ledger can't be reached from this site, so a call that may not be repeated was not run; retry later", now);
    }
    switch (reply->ledger.state) {
    case LedgerState::Accepted:
        m_context.note(EventCode::IntentRecorded, request.id, "attempt " + std::to_string(request.attempt.value()));
        // The sidecar was lost while the intent was recorded. Nothing was sent to it, so a new attempt is safe.
        if (!m_context.upstreams.find(request.upstream))
            return place(request, now);
        return dispatch(request, now);
    case LedgerState::Mismatch:
        return m_context.failRequest(
            request, ResultCode::KeyReused, "this Idempotency-Key was used for another request; use a new key", now);
    default:
        return resolveEarlierAttempt(request, reply->ledger, now);
    }
}

/// The ledger holds an earlier attempt of this request, sent through this gateway or another.
void PlainFlow::resolveEarlierAttempt(GatewayRequest& request, const LedgerView& ledger, Instant now)
{
    if (ledger.finished && ledger.outcome == AttemptState::Finished)
        return replay(request, ledger.answer, now);
    if (ledger.finished)
        return failAsUnknownOutcome(request, now);
    request.attempt = ledger.attempt;
    request.upstream = ledger.sidecar;
    if (!m_context.upstreams.find(ledger.sidecar)) {
        // If the replica has restarted, its admission table is lost and the outcome stays unknown for good. One that is only
        // unreachable may reconnect and report it, so nothing is recorded then.
        if (m_context.upstreams.isReplaced(ledger.sidecar, request.caller.service))
            recordOutcome(request, AttemptState::Interrupted, {}, now);
        return failAsUnknownOutcome(request, now);
    }
    request.phase = RequestPhase::AwaitingSeal;
    request.lastProgress = now;
    m_context.send(ledger.sidecar, Seal { request.id, request.ledgerKey, ledger.attempt });
}

void PlainFlow::onSealed(GatewayRequest& request, PeerId from, const SealReply& reply, Instant now)
{
    if (request.phase != RequestPhase::AwaitingSeal || from != request.upstream || reply.attempt != request.attempt)
        return;
    switch (reply.state) {
    case AttemptState::NeverAdmitted:
        m_context.note(
            EventCode::AttemptSealed, request.id, "attempt " + std::to_string(reply.attempt.value()) + " never ran and is sealed");
        return place(request, now);
    case AttemptState::Running:
        request.retryAfter = inProgressRetryAfter;
        return m_context.failRequest(request, ResultCode::InProgress, "this request is still running; retry later to get its answer", now);
    case AttemptState::Finished:
        recordOutcome(request, AttemptState::Finished, reply.answer, now);
        return replay(request, reply.answer, now);
    case AttemptState::Interrupted:
        recordOutcome(request, AttemptState::Interrupted, {}, now);
        return failAsUnknownOutcome(request, now);
    }
}

void PlainFlow::replay(GatewayRequest& request, const StoredResponse& answer, Instant now)
{
    if (!answer.complete)
        return m_context.failRequest(
            request, ResultCode::AnswerNotKept, "this request ran and was answered; its answer was too large to keep", now);
    m_context.note(EventCode::AnswerReplayed, request.id, "");
    m_context.answerHead(request, answer.status, answer.headers);
    m_context.answerData(request, 0, answer.body);
    m_context.answerEnd(request, now);
}

void PlainFlow::failAsUnknownOutcome(GatewayRequest& request, Instant now)
{
    m_context.failRequest(request, ResultCode::OutcomeUnknown,
        "the call may have run and is not sent again; check with the service before using a new key", now);
}

void PlainFlow::dispatch(GatewayRequest& request, Instant now)
{
    request.phase = RequestPhase::Dispatched;
    request.lastProgress = request.sentAt = now;
    const auto* upstream = m_context.upstreams.find(request.upstream);
    auto cost = upstream ? upstream->load.meanHold : Duration::zero();
    auto sequence = m_context.upstreams.recordSent(request.upstream, cost);
    Dispatch message { request.id, request.attempt, sequence, request.upstream, request.priority, request.startDeadline - now,
        request.rules.repeatable, request.ledgerKey, request.caller.method, request.caller.target, request.caller.headers,
        request.caller.body };
    m_context.send(request.upstream, std::move(message));
}

void PlainFlow::onHead(GatewayRequest& request, PeerId from, const ResponseHead& head, Instant now)
{
    if (from != request.upstream)
        return;
    request.phase = RequestPhase::Answering;
    request.lastProgress = now;
    request.keptAnswer.status = head.status;
    request.keptAnswer.headers = head.headers;
    m_context.answerHead(request, head.status, head.headers);
}

void PlainFlow::onData(GatewayRequest& request, PeerId from, const ResponseData& data, Instant now)
{
    if (from != request.upstream)
        return;
    request.lastProgress = now;
    if (isKeyed(request) && request.keptAnswer.body.size() <= keptAnswerLimit)
        request.keptAnswer.body += data.bytes;
    if (!m_context.answerData(request, data.offset, data.bytes))
        m_context.failRequest(request, ResultCode::OutcomeUnknown, "part of the answer was lost; the call has run", now);
}

void PlainFlow::onEnd(GatewayRequest& request, PeerId from, const ResponseEnd& end, Instant now)
{
    if (from != request.upstream)
        return;
    if (end.totalBytes != request.answerBytes)
        return m_context.failRequest(request, ResultCode::OutcomeUnknown, "the answer ended early; the call has run", now);
    m_context.upstreamSucceeded(from);
    m_context.retries.onSuccess();
    m_context.noteServed(request, now);
    if (isKeyed(request)) {
        bool isSmall = request.keptAnswer.body.size() <= keptAnswerLimit;
        auto kept = isSmall ? request.keptAnswer : StoredResponse { request.keptAnswer.status, {}, {}, false };
        kept.complete = isSmall;
        recordOutcome(request, AttemptState::Finished, std::move(kept), now);
    }
    m_context.answerEnd(request, now);
}

void PlainFlow::recordOutcome(const GatewayRequest& request, AttemptState state, StoredResponse answer, Instant now)
{
    m_context.note(EventCode::OutcomeRecorded, request.id, "attempt " + std::to_string(request.attempt.value()));
    OutcomeCommand outcome { request.ledgerKey, request.attempt, state, std::move(answer) };
    m_context.sendAll(m_context.controllers.propose(std::move(outcome), request.id, now + outcomeTimeout, now));
}

void PlainFlow::onRefused(GatewayRequest& request, PeerId from, const Refused& refused, Instant now)
{
    if (from != request.upstream || request.phase != RequestPhase::Dispatched)
        return;
    GatewayContext::keepEarliestRetryAfter(request, refused.retryAfter);
    if (refused.code == ResultCode::Superseded) {
        return m_context.failRequest(
            request, ResultCode::Superseded, "a resend of this request superseded it; retry later to get its answer", now);
    }
    request.excluded.insert(from);
    place(request, now);
}

void PlainFlow::onFailed(GatewayRequest& request, PeerId from, const Failed& failed, Instant now)
{
    if (from != request.upstream)
        return;
    m_context.upstreamFailed(from, now);
    request.excluded.insert(from);
    bool mayRepeat = !failed.mayHaveRun || request.rules.repeatable || !m_context.safeguards.neverRepeats;
    if (!mayRepeat) {
        if (isKeyed(request))
            recordOutcome(request, AttemptState::Interrupted, {}, now);
        return failAsUnknownOutcome(request, now);
    }
    if (request.headSent || !m_context.retries.tryWithdraw(now)) {
        auto code = failed.mayHaveRun ? ResultCode::UpstreamFailed : ResultCode::NoUpstream;
        return m_context.failRequest(request, code, "the service failed; send the request again", now);
    }
    ++request.summary.retries;
    m_context.note(EventCode::RequestRetried, request.id, "its replica failed");
    place(request, now);
}

/// After the loss of the link a dispatched call may still run, but its answer can't be delivered. Handled like a failure after
/// bytes were sent.
void PlainFlow::onUpstreamLost(GatewayRequest& request, PeerId lost, Instant now)
{
    if (lost != request.upstream || request.phase == RequestPhase::AwaitingIntent)
        return;
    if (request.phase == RequestPhase::AwaitingSeal)
        return failAsUnknownOutcome(request, now);
    if (isKeyed(request)) {
        // The sidecar may still be running and finish the call, so no outcome is recorded: a resend queries it.
        return failAsUnknownOutcome(request, now);
    }
    onFailed(request, lost, Failed { request.id, request.attempt, ResultCode::UpstreamFailed, true, {} }, now);
}

void PlainFlow::cancel(GatewayRequest& request)
{
    // The sidecar does not abort a non-repeatable call that has started; it runs to completion.
    if (request.phase == RequestPhase::Dispatched || request.phase == RequestPhase::Answering)
        m_context.send(request.upstream, Cancel { request.id, request.attempt });
}

void PlainFlow::tick(GatewayRequest& request, Instant now)
{
    if (request.phase == RequestPhase::AwaitingSeal && now > request.lastProgress + sealTimeout)
        return failAsUnknownOutcome(request, now);
    bool isSent = request.phase == RequestPhase::Dispatched || request.phase == RequestPhase::Answering;
    if (!isSent || now <= std::max(request.startDeadline, request.lastProgress) + answerTimeout + hangMargin)
        return;
    cancel(request);
    onFailed(request, request.upstream, Failed { request.id, request.attempt, ResultCode::UpstreamFailed, true, {} }, now);
}

} // namespace wrenhinge
