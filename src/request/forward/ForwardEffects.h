/** \file
 * Effects of ForwardLogic: the actions that the state machine of a forwarding gateway requests from the process that runs it.
 */
#pragma once

#include "base/EventCode.h"
#include "message/Messages.h"
#include "request/fleet/AccountQuotas.h"
#include "version/RoutingDocument.h"

#include <optional>
#include <string>
#include <variant>

namespace wrenhinge::forward {

/// A slot and KV memory that are reserved at a decode replica for one request.
struct Reservation {
    ReplicaRun replica;
    std::string address;
    std::string id; ///< Issued by the replica. Empty: the reservation is held by the replica's sidecar, and the replica doesn't know of it.
};

/// Where the KV cache of a prompt can be fetched from. It can be fetched only once.
struct KvCacheSource {
    ReplicaRun replica;
    std::string address;
    std::string handle;
};

/// Send the caller's request to the replica.
struct Send {
    RequestId id;
    Attempt attempt;
    ReplicaRun replica;
    std::string address;
    Duration timeLeft {}; ///< The replica stops working on the request after this time.
    std::optional<std::uint64_t> resumeAfter; ///< Resume the stream after the event with this id.
    bool isPrefill = false; ///< Only run the prefill, and keep the KV cache of the prompt for another replica.
    std::optional<KvCacheSource> source; ///< Fetch the KV cache of the prompt from there instead of running the prefill.
    std::string reservation; ///< Id of the reservation to use; empty: there is none at the replica.
    /// Set if the document has accounts: sent to the replica in place of the caller's key. Empty: a caller without an account, on a
    /// public route.
    std::optional<std::string> account;
    /// Address of a replica: copy the part of the prompt's KV cache that it still holds, and prefill only the rest. Empty: prefill all.
    std::string cacheAddress;
};
/// Ask a decode replica to reserve a slot and KV memory.
struct ReserveAtReplica {
    RequestId id;
    Attempt attempt;
    ReplicaRun replica;
    std::string address;
    std::uint32_t tokens = 0;
    Duration validFor {};
};
/// Ask the sidecar of a decode replica to reserve a slot and KV memory.
struct ReserveAtSidecar {
    PeerId sidecar;
    RequestId id;
    Attempt attempt;
    std::uint32_t promptTokens = 0;
    std::uint32_t expectedTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    std::uint32_t slots = 0; ///< Requests that the replica can run concurrently.
};
/// Notify the sidecar of a prefill replica that a prefill was sent to the replica, or (hasEnded) that it finished or was abandoned.
struct NotifyPrefill {
    PeerId sidecar;
    RequestId id;
    std::uint32_t promptTokens = 0;
    bool hasEnded = false;
};
/// Notify the sidecar that the request ended at the replica or won't be sent to it.
struct EndSidecarReservation {
    PeerId sidecar;
    RequestId id;
    bool isComplete = false; ///< The complete answer was received.
    bool hasFailed = false; ///< The request was sent to the replica and failed without a streamed event.
};
/// Release a reservation that won't be used.
struct ReleaseReservation {
    Reservation reservation;
};
/// Release a KV cache that won't be fetched.
struct ReleaseKvCache {
    KvCacheSource source;
};
/// Cancel the call; its answer is no longer needed.
struct CancelCall {
    RequestId id;
    Attempt attempt;
};
/// Pass the replica's complete answer on to the caller, unchanged.
struct Reply {
    RequestId id;
    int status = 0;
    HeaderList headers;
    std::string body;
};
/// Answer the caller with an error of the gateway.
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
/// Close the stream so that the caller sees that it is incomplete: it can't be finished.
struct AbortStream {
    RequestId id;
};
/// The request got its final answer, or its caller disconnected (ResultCode::Cancelled). Emitted exactly once for each Submit.
struct Finished {
    RequestId id;
    std::string route; ///< Empty: no route matched.
    ResultCode code = ResultCode::Ok;
    std::uint32_t sends = 0; ///< How often the request was sent to a replica, prefills not counted.
    std::optional<Duration> timeToFirstByte; ///< From the arrival of the request to the first byte of its answer.
    Duration reservationWait {};
};
/// Close the idle connections to this run of a replica and to its earlier runs.
struct DropConnections {
    ReplicaRun replica;
};
/// Apply these limits to callers from now on.
struct SetLimits {
    CallerLimits limits;
};
/// Keep a connection to the sidecar of the engine with this address.
struct ConnectSidecar {
    std::string engineAddress;
};
/// Close the connection to the sidecar of an engine that is no longer used.
struct DisconnectSidecar {
    std::string engineAddress;
};
/// Fetch the replica registry from a controller.
struct FetchRegistry {
    PeerId controller;
    RegistryRequest request;
};
/// Report to all controllers how much load this gateway puts on the engines.
struct ReportLoad {
    EngineLoadReport report;
};
/// Report to one controller or to all of them which requests have crashed replicas.
struct ReportCrashes {
    std::optional<PeerId> controller; ///< Unset: all controllers.
    CrashReport report;
};
/// Report to all controllers how much was admitted for client accounts.
struct ReportQuotaUsage {
    AccountQuotas::Report report;
};
/// Report to one controller or to all of them which request rate limits replicas state.
struct ReportReplicaLimits {
    std::optional<PeerId> controller; ///< Unset: all controllers.
    std::vector<ReplicaRateLimit> limits;
};
/// Request permits for calls to replicas with a limit.
struct RequestPermits {
    PeerId controller;
    PermitRequest request;
};
/// Record at a holder which service and software version began streams.
struct SendStreamRecords {
    PeerId holder;
    StreamRecords message;
};
/// Ask a holder where a stream began.
struct SendStreamLookup {
    PeerId holder;
    StreamLookup message;
};
using Effect = std::variant<Send, CancelCall, ReserveAtReplica, ReserveAtSidecar, EndSidecarReservation, NotifyPrefill, ReleaseReservation,
    ReleaseKvCache, Reply, Refuse, BeginStream, StreamBytes, EndStream, AbortStream, Finished, DropConnections, SetLimits, ConnectSidecar,
    DisconnectSidecar, FetchRegistry, ReportLoad, ReportCrashes, ReportQuotaUsage, ReportReplicaLimits, RequestPermits, SendStreamRecords,
    SendStreamLookup, LogEvent>;

} // namespace wrenhinge::forward
