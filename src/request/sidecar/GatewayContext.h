/** \file
 * State shared by the flows of a gateway: its tables, the requests in progress and the effects of the current step.
 */
#pragma once

#include "base/Safeguards.h"
#include "request/fleet/ConvictionTrials.h"
#include "request/fleet/CrashTracker.h"
#include "request/sidecar/AccountLimits.h"
#include "request/sidecar/GatewayEvents.h"
#include "request/sidecar/Placement.h"
#include "request/sidecar/RetryBudget.h"
#include "request/sidecar/UpstreamTable.h"
#include "version/ConfigFollower.h"
#include "version/ControllerClient.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace wrenhinge {

/// Phase of a request at its gateway.
enum class RequestPhase : std::uint8_t {
    New,
    AwaitingGrant, ///< Generation: a slot was requested from a decode sidecar.
    Prefilling, ///< Generation: sent to a prefill sidecar.
    AwaitingDecode, ///< Generation: sent to a decode sidecar with the handle of the prefill's result; no token yet.
    AwaitingIntent, ///< Keyed: the intent was proposed to the controllers.
    AwaitingSeal, ///< Keyed: the sidecar of an earlier attempt was asked to seal it and report its state.
    Dispatched, ///< Plain: sent to a sidecar.
    Answering, ///< The head of the answer has arrived.
};

/// One request in progress.
struct GatewayRequest {
    RequestId id;
    CallerRequest caller;
    RequestContent content; ///< What may crash the replicas that process the request.
    ServiceRules rules;
    Priority priority = Priority::Normal;
    RequestPhase phase = RequestPhase::New;
    Instant arrived;
    Instant startDeadline; ///< Latest useful time of the first token (generation) or of the start (plain).
    Instant lastProgress;
    Instant sentAt; ///< When it was sent to the upstream that works on it now.
    Attempt attempt;
    int placementAttempts = 0; ///< Bounds the replicas that are tried.
    std::optional<Duration> retryAfter; ///< The smallest retry delay of all refusals.
    PeerId upstream; ///< Decode or plain sidecar of this attempt.
    Placement::Excluded excluded; ///< Decode or plain replicas that refused or failed it.

    PeerId prefill; ///< Prefill sidecar of this attempt.
    Placement::Excluded excludedPrefills;
    std::uint32_t predictedCachedTokens = 0;
    std::uint64_t unusedPrefillTokens = 0; ///< Prompt tokens that this attempt's prefill computes; 0 once a token was generated from them.
    Instant prefilledAt;
    std::string kvParams;
    int decodeMoves = 0; ///< How often the prefill's result was offered to another decode replica.

    std::string ledgerKey; ///< Set for a non-repeatable plain call that carries an idempotency key.
    std::uint64_t contentHash = 0; ///< Stored in the ledger to detect a key that is reused for another request.
    StoredResponse keptAnswer;

    bool headSent = false;
    std::uint64_t answerBytes = 0; ///< Sent to the caller so far.
    Instant firstTokenAt;
    Instant lastTokenAt;
    Instant survivalNotedAt; ///< When the answer was last noted as one under which the replica does not crash.
    RequestSummary summary;
};

class GatewayContext {
public:
    explicit GatewayContext(std::uint64_t seed, const Safeguards& = {});

    const Safeguards safeguards;

    UpstreamTable upstreams;
    Placement placement;
    RetryBudget retries;
    AccountLimits limits;
    ConfigFollower follower;
    ControllerClient controllers;
    CrashTracker crashes;
    ConvictionTrials trials;
    std::unordered_map<RequestId, GatewayRequest> requests;
    std::vector<gateway::Effect> effects;

    void send(PeerId, Message);
    void sendToControllers(const Message&);
    void sendAll(ControllerClient::Sends);
    void note(EventCode, const RequestId&, std::string text);

    /// Forwards the head, a chunk or the end of an answer to the caller. Of a chunk, the bytes below the offset that was
    /// already sent are skipped. \returns false if there is a gap between the bytes sent and the chunk.
    void answerHead(GatewayRequest&, int status, HeaderList);
    bool answerData(GatewayRequest&, std::uint64_t offset, std::string bytes);
    void answerEnd(GatewayRequest&, Instant now);
    /// Ends the request with an error; if a retry can succeed, with a randomized retry delay.
    void failRequest(GatewayRequest&, ResultCode, std::string message, Instant now);
    /// Counts a failure or success of an upstream and logs its ejection or return.
    void upstreamFailed(PeerId, Instant now);
    void upstreamSucceeded(PeerId);
    /// Records that the upstream's connection closed while it worked on the request, and reports it to the controllers.
    void noteCrash(const GatewayRequest&, PeerId upstream, Instant now);
    /// Whether identical requests, or others with the same beginning of their prompts, have crashed replicas, so that this one must not
    /// run.
    [[nodiscard]] bool crashesReplicas(const GatewayRequest&, Instant now) const;
    /// Records that the request, which may run, is the one that tries its convicted content, if it has any.
    void tryConvicted(const GatewayRequest&);
    void refuseAsCrashing(GatewayRequest&, Instant now);
    /// Records that the request was answered completely, which clears the crashes recorded for it.
    void noteServed(const GatewayRequest&, Instant now);
    /// Records that tokens of the answer have arrived, which clears crashes of the prompt's parts once there have been some for a while.
    void noteSurvival(GatewayRequest&, Instant now);
    void reportCrashes(CrashReport);
    /// Keeps the smallest retry delay of several refusals.
    static void keepEarliestRetryAfter(GatewayRequest&, Duration);
    /// Removes the request and emits its summary.
    void close(GatewayRequest&, ResultCode, Instant now);
};

} // namespace wrenhinge
