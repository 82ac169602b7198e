#include "request/sidecar/GatewayContext.h"

#include <algorithm>

namespace wrenhinge {

namespace {

    constexpr double retryAfterSpread = 0.25;
    constexpr Duration defaultRetryAfter = 1s;
    /// Interval at which an answer that goes on is noted again: several within the time for which that counts.
    constexpr Duration survivalInterval = 1s;

    /// The seed is drawn anew at each start, so this names one run of the process.
    std::string processName(std::uint64_t seed) { return toString(PeerId(seed)); }

    bool isRetryable(ResultCode code)
    {
        auto n = static_cast<int>(code);
        return (n >= 200 && n < 300) || code == ResultCode::InProgress || code == ResultCode::OutcomeUnknown;
    }

    bool meetsTargets(const GatewayRequest& request)
    {
        const auto& summary = request.summary;
        // An answer that is not streamed has no visible first token: it must be complete by the time at which a stream
        // within both targets would have ended.
        if (!request.caller.isStreamed)
            return summary.tokens > 0
                && summary.firstToken <= request.rules.firstTokenTarget + request.rules.tokenIntervalTarget * summary.tokens;
        return summary.tokens > 0 && summary.firstToken <= request.rules.firstTokenTarget
            && summary.tokenInterval <= request.rules.tokenIntervalTarget;
    }

    void completeSummary(GatewayRequest& request, ResultCode code)
    {
        auto& summary = request.summary;
        summary.code = code;
        if (summary.tokens) {
            summary.firstToken = request.firstTokenAt - request.arrived;
            if (summary.tokens > 1)
                summary.tokenInterval = (request.lastTokenAt - request.firstTokenAt) / (summary.tokens - 1);
        }
        summary.metTargets = code == ResultCode::Ok && (!summary.isGeneration || meetsTargets(request));
        summary.wastedPrefillTokens += request.unusedPrefillTokens;
    }

} // namespace

GatewayContext::GatewayContext(std::uint64_t seed, const Safeguards& safeguards)
    : safeguards(safeguards)
    , placement(upstreams, seed)
    , follower(safeguards.neverStepsBack)
    , crashes(processName(seed))
    , trials(processName(seed))
{
}

void GatewayContext::send(PeerId to, Message message) { effects.push_back(gateway::Send { to, std::move(message) }); }

void GatewayContext::sendAll(ControllerClient::Sends sends)
{
    for (auto& [to, message] : sends)
        send(to, std::move(message));
}

void GatewayContext::note(EventCode code, const RequestId& id, std::string text)
{
    effects.push_back(LogEvent { code, id, std::move(text) });
}

void GatewayContext::answerHead(GatewayRequest& request, int status, HeaderList headers)
{
    if (request.headSent)
        return;
    request.headSent = true;
    effects.push_back(gateway::AnswerHead { request.id, status, std::move(headers) });
}

bool GatewayContext::answerData(GatewayRequest& request, std::uint64_t offset, std::string bytes)
{
    if (offset > request.answerBytes)
        return false;
    auto alreadySent = std::min<std::uint64_t>(request.answerBytes - offset, bytes.size());
    bytes.erase(0, alreadySent);
    if (bytes.empty())
        return true;
    if (!request.answerBytes)
        note(EventCode::FirstByte, request.id, "");
    request.answerBytes += bytes.size();
    effects.push_back(gateway::AnswerData { request.id, std::move(bytes) });
    return true;
}

void GatewayContext::answerEnd(GatewayRequest& request, Instant now)
{
    effects.push_back(gateway::AnswerEnd { request.id });
    note(EventCode::RequestFinished, request.id, std::to_string(request.answerBytes) + " bytes");
    close(request, ResultCode::Ok, now);
}

void GatewayContext::failRequest(GatewayRequest& request, ResultCode code, std::string message, Instant now)
{
    Error error { code, std::move(message) };
    if (isRetryable(code))
        error.retryAfter = fromSeconds(toSeconds(request.retryAfter.value_or(defaultRetryAfter)) * placement.jitter(retryAfterSpread));
    note(static_cast<int>(code) < 300 ? EventCode::RequestRefused : EventCode::RequestFailed, request.id,
        std::string(nameOf(code)) + ": " + error.message);
    if (request.headSent)
        effects.push_back(gateway::AnswerAborted { request.id, std::move(error) });
    else
        effects.push_back(gateway::AnswerError { request.id, std::move(error) });
    close(request, code, now);
}

/// An engine may crash and restart while its sidecar keeps running, so the time of the crash identifies the run.
void GatewayContext::noteCrash(const GatewayRequest& request, PeerId upstream, Instant now)
{
    auto crashTime = static_cast<std::uint64_t>(now.time_since_epoch() / 1ms);
    ReplicaRun run { toString(upstream), ReplicaStart(crashTime) };
    auto answeredFor = request.summary.tokens ? now - request.firstTokenAt : Duration::zero();
    auto report = crashes.noteCrash(request.content, run, { request.caller.service, "" }, now - request.sentAt, answeredFor, now);
    for (const auto& crash : report.crashes) {
        if (crashes.statusOf(crash.content, now) == CrashTracker::Status::Convicted)
            note(EventCode::RequestCrashesReplicas, {}, crashes.text(crash.content));
    }
    reportCrashes(std::move(report));
}

bool GatewayContext::crashesReplicas(const GatewayRequest& request, Instant now) const
{
    return safeguards.refusesCrashingRequests && !trials.mayRun(request.id, crashes.convictionsOf(request.content), now);
}

void GatewayContext::tryConvicted(const GatewayRequest& request) { trials.begin(request.id, crashes.convictionsOf(request.content)); }

void GatewayContext::refuseAsCrashing(GatewayRequest& request, Instant now)
{
    failRequest(request, ResultCode::CrashesReplicas, crashes.refusalReason(request.content, request.sentAt != Instant()), now);
}

void GatewayContext::noteServed(const GatewayRequest& request, Instant now)
{
    bool isTrial = trials.isTrial(request.id);
    reportCrashes(
        isTrial ? crashes.noteTrialServed(request.content, now) : crashes.noteServed(request.content, { request.caller.service, "" }, now));
}

void GatewayContext::noteSurvival(GatewayRequest& request, Instant now)
{
    bool isDue = now - request.firstTokenAt >= CrashTracker::survivalTime && now - request.survivalNotedAt >= survivalInterval;
    if (!isDue || request.content.parts.empty())
        return;
    request.survivalNotedAt = now;
    reportCrashes(crashes.noteSurvived(request.content, { request.caller.service, "" }, now));
}

void GatewayContext::reportCrashes(CrashReport report)
{
    if (!report.isEmpty())
        sendToControllers(std::move(report));
}

void GatewayContext::sendToControllers(const Message& message)
{
    for (auto controller : controllers.connectedControllers())
        send(controller, message);
}

void GatewayContext::upstreamFailed(PeerId id, Instant now)
{
    if (upstreams.recordFailure(id, now) == UpstreamTable::Change::Ejected)
        note(EventCode::UpstreamEjected, {}, toString(id));
}

void GatewayContext::upstreamSucceeded(PeerId id)
{
    if (upstreams.recordSuccess(id) == UpstreamTable::Change::Returned)
        note(EventCode::UpstreamReturned, {}, toString(id));
}

void GatewayContext::keepEarliestRetryAfter(GatewayRequest& request, Duration retryAfter)
{
    request.retryAfter = request.retryAfter ? std::min(*request.retryAfter, retryAfter) : retryAfter;
}

void GatewayContext::close(GatewayRequest& request, ResultCode code, Instant)
{
    completeSummary(request, code);
    limits.release(request.caller.account);
    effects.push_back(gateway::Finished { request.summary });
    trials.end(request.id);
    requests.erase(request.id);
}

} // namespace wrenhinge
