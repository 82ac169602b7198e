/** \file
 * Effects of ForwardLogic, the decisions of a gateway that calls upstreams itself: what it asks its process to carry out.
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

/// A slot and memory that a decode replica has set aside.
struct Reservation {
    ReplicaRun replica;
    std::string address;
    std::string id; ///< Empty: a sidecar keeps it, and the replica knows nothing of it.
};

/// Where a prompt's KV cache can be fetched, once.
struct KvCacheSource {
    ReplicaRun replica;
    std::string address;
    std::string handle;
};

/// Call the replica with the caller's request.
struct Send {
    RequestId id;
    Attempt attempt;
    ReplicaRun replica;
    std::string address;
    Duration timeLeft {}; ///< The replica stops then.
    std::optional<std::uint64_t> resumeAfter; ///< Go on with the stream after this event.
    bool isPrefill = false; ///< Only read the prompt, and keep its KV cache for another replica.
    std::optional<KvCacheSource> source; ///< Fetch the prompt's KV cache there instead of reading the prompt.
    std::string reservation; ///< Use what was set aside under this id; empty: nothing was.
    /// Set where callers have accounts: the replica is told this one and not the key; empty: a caller without one, on a public route.
    std::optional<std::string> account;
    std::string cacheAddress; ///< Copy what this replica still keeps of the prompt before reading the rest; empty: read it all.
};
/// Ask a decode replica to set a slot and memory aside.
struct ReserveAtReplica {
    RequestId id;
    Attempt attempt;
    ReplicaRun replica;
    std::string address;
    std::uint32_t tokens = 0;
    Duration validFor {};
};
/// Ask the sidecar of a decode replica for a slot and memory.
struct ReserveAtSidecar {
    PeerId sidecar;
    RequestId id;
    Attempt attempt;
    std::uint32_t promptTokens = 0;
    std::uint32_t expectedTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    std::uint32_t slots = 0; ///< Requests that the replica runs at once.
};
/// Tell the sidecar of a prefill replica that a prompt was sent there to be read, or that it was read or given up.
struct NotifyPrefill {
    PeerId sidecar;
    RequestId id;
    std::uint32_t promptTokens = 0;
    bool hasEnded = false;
};
/// The request has ended at the replica, or won't go there.
struct EndSidecarReservation {
    PeerId sidecar;
    RequestId id;
    bool isComplete = false; ///< Its answer came to its end.
    bool hasFailed = false; ///< It was sent there and nothing came of it.
};
/// Give back what was set aside and won't be used.
struct ReleaseReservation {
    Reservation reservation;
};
/// Let go of a KV cache that nobody will fetch.
struct ReleaseKvCache {
    KvCacheSource source;
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
struct AbortStream {
    RequestId id;
};
/// The request has its final answer, or its caller has gone (Cancelled). Exactly one for each Submit.
struct Finished {
    std::string route; ///< Empty: none was found.
    ResultCode code = ResultCode::Ok;
    std::uint32_t sends = 0;
    std::optional<Duration> timeToFirstByte; ///< From the request to the first byte of its answer.
    Duration reservationWait {};
};
/// Kept connections to this run of a replica, and to those before it, are of no use any more.
struct DropConnections {
    ReplicaRun replica;
};
/// Callers are held to these limits from now on.
struct SetLimits {
    CallerLimits limits;
};
/// Keep a link to the sidecar beside the engine with this address.
struct ConnectSidecar {
    std::string engineAddress;
};
/// End that: the engine is used no more.
struct DisconnectSidecar {
    std::string engineAddress;
};
/// Ask a controller for all that it knows of replicas.
struct FetchRegistry {
    PeerId controller;
    RegistryRequest request;
};
/// Tell the controllers how busy this gateway keeps the engines.
struct ReportLoad {
    EngineLoadReport report;
};
/// Tell the controllers, or one of them, under which requests replicas have crashed.
struct ReportCrashes {
    std::optional<PeerId> controller; ///< Nothing: all of them.
    CrashReport report;
};
/// Tell all controllers what was admitted for client accounts.
struct ReportQuotaUsage {
    AccountQuotas::Report report;
};
using Effect = std::variant<Send, CancelCall, ReserveAtReplica, ReserveAtSidecar, EndSidecarReservation, NotifyPrefill, ReleaseReservation,
    ReleaseKvCache, Reply, Refuse, BeginStream, StreamBytes, EndStream, AbortStream, Finished, DropConnections, SetLimits, ConnectSidecar,
    DisconnectSidecar, FetchRegistry, ReportLoad, ReportCrashes, ReportQuotaUsage, LogEvent>;

} // namespace wrenhinge::forward
