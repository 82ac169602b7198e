/** \file
 * Events of ForwardLogic: the inputs of the state machine of a forwarding gateway.
 */
#pragma once

#include "message/Messages.h"
#include "request/engine/EngineHeadroomTable.h"
#include "request/fleet/StatedRateLimit.h"
#include "request/forward/EventSplitter.h"
#include "version/RoutingDocument.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace wrenhinge::forward {

/// What routing and admission need to know of a caller's request. Its headers and body stay with the connection.
struct RequestMetadata {
    std::string host;
    std::string path; ///< Without the query.
    std::string callerRequestId; ///< Assigned by the caller; empty: none.
    ContentFingerprint fingerprint; ///< Doesn't include the account, which is looked up in the routing document.
    std::vector<ContentFingerprint> promptParts; ///< Each once, without the last, which belongs to this request or its session alone.
    std::optional<SecretDigest> key; ///< Digest of the API key that the caller presented.
    std::optional<Duration> callerTimeout; ///< How long the caller waits for an answer, counted from when it sent the request.
    Duration readFor {}; ///< How long it took to receive the request; counts against callerTimeout.
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0; ///< Upper limit of the output.
    bool hasTokenCounts = false; ///< The caller stated promptTokens and outputTokens.
    std::optional<std::uint32_t> expectedTokens; ///< The caller's estimate of the output.
    std::optional<std::uint64_t> resumeAfter; ///< The caller resumes a stream after the event with this id.
    /// Id of the caller's request that brought the first event of the stream that this one resumes, as the caller states it.
    std::optional<std::string> resumedRequest;
};

/// What the status line and headers of an answer say, independent of the dialect that the replica speaks.
struct AnswerMetadata {
    int status = 0;
    bool wasNotRun = false; ///< The replica states that it did not run the request.
    bool isMisdirected = false; ///< The call reached another replica than the one it was addressed to.
    bool isGenuine = true; ///< For a success: it has the headers that only a replica sets, so it does not come from something in between.
    bool isStream = false;
    StatedRateLimit rateLimit;
    std::optional<Duration> rest; ///< The replica has turned the request away and wants no other from this process for so long.
    bool isLeaving = false; ///< The replica leaves and takes no new requests.
};

struct Submit {
    RequestId id;
    RequestMetadata request;
};
struct CallerDisconnected {
    RequestId id;
};
struct AnswerHead {
    RequestId id;
    Attempt attempt;
    AnswerMetadata metadata;
    HeaderList headers;
};
/// Part of an answer's body, as received; its boundaries are not those of stream events.
struct AnswerBody {
    RequestId id;
    Attempt attempt;
    std::string bytes;
};
struct AnswerEnd {
    RequestId id;
    Attempt attempt;
};
struct CallFailed {
    RequestId id;
    Attempt attempt;
    bool mayHaveRun = true;
    std::string reason;
};
/// A replica answered a call that the gateway made for itself, such as a prefill or a reservation.
struct ReplicaAnswered {
    ReplicaRun replica;
    AnswerMetadata metadata;
    Instant calledAt;
};
/// A slot and KV memory are reserved for the request: by a decode replica, or by its sidecar if the id is empty.
struct ReservationGranted {
    RequestId id;
    Attempt attempt;
    std::string reservation;
};
/// No reservation was made: the replica has no capacity now, or it could not be reached.
struct ReservationRefused {
    RequestId id;
    Attempt attempt;
    bool wasReached = true;
};
/// A sidecar's reply to ReserveAtSidecar.
struct SidecarReservationReply {
    RequestId id;
    Attempt attempt;
    bool isGranted = false;
    std::uint64_t headroom = 0; ///< Free KV memory of the engine in tokens, after this reservation.
};
/// A sidecar reported the headroom of its engine: how much of the KV memory is free.
struct EngineHeadroomReported {
    std::string address; ///< Of the engine.
    EngineHeadroomTable::Headroom headroom;
};
/// The connection to a peer was closed.
struct PeerDisconnected {
    PeerId peer;
};
/// A controller sent a heartbeat.
struct RegistryHeartbeatReceived {
    PeerId controller;
    RegistryHeartbeat heartbeat;
};
/// A controller's reply to FetchRegistry.
struct RegistryListReceived {
    PeerId controller;
    RegistryList list;
};
/// A prefill replica has read the prompt and holds its KV cache under this handle for a short time.
struct PrefillFinished {
    RequestId id;
    Attempt attempt;
    std::string handle;
};
/// A prefill replica answered without a handle for the KV cache.
struct PrefillFailed {
    RequestId id;
    Attempt attempt;
    bool wasNotAccepted = false; ///< The replica states that it did not run the prefill.
    bool isMisdirected = false; ///< See AnswerMetadata.
};
/// A controller sent a routing document, which is already validated.
struct DocumentReceived {
    RoutingDocument document;
    bool isCurrent = false; ///< As new as a version that was offered as the newest since this process started.
};
/// A controller confirmed that the routing document with this version is the newest.
struct DocumentConfirmed {
    std::uint64_t version = 0;
};
/// A connection to a controller was established.
struct ControllerConnected {
    PeerId controller;
};
/// A connection to a process that holds the origins of streams was established.
struct StreamHolderConnected {
    PeerId holder;
    Role role = Role::Controller;
    std::string zone;
};
/// A holder has stored the records that it was sent.
struct StreamRecordsConfirmed {
    PeerId holder;
    StreamRecordsHeld held;
};
struct StreamLookupReplied {
    PeerId holder;
    StreamLookupReply reply;
};
/// A controller reported which requests have crashed replicas.
struct CrashesReported {
    CrashReport report;
};
/// A controller reported how much the other gateways admit for client accounts.
struct QuotaTotalsReceived {
    PeerId controller;
    QuotaTotals totals;
};
/// A controller sent request rate limits that other gateways have observed at replicas.
struct ReplicaLimitsReceived {
    std::vector<ReplicaRateLimit> limits;
};
/// A controller issued permits for calls to replicas with a limit.
struct PermitsReceived {
    PeerId controller;
    PermitGrant grant;
};
/// The process is shutting down. Answers that are not complete at the deadline are cut off.
struct Stop {
    Instant deadline;
};
/// The time of nextWake() has come.
struct Tick { };
using wrenhinge::RegistryHeartbeat;
using wrenhinge::RelayedAnnouncement;
using wrenhinge::ReplicaWithdrawn;
using wrenhinge::StageChange;
using Event = std::variant<Submit, CallerDisconnected, AnswerHead, AnswerBody, AnswerEnd, CallFailed, ReplicaAnswered, ReservationGranted,
    ReservationRefused, SidecarReservationReply, EngineHeadroomReported, PeerDisconnected, RegistryHeartbeatReceived, RegistryListReceived,
    PrefillFinished, PrefillFailed, DocumentReceived, DocumentConfirmed, RelayedAnnouncement, ReplicaWithdrawn, RegistryHeartbeat,
    StageChange, ControllerConnected, StreamHolderConnected, StreamRecordsConfirmed, StreamLookupReplied, CrashesReported,
    QuotaTotalsReceived, ReplicaLimitsReceived, PermitsReceived, Stop, Tick>;

} // namespace wrenhinge::forward
