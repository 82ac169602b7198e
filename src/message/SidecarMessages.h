/** \file
 * Messages between gateways and the sidecars of their upstreams.
 */
#pragma once

#include "message/MessageTypes.h"

namespace wrenhinge {

// --- Sidecar to gateway -----------------------------------------------------------------------------------------

/// A snapshot of an upstream's load, included in every reply of its sidecar and in each lease renewal.
/// The cost model `fixedCost + microsPerToken * tokens` is estimated from completed work: for prefill the whole run, for
/// decode the transfer and the first token, for a plain service the call.
struct LoadReport {
    std::uint64_t covered = 0; ///< The highest `sequence` of this gateway's requests that this report accounts for.
    std::uint32_t slots = 0;
    std::uint32_t occupied = 0; ///< Slots in use or granted.
    std::uint32_t queued = 0;
    Duration backlog {}; ///< Predicted queueing delay of work that arrives now.
    Duration urgentBacklog {}; ///< The same for urgent work.
    Duration fixedCost {};
    double microsPerToken = 0;
    Duration meanHold {}; ///< Measured mean time for which a request occupies a slot.
    Duration tokenInterval {}; ///< Decode: measured mean time between tokens.
    bool draining = false;
    MSGPACK_DEFINE(covered, slots, occupied, queued, backlog, urgentBacklog, fixedCost, microsPerToken, meanHold, tokenInterval, draining)
};

/// Registers the upstream with a gateway and renews its lease. The gateway stops using it if it isn't renewed within `lease`.
struct UpstreamAnnouncement {
    std::string service;
    UpstreamKind kind = UpstreamKind::Plain;
    std::string model;
    Duration lease {};
    LoadReport load;
    MSGPACK_DEFINE(service, kind, model, lease, load)
};

/// A decode slot is reserved for this request until `validFor` has elapsed.
struct SlotGrant {
    RequestId request;
    Attempt attempt;
    Duration validFor {};
    LoadReport load;
    MSGPACK_DEFINE(request, attempt, validFor, load)
};

/// The sidecar rejected this attempt and will never admit it.
struct Refused {
    RequestId request;
    Attempt attempt;
    ResultCode code = ResultCode::Overloaded;
    Duration retryAfter {};
    LoadReport load;
    MSGPACK_DEFINE(request, attempt, code, retryAfter, load)
};

struct PrefillDone {
    RequestId request;
    Attempt attempt;
    std::string kvParams; ///< The engine's kv_transfer_params: JSON that wrenhinge doesn't interpret.
    std::uint32_t cachedTokens = 0;
    LoadReport load;
    MSGPACK_DEFINE(request, attempt, kvParams, cachedTokens, load)
};

struct ResponseHead {
    RequestId request;
    Attempt attempt;
    int status = 0;
    HeaderList headers;
    MSGPACK_DEFINE(request, attempt, status, headers)
};

/// A chunk of the response at its byte offset, so that lost or reordered chunks are detected.
struct ResponseData {
    RequestId request;
    Attempt attempt;
    std::uint64_t offset = 0;
    std::string bytes;
    std::uint32_t tokens = 0;
    MSGPACK_DEFINE(request, attempt, offset, bytes, tokens)
};

struct ResponseEnd {
    RequestId request;
    Attempt attempt;
    std::uint64_t totalBytes = 0;
    LoadReport load;
    MSGPACK_DEFINE(request, attempt, totalBytes, load)
};

/// An admitted attempt failed. `mayHaveRun` is false only if no byte was sent to the upstream.
struct Failed {
    RequestId request;
    Attempt attempt;
    ResultCode code = ResultCode::UpstreamFailed;
    bool mayHaveRun = true;
    LoadReport load;
    bool isDisconnected = false; ///< The upstream closed its connection before the response was complete: its process may have ended.
    MSGPACK_DEFINE(request, attempt, code, mayHaveRun, load, isDisconnected)
};

enum class AttemptState : std::uint8_t { NeverAdmitted, Running, Finished, Interrupted };
template <> struct WireEnum<AttemptState> : WireEnumUpTo<AttemptState::Interrupted> {
};

/// The recorded response to a request with an idempotency key, stored if it is small enough.
struct StoredResponse {
    int status = 0;
    HeaderList headers;
    std::string body;
    bool complete = false; ///< False: the request ran, but its response was too large to store.
    MSGPACK_DEFINE(status, headers, body, complete)
};

/// The reply to Seal: the state of (key, attempt) at this sidecar. NeverAdmitted also means that the attempt is sealed now.
struct SealReply {
    RequestId request; ///< The request that sent the Seal.
    std::string key;
    Attempt attempt;
    AttemptState state = AttemptState::NeverAdmitted;
    StoredResponse answer;
    MSGPACK_DEFINE(request, key, attempt, state, answer)
};

// --- Gateway to sidecar -----------------------------------------------------------------------------------------

/// Requests a slot from a decode sidecar, to be free when prefill and transfer are expected to end.
struct SlotRequest {
    RequestId request;
    Attempt attempt;
    std::uint64_t sequence = 0;
    Priority priority = Priority::Normal;
    Duration leadTime {}; ///< Expected time from the grant to the end of prefill and transfer.
    Duration budget {}; ///< The longest wait for the grant that still meets the latency target.
    std::uint32_t promptTokens = 0;
    std::uint32_t maxTokens = 0;
    MSGPACK_DEFINE(request, attempt, sequence, priority, leadTime, budget, promptTokens, maxTokens)
};

struct PrefillRequest {
    RequestId request;
    Attempt attempt;
    std::uint64_t sequence = 0;
    Priority priority = Priority::Normal;
    Duration budget {}; ///< The sidecar refuses if the prefill can't end within this.
    std::uint32_t promptTokens = 0;
    std::uint32_t cachedTokens = 0; ///< The gateway's estimate of the prompt tokens that the engine has cached.
    std::string path;
    std::string body;
    MSGPACK_DEFINE(request, attempt, sequence, priority, budget, promptTokens, cachedTokens, path, body)
};

/// Uses a granted slot. Without a grant it is admitted only if a slot is likely to be free in time.
struct DecodeRequest {
    RequestId request;
    Attempt attempt;
    std::uint64_t sequence = 0;
    Priority priority = Priority::Normal;
    Duration budget {}; ///< The longest wait for the slot: the prefill's result expires after it.
    Duration targetWait {}; ///< The longest wait that still meets the latency target; after it, other requests are served first.
    std::uint32_t promptTokens = 0;
    std::uint32_t maxTokens = 0;
    std::string path;
    std::string body;
    std::string kvParams;
    MSGPACK_DEFINE(request, attempt, sequence, priority, budget, targetWait, promptTokens, maxTokens, path, body, kvParams)
};

/// A call to a plain service.
struct Dispatch {
    RequestId request;
    Attempt attempt;
    std::uint64_t sequence = 0;
    PeerId incarnation; ///< The incarnation of the sidecar that it is addressed to; any other one refuses it.
    Priority priority = Priority::Normal;
    Duration budget {};
    bool repeatable = true;
    std::string key; ///< The idempotency key in the ledger; empty: none.
    std::string method;
    std::string target;
    HeaderList headers;
    std::string body;
    MSGPACK_DEFINE(request, attempt, sequence, incarnation, priority, budget, repeatable, key, method, target, headers, body)
};

/// The caller disconnected or the attempt was abandoned: the sidecar releases all its resources.
struct Cancel {
    RequestId request;
    Attempt attempt;
    MSGPACK_DEFINE(request, attempt)
};

/// Queries the state of (key, attempt) and, if it was never admitted, seals it: the sidecar will not admit it from now on.
struct Seal {
    RequestId request;
    std::string key;
    Attempt attempt;
    MSGPACK_DEFINE(request, key, attempt)
};

} // namespace wrenhinge
