/** \file
 * The life of a generation request at its gateway: grant, prefill, decode, and what to do when a step fails.
 *
 *     place -> AwaitingGrant -> Prefilling -> AwaitingDecode -> Answering -> end
 *       ^           | refused       | refused        | no slot: another decode replica, while the result lives
 *       +-----------+               +-- another prefill replica under the same grant
 *
 * The decode slot is granted before the prefill starts, because a prefill without a slot is waste. Each new start is a
 * new attempt; whatever still comes from an earlier one is dropped by its number.
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
    /// A sidecar that this request relies on is gone.
    void onUpstreamLost(GatewayRequest&, PeerId, Instant now);
    /// The caller has gone: releases all that the request holds.
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
