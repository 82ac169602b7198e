/** \file
 * The life of a call to a plain service at its gateway, repeatable or not.
 *
 *     repeatable:          Dispatched -> Answering -> end          refused, failed: another replica
 *     not repeatable:      Dispatched -> Answering -> end          refused: another replica; failed: outcome unknown
 *     with a caller's key: AwaitingIntent -> Dispatched -> Answering -> outcome recorded
 *                               | an earlier attempt exists
 *                               v
 *                          AwaitingSeal -> its outcome, or a new intent if it was never admitted
 *
 * After the bytes may have reached the upstream, nothing that may not be repeated is sent a second time. The intent is
 * committed before the dispatch and names the sidecar's run, so that a resend through any gateway knows whom to ask.
 */
#pragma once

#include "request/sidecar/GatewayContext.h"

namespace wrenhinge {

class PlainFlow {
public:
    explicit PlainFlow(GatewayContext& context)
        : m_context(context)
    {
    }

    void begin(GatewayRequest&, Instant now);
    void onIntent(GatewayRequest&, const IntentCommand&, const std::optional<ProposeReply>&, Instant now);
    void onSealed(GatewayRequest&, PeerId from, const SealReply&, Instant now);
    void onHead(GatewayRequest&, PeerId from, const ResponseHead&, Instant now);
    void onData(GatewayRequest&, PeerId from, const ResponseData&, Instant now);
    void onEnd(GatewayRequest&, PeerId from, const ResponseEnd&, Instant now);
    void onRefused(GatewayRequest&, PeerId from, const Refused&, Instant now);
    void onFailed(GatewayRequest&, PeerId from, const Failed&, Instant now);
    void onUpstreamLost(GatewayRequest&, PeerId, Instant now);
    void cancel(GatewayRequest&);
    void tick(GatewayRequest&, Instant now);

private:
    void place(GatewayRequest&, Instant now);
    void proposeIntent(GatewayRequest&, Instant now);
    void dispatch(GatewayRequest&, Instant now);
    void resolveEarlierAttempt(GatewayRequest&, const LedgerView&, Instant now);
    void replay(GatewayRequest&, const StoredResponse&, Instant now);
    void failAsUnknownOutcome(GatewayRequest&, Instant now);
    void recordOutcome(const GatewayRequest&, AttemptState, StoredResponse, Instant now);
    [[nodiscard]] static bool isKeyed(const GatewayRequest& request) { return !request.ledgerKey.empty(); }

    GatewayContext& m_context;
};

} // namespace wrenhinge
