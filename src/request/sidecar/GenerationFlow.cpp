#include "request/sidecar/GenerationFlow.h"

#include <algorithm>

namespace wrenhinge {

namespace {

    /// Sidecars asked for a slot before the request is refused.
    constexpr int maxPlacements = 4;
    /// Further decode replicas that are offered the result of a finished prefill when the granted one has no slot.
    constexpr int maxDecodeMoves = 3;
    /// Engines free a prefill's result after about this time, so every decode must be scheduled within it.
    constexpr Duration resultLife = 700ms;
    /// Sidecars refuse work whose deadline has passed. If neither a refusal nor a token arrives within this time after the
    /// deadline, the gateway treats the sidecar as hung.
    constexpr Duration hangMargin = 1s;
    /// An answer that makes no progress for this long has stalled.
    constexpr Duration stallTimeout = 10s;

    PrefillRequirements requirementsOf(const GatewayRequest& request)
    {
        return { request.caller.promptTokens, request.caller.prefixBlocks, request.priority };
    }

} // namespace

void GenerationFlow::begin(GatewayRequest& request, Instant now) { place(request, now); }

void GenerationFlow::place(GatewayRequest& request, Instant now)
{
    if (m_context.crashesReplicas(request, now))
        return m_context.refuseAsCrashing(request, now);
    m_context.tryConvicted(request);
    auto remaining = request.startDeadline - now;
    if (request.placementAttempts++ >= maxPlacements || remaining <= Duration::zero())
        return refuse(request, request.retryAfter ? ResultCode::Overloaded : ResultCode::DeadlineUnreachable, now);
    const auto& service = request.caller.service;
    auto prefill = m_context.placement.choosePrefillReplica(service, requirementsOf(request), request.excludedPrefills, now);
    SlotRequirements requirements { request.priority, prefill ? prefill->end : Duration::zero(), request.caller.promptTokens };
    auto decode = m_context.placement.chooseReplica(service, UpstreamKind::Decode, requirements, request.excluded, now);
    if (!prefill || !decode)
        return refuse(request, request.retryAfter ? ResultCode::Overloaded : ResultCode::NoUpstream, now);
    request.upstream = *decode;
    request.attempt = request.attempt.next();
    auto leadTime = prefill->end + transferTime(request);
    if (leadTime > remaining) {
        GatewayContext::keepEarliestRetryAfter(request, leadTime - remaining);
        return refuse(request, ResultCode::DeadlineUnreachable, now);
    }
    request.phase = RequestPhase::AwaitingGrant;
    m_context.note(
        EventCode::RequestPlaced, request.id, "decode " + toString(*decode) + ", lead time " + std::to_string(leadTime.count()) + " us");
    auto sequence = m_context.upstreams.recordSent(*decode, Duration::zero());
    m_context.send(*decode,
        SlotRequest { request.id, request.attempt, sequence, request.priority, leadTime, remaining - leadTime, request.caller.promptTokens,
            request.caller.maxTokens });
}

void GenerationFlow::onGrant(GatewayRequest& request, PeerId from, const SlotGrant& grant, Instant now)
{
    if (request.phase != RequestPhase::AwaitingGrant || from != request.upstream)
        return m_context.send(from, Cancel { grant.request, grant.attempt });
    m_context.note(EventCode::RequestGranted, request.id, "by " + toString(from));
    startPrefill(request, now);
}

/// Chooses the prefill replica only now, not together with the decode replica, since the prefill queues may have changed
/// while the grant was pending.
void GenerationFlow::startPrefill(GatewayRequest& request, Instant now)
{
    if (m_context.crashesReplicas(request, now)) {
        m_context.send(request.upstream, Cancel { request.id, request.attempt });
        return m_context.refuseAsCrashing(request, now);
    }
    auto budget = request.startDeadline - now - transferTime(request);
    auto choice = m_context.placement.choosePrefillReplica(request.caller.service, requirementsOf(request), request.excludedPrefills, now);
    if (!choice || choice->end > budget) {
        m_context.send(request.upstream, Cancel { request.id, request.attempt });
        if (choice)
            GatewayContext::keepEarliestRetryAfter(request, choice->end - budget);
        return refuse(request, choice || request.retryAfter ? ResultCode::DeadlineUnreachable : ResultCode::NoUpstream, now);
    }
    request.phase = RequestPhase::Prefilling;
    request.sentAt = now;
    request.prefill = choice->replica;
    request.predictedCachedTokens = choice->cachedTokens;
    request.unusedPrefillTokens = request.caller.promptTokens - choice->cachedTokens;
    request.summary.prefillTokens += request.unusedPrefillTokens;
    m_context.placement.prefixIndex().recordBlocks(request.caller.prefixBlocks, choice->replica);
    m_context.note(EventCode::PrefillStarted, request.id,
        "at " + toString(choice->replica) + ", " + std::to_string(choice->cachedTokens) + " tokens cached");
    auto sequence = m_context.upstreams.recordSent(choice->replica, choice->cost);
    m_context.send(choice->replica,
        PrefillRequest { request.id, request.attempt, sequence, request.priority, budget, request.caller.promptTokens, choice->cachedTokens,
            request.caller.target, request.caller.body });
}

void GenerationFlow::onPrefilled(GatewayRequest& request, PeerId from, const PrefillDone& done, Instant now)
{
    if (request.phase != RequestPhase::Prefilling || from != request.prefill)
        return m_context.send(from, Cancel { done.request, done.attempt });
    m_context.upstreamSucceeded(from);
    m_context.placement.prefixIndex().recordBlocks(request.caller.prefixBlocks, from);
    request.prefilledAt = now;
    request.kvParams = done.kvParams;
    m_context.note(EventCode::PrefillFinished, request.id, std::to_string(done.cachedTokens) + " tokens were cached");
    startDecode(request, now);
}

void GenerationFlow::startDecode(GatewayRequest& request, Instant now)
{
    request.phase = RequestPhase::AwaitingDecode;
    request.sentAt = now;
    auto sequence = m_context.upstreams.recordSent(request.upstream, Duration::zero());
    auto resultLeft = resultLife - (now - request.prefilledAt);
    m_context.send(request.upstream,
        DecodeRequest { request.id, request.attempt, sequence, request.priority, resultLeft,
            request.startDeadline - now - transferTime(request), request.caller.promptTokens, request.caller.maxTokens,
            request.caller.target, request.caller.body, request.kvParams });
}

/// The granted replica has no slot after all. Until the prefill's result expires, any replica with a free slot can fetch it.
void GenerationFlow::moveDecode(GatewayRequest& request, Instant now)
{
    auto resultLeft = resultLife - (now - request.prefilledAt);
    request.excluded.insert(request.upstream);
    SlotRequirements requirements { request.priority, Duration::zero(), request.caller.promptTokens };
    auto decode = m_context.placement.chooseReplica(request.caller.service, UpstreamKind::Decode, requirements, request.excluded, now);
    if (!decode || request.decodeMoves++ >= maxDecodeMoves || resultLeft <= Duration::zero()) {
        discardPrefill(request);
        return retry(request, "no decode slot for the prefill's result", now);
    }
    request.upstream = *decode;
    m_context.note(EventCode::DecodeMoved, request.id, "to " + toString(*decode));
    startDecode(request, now);
}

void GenerationFlow::onHead(GatewayRequest& request, PeerId from, const ResponseHead& head, Instant now)
{
    if (from != request.upstream)
        return;
    request.phase = RequestPhase::Answering;
    request.lastProgress = now;
    m_context.note(EventCode::DecodeStarted, request.id, "at " + toString(from));
    m_context.answerHead(request, head.status, head.headers);
}

void GenerationFlow::onData(GatewayRequest& request, PeerId from, const ResponseData& data, Instant now)
{
    if (from != request.upstream)
        return;
    request.lastProgress = now;
    if (data.tokens) {
        if (!request.summary.tokens)
            request.firstTokenAt = now;
        request.lastTokenAt = now;
        m_context.noteSurvival(request, now);
        request.summary.tokens += data.tokens;
        request.unusedPrefillTokens = 0;
    }
    if (!m_context.answerData(request, data.offset, data.bytes)) {
        m_context.send(from, Cancel { request.id, request.attempt });
        m_context.failRequest(request, ResultCode::UpstreamFailed, "part of the answer was lost; send the request again", now);
    }
}

void GenerationFlow::onEnd(GatewayRequest& request, PeerId from, const ResponseEnd& end, Instant now)
{
    if (from != request.upstream)
        return;
    if (end.totalBytes != request.answerBytes)
        return m_context.failRequest(request, ResultCode::UpstreamFailed, "the answer ended early; send the request again", now);
    m_context.upstreamSucceeded(from);
    m_context.retries.onSuccess();
    m_context.noteServed(request, now);
    m_context.answerEnd(request, now);
}

void GenerationFlow::onRefused(GatewayRequest& request, PeerId from, const Refused& refused, Instant now)
{
    bool isDecode = from == request.upstream;
    if (isDecode && request.phase == RequestPhase::AwaitingDecode)
        return moveDecode(request, now);
    GatewayContext::keepEarliestRetryAfter(request, refused.retryAfter);
    if (isDecode && request.phase == RequestPhase::AwaitingGrant) {
        request.excluded.insert(from);
        return place(request, now);
    }
    if (isDecode && request.phase == RequestPhase::Prefilling) {
        // The grant expired or was revoked while the prefill runs: another slot is chosen when the prefill ends.
        return;
    }
    if (from == request.prefill && request.phase == RequestPhase::Prefilling) {
        request.summary.prefillTokens -= request.unusedPrefillTokens; // The prefill never started.
        request.unusedPrefillTokens = 0;
        request.excludedPrefills.insert(from);
        startPrefill(request, now);
    }
}

void GenerationFlow::onFailed(GatewayRequest& request, PeerId from, const Failed& failed, Instant now)
{
    if (from != request.upstream && from != request.prefill)
        return;
    if (failed.code == ResultCode::MalformedRequest) {
        cancel(request);
        return m_context.failRequest(
            request, ResultCode::MalformedRequest, "the engine rejected this request as malformed; correct its body", now);
    }
    m_context.upstreamFailed(from, now);
    (from == request.upstream ? request.excluded : request.excludedPrefills).insert(from);
    if (from != request.upstream)
        m_context.send(request.upstream, Cancel { request.id, request.attempt });
    retry(request, nameOf(failed.code), now);
}

void GenerationFlow::onUpstreamLost(GatewayRequest& request, PeerId lost, Instant now)
{
    bool usesPrefill = lost == request.prefill && request.phase == RequestPhase::Prefilling;
    if (lost != request.upstream && !usesPrefill)
        return;
    (usesPrefill ? request.excludedPrefills : request.excluded).insert(lost);
    cancel(request);
    retry(request, "its replica was lost", now);
}

/// Restarts the request as a new attempt, unless the caller has received a part of the answer or the retry budget is used up.
void GenerationFlow::retry(GatewayRequest& request, std::string_view why, Instant now)
{
    discardPrefill(request);
    if (request.answerBytes)
        return m_context.failRequest(request, ResultCode::UpstreamFailed, "the answer was interrupted; send the request again", now);
    if (!m_context.retries.tryWithdraw(now))
        return m_context.failRequest(
            request, ResultCode::UpstreamFailed, "the engine failed and the retry budget is used up; send the request again", now);
    ++request.summary.retries;
    request.decodeMoves = 0;
    m_context.note(EventCode::RequestRetried, request.id, std::string(why));
    place(request, now);
}

void GenerationFlow::refuse(GatewayRequest& request, ResultCode code, Instant now)
{
    auto message = code == ResultCode::NoUpstream ? "no replica of this service can take this request now; retry later"
                                                  : "the first token can't be produced in time; retry later";
    m_context.failRequest(request, code, message, now);
}

void GenerationFlow::cancel(GatewayRequest& request)
{
    if (request.phase == RequestPhase::New)
        return;
    m_context.send(request.upstream, Cancel { request.id, request.attempt });
    if (request.phase == RequestPhase::Prefilling || request.phase == RequestPhase::AwaitingDecode)
        m_context.send(request.prefill, Cancel { request.id, request.attempt });
}

void GenerationFlow::discardPrefill(GatewayRequest& request)
{
    request.summary.wastedPrefillTokens += request.unusedPrefillTokens;
    request.unusedPrefillTokens = 0;
}

void GenerationFlow::tick(GatewayRequest& request, Instant now)
{
    bool isHung = request.phase != RequestPhase::Answering && now > request.startDeadline + hangMargin;
    bool isStalled = request.phase == RequestPhase::Answering && now > request.lastProgress + stallTimeout;
    if (!isHung && !isStalled)
        return;
    cancel(request);
    m_context.upstreamFailed(request.phase == RequestPhase::Prefilling ? request.prefill : request.upstream, now);
    m_context.failRequest(request, isHung ? ResultCode::DeadlineUnreachable : ResultCode::UpstreamFailed,
        isHung ? "the first token was not produced in time; retry later" : "the answer stalled; send the request again", now);
}

Duration GenerationFlow::transferTime(const GatewayRequest& request) const
{
    const auto* decode = m_context.upstreams.find(request.upstream);
    return decode ? predictedTransferTime(*decode, request.caller.promptTokens) : Duration::zero();
}

} // namespace wrenhinge
