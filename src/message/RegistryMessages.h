/** \file
 * Messages about replicas that gateways call directly, and the routing document that goes with them.
 */
#pragma once

#include "message/MessageTypes.h"

namespace wrenhinge {

enum class ReplicaState : std::uint8_t { Ready, Draining };
template <> struct WireEnum<ReplicaState> : WireEnumUpTo<ReplicaState::Draining> {
};

/// A replica's announcement of itself. After a restart it announces another id, or its former id with a later start; its address may be
/// the same as before.
struct Announcement {
    std::string id;
    std::string service;
    std::string address;
    std::string zone;
    std::string softwareVersion;
    std::uint32_t slots = 0;
    ReplicaState state = ReplicaState::Ready;
    UpstreamKind kind = UpstreamKind::Plain;
    Duration coldLeft {}; ///< How much longer it is slowed down by its cold start.
    std::uint64_t sequence = 0; ///< Increases with each announcement of a run, so that late ones can be ignored.
    ReplicaStart start {};
    [[nodiscard]] ReplicaRun run() const { return { id, start }; }
    MSGPACK_DEFINE(id, service, address, zone, softwareVersion, slots, state, kind, coldLeft, sequence, start)
};

/// A replica's announcement, relayed by the controller that received it or learned of it.
struct RelayedAnnouncement {
    Announcement announcement;
    Duration age {}; ///< Since it was received from the replica.
    MSGPACK_DEFINE(announcement, age)
};

/// This run of the replica has ended for good, and so have all earlier ones.
struct ReplicaWithdrawn {
    std::string id;
    ReplicaStart start {};
    [[nodiscard]] ReplicaRun run() const { return { id, start }; }
    MSGPACK_DEFINE(id, start)
};

/// Renews the replicas' runs, and states how many gateways share the retry budget. It is sent over every link once a second. To keep it
/// small, a heartbeat to a gateway lists only the runs that were not heard from recently; a gateway whose digest is the same renews all
/// others. Start times are sent as offsets from the earliest one: 5 bytes for each replica instead of 10, as long as they started within
/// 49 days of each other.
struct RegistryHeartbeat {
    std::map<std::string, Duration> ages; ///< Time since each run was last heard from, by id.
    std::uint32_t gateways = 0;
    ReplicaStart earliestStart {};
    std::vector<std::uint64_t> startOffsets {}; ///< Milliseconds from `earliestStart` to each run's start, in the order of `ages`.
    std::uint64_t digest = 0; ///< Of all replicas in the sender's registry; zero from releases without this field.
    std::uint32_t known = 0; ///< The number of replicas in the sender's registry.
    /// The largest number of gateways lately, with those that may be cut off or about to start again; zero: not known.
    std::uint32_t recentGateways = 0;
    MSGPACK_DEFINE(ages, gateways, earliestStart, startOffsets, digest, known, recentGateways)
};

/// Renews the replicas' runs at another controller, once a second: a heartbeat that names all of them takes twenty times as many bytes.
struct RegistryAges {
    std::uint64_t digest = 0; ///< Of all replicas in the sender's registry.
    std::uint32_t known = 0; ///< Their number.
    std::uint64_t runs = 0; ///< A digest of the runs alone. A recipient with another one can't tell which age is whose.
    std::string ages; ///< A byte for each replica, in the order of the ids (ReplicaRegistry::ages).
    MSGPACK_DEFINE(digest, known, runs, ages)
};

/// The largest number of gateways lately, as a controller stores it.
struct StoredGatewayCount {
    std::uint32_t gateways = 0;
    MSGPACK_DEFINE(gateways)
};

/// The load that one gateway put on a service's engines, in number of busy replicas of each stage, on average since its last report.
struct StageLoad {
    double prefill = 0;
    double decode = 0;
    Duration stageChange {}; ///< How long a replica is unavailable while it changes its stage.
    MSGPACK_DEFINE(prefill, decode, stageChange)
};

/// From a gateway to controllers, once a second while there is work for engines. By service.
struct EngineLoadReport {
    std::map<std::string, StageLoad> services;
    MSGPACK_DEFINE(services)
};

/// A replica was ordered to change its stage. It accepts no work until it announces the new one.
struct StageChange {
    std::string id;
    UpstreamKind to = UpstreamKind::Decode;
    Duration lasts {}; ///< The longest time that the change can still take.
    ReplicaStart start {}; ///< Of the run that received the order.
    MSGPACK_DEFINE(id, to, lasts, start)
};

/// Asks a controller for what its replica registry has and the sender's has not.
struct RegistryRequest {
    std::uint64_t digest = 0; ///< Of the sender's registry.
    /// Digests of the parts of the sender's registry, into which the replicas are divided by their ids. None: the whole list is sent.
    std::vector<std::uint64_t> parts {};
    MSGPACK_DEFINE(digest, parts)
};

/// A controller's replica registry, or those parts of it that the recipient does not have.
struct RegistryList {
    std::vector<RelayedAnnouncement> known;
    std::vector<StageChange> changing;
    std::vector<ReplicaWithdrawn> ended;
    MSGPACK_DEFINE(known, changing, ended)
};

/// A controller has this version of the routing document; a gateway requests it from one of those that offer it.
struct DocumentOffer {
    std::uint64_t version = 0;
    bool isCurrent = false; ///< The controller is in contact with a leader and has applied everything that the leader has committed.
    MSGPACK_DEFINE(version, isCurrent)
};

/// The peer addresses of all controllers known to the sender.
struct ControllerRoster {
    std::vector<std::string> addresses;
    MSGPACK_DEFINE(addresses)
};

/// Asks the leader for the log index that must be applied before a linearizable read.
struct ReadIndex {
    std::uint64_t ticket = 0;
    MSGPACK_DEFINE(ticket)
};

struct ReadIndexReply {
    std::uint64_t ticket = 0;
    bool isConfirmed = false;
    std::uint64_t index = 0;
    MSGPACK_DEFINE(ticket, isConfirmed, index)
};

/// Asks a controller for the changes from the version that the gateway has to `version`.
struct DocumentRequest {
    std::uint64_t version = 0;
    std::uint64_t held = 0; ///< The version that the gateway has; zero: none.
    std::uint64_t offset = 0; ///< Bytes received so far.
    MSGPACK_DEFINE(version, held, offset)
};

/// A chunk of the serialized changes (DocumentStep) from `base` to `version`.
struct DocumentPart {
    std::uint64_t version = 0;
    std::uint64_t base = 0;
    std::uint64_t offset = 0;
    std::uint64_t total = 0; ///< Bytes of all chunks together.
    std::string bytes;
    MSGPACK_DEFINE(version, base, offset, total, bytes)
};

} // namespace wrenhinge
