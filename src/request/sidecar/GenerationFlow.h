/** \file
 * The flow of a generation request at its gateway: slot grant, prefill, decode, and recovery when a step fails.
 *
 *     place -> AwaitingGrant -> Prefilling -> AwaitingDecode -> Answering -> end
 *       ^           | refused       | refused        | no slot: another decode replica, until the result expires
 *       +-----------+               +-- another prefill replica under the same grant
 *
 * The decode slot is granted before the prefill starts, because the work of a prefill without a slot is wasted. Every
 * restart of the flow is a new attempt; messages of earlier attempts are dropped by their attempt number.
 */
#pragma once

#include "request/sidecar/GatewayContext.h"

namespace wrenhinge {

class GenerationFlow {
public:
    explicit GenerationFlow(GatewayContext& context)
        : m_context(context)
    {
    }

    void begin(GatewayRequest&, Instant now);
    void onGrant(GatewayRequest&, PeerId from, const SlotGrant&, Instant now);
    void onPrefilled(GatewayRequest&, PeerId from, const PrefillDone&, Instant now);
    void onHead(GatewayRequest&, PeerId from, const ResponseHead&, Instant now);
    void onData(GatewayRequest&, PeerId from, const ResponseData&, Instant now);
    void onEnd(GatewayRequest&, PeerId from, const ResponseEnd&, Instant now);
    void onRefused(GatewayRequest&, PeerId from, const Refused&, Instant now);
    void onFailed(GatewayRequest&, PeerId from, const Failed&, Instant now);
    /// The link to a sidecar that this request uses was lost, or its lease expired.
    void onUpstreamLost(GatewayRequest&, PeerId, Instant now);
    /// Releases everything that the request holds at sidecars, for example after the caller disconnected.
    void cancel(GatewayRequest&);
    void tick(GatewayRequest&, Instant now);

private:
    void place(GatewayRequest&, Instant now);
    void startPrefill(GatewayRequest&, Instant now);
    void startDecode(GatewayRequest&, Instant now);
    void moveDecode(GatewayRequest&, Instant now);
    void retry(GatewayRequest&, std::string_view why, Instant now);
    void refuse(GatewayRequest&, ResultCode, Instant now);
    void discardPrefill(GatewayRequest&);
    [[nodiscard]] Duration transferTime(const GatewayRequest&) const;

    GatewayContext& m_context;
};

} // namespace wrenhinge
