/** \file
 * Messages about admission to the KV memory of engines that gateways call directly.
 */
#pragma once

#include "message/MessageTypes.h"

namespace wrenhinge {

/// From a gateway to a sidecar: requests a slot and KV memory of its engine.
struct ReservationRequest {
    RequestId request;
    Attempt attempt;
    std::string run; ///< The engine's id for the request.
    std::uint32_t promptTokens = 0;
    std::uint32_t expectedTokens = 0; ///< Answer length that the caller expects.
    std::uint32_t maxTokens = 0; ///< Upper limit of the answer length.
    std::uint32_t slots = 0; ///< The engine's limit of concurrent requests.
    MSGPACK_DEFINE(request, attempt, run, promptTokens, expectedTokens, maxTokens, slots)
};

struct ReservationReply {
    RequestId request;
    Attempt attempt;
    bool isGranted = false;
    std::uint64_t headroom = 0; ///< As in EngineHeadroom, after this reservation.
    MSGPACK_DEFINE(request, attempt, isGranted, headroom)
};

/// From a gateway to a sidecar: the request has ended at the engine, or will not be sent there.
struct ReservationEnd {
    RequestId request;
    bool isComplete = false; ///< Its answer was received in full.
    bool hasFailed = false; ///< It was sent to the engine and failed there.
    MSGPACK_DEFINE(request, isComplete, hasFailed)
};

/// From a gateway to a sidecar: a prefill was sent to the engine, or has ended there.
struct PrefillNotice {
    RequestId request;
    std::uint32_t promptTokens = 0;
    bool hasEnded = false;
    MSGPACK_DEFINE(request, promptTokens, hasEnded)
};

/// From a sidecar to all gateways: how much work its engine can still take.
struct EngineHeadroom {
    std::string address; ///< The engine's.
    std::uint64_t tokens = 0; ///< Free KV memory beyond the forecast need of running answers; zero: it takes no request.
    std::uint64_t prefillBacklog = 0; ///< Prompt tokens that were sent to the engine and are not prefilled yet.
    MSGPACK_DEFINE(address, tokens, prefillBacklog)
};

} // namespace wrenhinge
