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
struct Ask {
    std::string host;
    std::string path; ///< Without the query.
    RequestFingerprint fingerprint; ///< Without the account, which only the document tells.
    std::optional<SecretDigest> key; ///< What the caller shows to prove whose request it is.
    std::optional<Duration> patience; ///< How long the caller will wait, counted from its sending.
    Duration readFor {}; ///< How long its reading took: already gone of the patience.
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0; ///< At most.
    bool statesTokens = false; ///< The caller says how many.
    std::optional<std::uint32_t> expectedTokens; ///< The caller's estimate of the output.
    std::optional<std::uint64_t> resumeAfter; ///< The caller itself goes on with a stream after this event.
};

/// What an answer's head says, whatever words it used for it.
struct AnswerFacts {
    int status = 0;
    bool wasNotRun = false; ///< The replica states that it did not run the request.
    bool isOtherReplica = false; ///< The address belongs to another replica than the one that was meant.
    bool isGenuine = true; ///< A success that bears what only a replica's success bears.
    bool isStream = false;
};

struct Submit {
    RequestId id;
    Ask ask;
};
struct CallerGone {
    RequestId id;
};
struct AnswerHead {
    RequestId id;
    Attempt attempt;
    AnswerFacts facts;
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
struct PlaceTaken {
    RequestId id;
    Attempt attempt;
    std::string place;
};
/// The replica has no room now, or could not be asked.
struct PlaceRefused {
    RequestId id;
    Attempt attempt;
    bool wasReached = true;
};
/// The answer of a sidecar to Reserve.
struct ReservationAnswered {
    RequestId id;
    Attempt attempt;
    bool isGranted = false;
    std::uint64_t room = 0; ///< In tokens, with this reservation counted.
};
/// A sidecar tells how much room its engine's memory has.
struct RoomTold {
    std::string address; ///< The engine's.
    EngineHeadroomTable::Headroom room;
};
/// A link has ended.
struct PeerGone {
    PeerId peer;
};
/// A controller's heartbeat.
struct RegistryTold {
    PeerId controller;
    RegistryHeartbeat heartbeat;
};
/// A controller's answer to AskRegistry.
struct RegistryListed {
    PeerId controller;
    RegistryList list;
};
/// A prefill replica holds the prompt's KV cache for a short time under this handle.
struct PromptRead {
    RequestId id;
    Attempt attempt;
    std::string handle;
};
/// A prefill replica answered without a handle.
struct PromptNotRead {
    RequestId id;
    Attempt attempt;
    bool wasNotAccepted = false; ///< It states that it did nothing.
    bool isOtherReplica = false; ///< As in AnswerFacts.
};
/// A document that a controller sent, already checked.
struct TakeDocument {
    RoutingDocument document;
    bool isCurrent = false;
};
/// A controller says that the document with this version is the newest.
struct ConfirmDocument {
    std::uint64_t version = 0;
};
/// A link to a controller has come up.
struct ControllerUp {
    PeerId controller;
};
/// A controller tells which requests have crashed replicas.
struct CrashesTold {
    CrashReport report;
};
/// A controller tells what other gateways admit for client accounts.
struct QuotaTold {
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
using Event = std::variant<Submit, CallerGone, AnswerHead, AnswerBody, AnswerEnd, CallFailed, PlaceTaken, PlaceRefused, ReservationAnswered,
    RoomTold, PeerGone, RegistryTold, RegistryListed, PromptRead, PromptNotRead, TakeDocument, ConfirmDocument, RelayedAnnouncement,
    ReplicaWithdrawn, RegistryHeartbeat, StageChange, ControllerUp, CrashesTold, QuotaTold, Stop, Tick>;

} // namespace wrenhinge::forward
