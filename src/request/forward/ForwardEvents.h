/** \file
 * Events of ForwardLogic, the decisions of a gateway that calls upstreams itself: what it hears.
 */
#pragma once

#include "message/Messages.h"
#include "request/engine/EngineHeadroomTable.h"
#include "request/forward/EventSplitter.h"
#include "version/RoutingDocument.h"

#include <optional>
#include <string>
#include <variant>

namespace wrenhinge::forward {

/// What the decisions need to know of a caller's request; its bytes stay with the connection.
struct RequestMetadata {
    std::string host;
    std::string path; ///< Without the query.
    RequestFingerprint fingerprint; ///< Without the account, which only the document tells.
    std::optional<SecretDigest> key; ///< What the caller shows to prove whose request it is.
    std::optional<Duration> callerTimeout; ///< How long the caller will wait, counted from its sending.
    Duration readFor {}; ///< How long its reading took: already gone of the patience.
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0; ///< At most.
    bool hasTokenCounts = false; ///< The caller says how many.
    std::optional<std::uint32_t> expectedTokens; ///< The caller's estimate of the output.
    std::optional<std::uint64_t> resumeAfter; ///< The caller itself goes on with a stream after this event.
};

/// What an answer's head says, whatever words it used for it.
struct AnswerMetadata {
    int status = 0;
    bool wasNotRun = false; ///< The replica states that it did not run the request.
    bool isMisdirected = false; ///< The address belongs to another replica than the one that was meant.
    bool isGenuine = true; ///< A success that bears what only a replica's success bears.
    bool isStream = false;
};

struct Submit {
    RequestId id;
    RequestMetadata ask;
};
struct CallerDisconnected {
    RequestId id;
};
struct AnswerHead {
    RequestId id;
    Attempt attempt;
    AnswerMetadata facts;
    HeaderList headers;
};
/// A piece of an answer's body; of a stream, as it came.
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
    std::string why;
};
/// A decode replica has set a slot and memory aside for the request, under this id.
struct ReservationGranted {
    RequestId id;
    Attempt attempt;
    std::string reservation;
};
/// The replica has no room now, or could not be asked.
struct ReservationRefused {
    RequestId id;
    Attempt attempt;
    bool wasReached = true;
};
/// The answer of a sidecar to Reserve.
struct SidecarReservationReply {
    RequestId id;
    Attempt attempt;
    bool isGranted = false;
    std::uint64_t room = 0; ///< In tokens, with this reservation counted.
};
/// A sidecar tells how much room its engine's memory has.
struct EngineCapacityReported {
    std::string address; ///< The engine's.
    EngineHeadroomTable::Headroom room;
};
/// A link has ended.
struct PeerDisconnected {
    PeerId peer;
};
/// A controller's heartbeat.
struct RegistryHeartbeatReceived {
    PeerId controller;
    RegistryHeartbeat heartbeat;
};
/// A controller's answer to FetchRegistry.
struct RegistryListReceived {
    PeerId controller;
    RegistryList list;
};
/// A prefill replica holds the prompt's KV cache for a short time under this handle.
struct PrefillFinished {
    RequestId id;
    Attempt attempt;
    std::string handle;
};
/// A prefill replica answered without a handle.
struct PrefillFailed {
    RequestId id;
    Attempt attempt;
    bool wasNotAccepted = false; ///< It states that it did nothing.
    bool isMisdirected = false; ///< As in AnswerMetadata.
};
/// A document that a controller sent, already checked.
struct DocumentReceived {
    RoutingDocument document;
    bool isCurrent = false;
};
/// A controller says that the document with this version is the newest.
struct DocumentConfirmed {
    std::uint64_t version = 0;
};
/// A link to a controller has come up.
struct ControllerConnected {
    PeerId controller;
};
/// A controller tells which requests have crashed replicas.
struct CrashesReported {
    CrashReport report;
};
/// A controller tells what other gateways admit for client accounts.
struct QuotaTotalsReceived {
    PeerId controller;
    QuotaTotals totals;
};
/// This process was told to stop; answers that are not whole by then are cut.
struct Stop {
    Instant endsAt;
};
struct Tick { };
using wrenhinge::RegistryHeartbeat;
using wrenhinge::RelayedAnnouncement;
using wrenhinge::ReplicaWithdrawn;
using wrenhinge::StageChange;
using Event = std::variant<Submit, CallerDisconnected, AnswerHead, AnswerBody, AnswerEnd, CallFailed, ReservationGranted,
    ReservationRefused, SidecarReservationReply, EngineCapacityReported, PeerDisconnected, RegistryHeartbeatReceived, RegistryListReceived,
    PrefillFinished, PrefillFailed, DocumentReceived, DocumentConfirmed, RelayedAnnouncement, ReplicaWithdrawn, RegistryHeartbeat,
    StageChange, ControllerConnected, CrashesReported, QuotaTotalsReceived, Stop, Tick>;

} // namespace wrenhinge::forward
