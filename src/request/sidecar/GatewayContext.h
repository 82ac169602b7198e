/** \file
 * What the flows of a gateway share: its tables, the requests in progress, and the list of effects being built.
 */
#pragma once

#include "base/Safeguards.h"
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

/// Where a request stands at its gateway.
enum class RequestPhase : std::uint8_t {
    New,
    AwaitingGrant, ///< Generation: a decode sidecar was asked for a slot.
    Prefilling, ///< Generation: a prefill sidecar has it.
    AwaitingDecode, ///< Generation: the decode sidecar has the prefill's result.
    AwaitingIntent, ///< Keyed: the controllers were asked to record the intent.
    AwaitingSeal, ///< Keyed: the sidecar of an earlier attempt was asked what became of it.
    Dispatched, ///< Plain: a sidecar has it.
    Answering, ///< The answer's head has come.
};

/// One request in progress.
struct GatewayRequest {
    RequestId id;
    CallerRequest caller;
    RequestFingerprint fingerprint; ///< The same when it comes again.
    ServiceRules rules;
    Priority priority = Priority::Normal;
    RequestPhase phase = RequestPhase::New;
    Instant arrived;
    Instant startDeadline; ///< The first token (generation) or the start (plain) is useless after this.
    Instant lastProgress;
    Instant sentAt; ///< To the upstream that works on it now.
    Attempt attempt;
    int placementAttempts = 0;
    std::optional<Duration> retryAfter; ///< The soonest time that any refusal named.
    PeerId upstream; ///< Decode or plain sidecar of this attempt.
    Placement::Excluded excluded;

    PeerId prefill;
    Placement::Excluded excludedPrefills;
    std::uint32_t predictedCachedTokens = 0;
    std::uint64_t unusedPrefillTokens = 0; ///< Of this attempt's prefill, until its first token proves it used.
    Instant prefilledAt;
    std::string kvParams;
    int decodeMoves = 0;

    std::string ledgerKey; ///< Plain and non-repeatable with a caller's key.
    std::uint64_t contentHash = 0; ///< As the ledger keeps it.
    StoredResponse keptAnswer;

    bool headSent = false;
    std::uint64_t answerBytes = 0; ///< Passed to the caller so far.
    Instant firstTokenAt;
    Instant lastTokenAt;
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
    std::unordered_map<RequestId, GatewayRequest> requests;
    std::vector<gateway::Effect> effects;

    void send(PeerId, Message);
    void sendToControllers(const Message&);
    void sendAll(ControllerClient::Sends);
    void note(EventCode, const RequestId&, std::string text);

    /// Passes a head, a piece or the end of an answer on to the caller. Pieces are placed by offset: what the caller
    /// already has is cut off. \returns false if bytes are missing in between.
    void answerHead(GatewayRequest&, int status, HeaderList);
    bool answerData(GatewayRequest&, std::uint64_t offset, std::string bytes);
    void answerEnd(GatewayRequest&, Instant now);
    /// Gives the final error, at once, with when to come back, and forgets the request.
    void failRequest(GatewayRequest&, ResultCode, std::string message, Instant now);
    /// Counts a failure or success of an upstream and notes an ejection or return.
    void upstreamFailed(PeerId, Instant now);
    void upstreamSucceeded(PeerId);
    /// The upstream's connection ended while it worked on the request.
    void noteCrash(const GatewayRequest&, PeerId upstream, Instant now);
    /// Whether replicas that ran this very request have crashed, so that it is not run again.
    [[nodiscard]] bool crashesReplicas(const GatewayRequest&, Instant now) const;
    void refuseAsCrashing(GatewayRequest&, Instant now);
    /// It was answered whole.
    void noteServed(const GatewayRequest&, Instant now);
    /// Remembers the soonest time to come back among several refusals.
    static void keepEarliestRetryAfter(GatewayRequest&, Duration);
    /// Forgets the request and reports how it ended.
    void close(GatewayRequest&, ResultCode, Instant now);
};

} // namespace wrenhinge
