/** \file
 * Events and effects of ForwardLogic, the decisions of a gateway that calls upstreams itself.
 */
#pragma once

#include "base/EventCode.h"
#include "message/Messages.h"
#include "request/EngineRooms.h"
#include "request/EventSplitter.h"
#include "version/RoutingDocument.h"

#include <optional>
#include <string>
#include <variant>

namespace wrenhinge::forward {

/// What the decisions need to know of a caller's request; its bytes stay with the connection.
struct Ask {
    std::string host;
    std::string path; ///< Without the query.
    RequestFingerprint fingerprint;
    std::optional<Duration> patience; ///< How long the caller will wait, counted from its sending.
    Duration readFor {}; ///< How long its reading took: already gone of the patience.
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0; ///< At most.
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

// Events.
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
    EngineRooms::Room room;
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
/// A controller tells which requests have ended replicas.
struct CrashesTold {
    CrashReport report;
};
/// This process was told to stop; answers that are not whole by then are cut.
struct Stop {
    Instant endsAt;
};
struct Tick { };
using wrenhinge::Announced;
using wrenhinge::RegistryHeartbeat;
using wrenhinge::StageChange;
using wrenhinge::Withdrawn;
using Event = std::variant<Submit, CallerGone, AnswerHead, AnswerBody, AnswerEnd, CallFailed, PlaceTaken, PlaceRefused, ReservationAnswered,
    RoomTold, PeerGone, RegistryTold, RegistryListed, PromptRead, PromptNotRead, TakeDocument, ConfirmDocument, Announced, Withdrawn,
    RegistryHeartbeat, StageChange, ControllerUp, CrashesTold, Stop, Tick>;

/// A slot and memory that a decode replica has set aside.
struct Place {
    ReplicaRun replica;
    std::string address;
    std::string id; ///< Empty: a sidecar keeps it, and the replica knows nothing of it.
};

/// Where a prompt's KV cache can be fetched, once.
struct PromptSource {
    ReplicaRun replica;
    std::string address;
    std::string handle;
};

// Effects.
/// Call the replica with the caller's request.
struct Send {
    RequestId id;
    Attempt attempt;
    ReplicaRun replica;
    std::string address;
    Duration timeLeft {}; ///< The replica stops then.
    std::optional<std::uint64_t> resumeAfter; ///< Go on with the stream after this event.
    bool isPrefill = false; ///< Only read the prompt, and keep its KV cache for another replica.
    std::optional<PromptSource> source; ///< Fetch the prompt's KV cache there instead of reading the prompt.
    std::string place; ///< Use what was set aside under this id; empty: nothing was.
    std::string cacheAddress; ///< Copy what this replica still keeps of the prompt before reading the rest; empty: read it all.
};
/// Ask a decode replica to set a slot and memory aside.
struct TakePlace {
    RequestId id;
    Attempt attempt;
    ReplicaRun replica;
    std::string address;
    std::uint32_t tokens = 0;
    Duration validFor {};
};
/// Ask the sidecar of a decode replica for a slot and memory.
struct Reserve {
    PeerId sidecar;
    RequestId id;
    Attempt attempt;
    std::uint32_t promptTokens = 0;
    std::uint32_t expectedTokens = 0;
    std::uint32_t mostTokens = 0;
    std::uint32_t slots = 0; ///< Requests that the replica runs at once.
};
/// Tell the sidecar of a prefill replica that a prompt was sent there to be read, or that it was read or given up.
struct NotePrefill {
    PeerId sidecar;
    RequestId id;
    std::uint32_t promptTokens = 0;
    bool hasEnded = false;
};
/// The request has ended at the replica, or won't go there.
struct EndReservation {
    PeerId sidecar;
    RequestId id;
    bool isWhole = false; ///< Its answer came to its end.
};
/// Give back what was set aside and won't be used.
struct DropPlace {
    Place place;
};
/// Let go of a KV cache that nobody will fetch.
struct FreePrompt {
    PromptSource source;
};
/// Break the call off: nobody waits for its answer.
struct CancelCall {
    RequestId id;
    Attempt attempt;
};
/// The replica's answer, as it is.
struct Reply {
    RequestId id;
    int status = 0;
    HeaderList headers;
    std::string body;
};
/// An answer of our own.
struct Refuse {
    RequestId id;
    Error error;
};
struct BeginStream {
    RequestId id;
    int status = 0;
    HeaderList headers;
};
struct StreamBytes {
    RequestId id;
    std::string bytes;
};
struct EndStream {
    RequestId id;
};
/// The stream can't be finished and must not look complete.
struct BreakStream {
    RequestId id;
};
/// The request has its final answer, or its caller has gone (Cancelled). Exactly one for each Submit.
struct Finished {
    std::string route; ///< Empty: none was found.
    ResultCode code = ResultCode::Ok;
    std::uint32_t sends = 0;
    std::optional<Duration> untilFirst; ///< From the request to the first byte of its answer.
    Duration waitedForPlace {};
};
/// Kept connections to this run of a replica, and to those before it, are of no use any more.
struct ForgetReplica {
    ReplicaRun replica;
};
/// Callers are held to these limits from now on.
struct SetLimits {
    CallerLimits limits;
};
/// Keep a link to the sidecar beside the engine with this address.
struct LinkSidecar {
    std::string engineAddress;
};
/// End that: the engine is used no more.
struct LeaveSidecar {
    std::string engineAddress;
};
/// Ask a controller for all that it knows of replicas.
struct AskRegistry {
    PeerId controller;
    RegistryRequest request;
};
/// Tell the controllers how busy this gateway keeps the engines.
struct ReportLoad {
    EngineLoadReport report;
};
/// Tell the controllers, or one of them, under which requests replicas have ended.
struct TellCrashes {
    std::optional<PeerId> controller; ///< Nothing: all of them.
    CrashReport report;
};
using Effect = std::variant<Send, CancelCall, TakePlace, Reserve, EndReservation, NotePrefill, DropPlace, FreePrompt, Reply, Refuse,
    BeginStream, StreamBytes, EndStream, BreakStream, Finished, ForgetReplica, SetLimits, LinkSidecar, LeaveSidecar, AskRegistry,
    ReportLoad, TellCrashes, Note>;

} // namespace wrenhinge::forward
