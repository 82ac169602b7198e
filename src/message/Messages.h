/** \file
 * The typed messages between wrenhinge's own processes.
 *
 * Each message is a plain struct; `Message` is the closed set of them. Codec.h serializes them. Tests pass the same
 * structs to the state machines as events, so nothing here depends on sockets. Times in messages are durations relative
 * to receipt, never instants.
 */
#pragma once

#include "message/ControllerMessages.h"
#include "message/CrashMessages.h"
#include "message/PermitMessages.h"
#include "message/QuotaMessages.h"
#include "message/RegistryMessages.h"
#include "message/ReservationMessages.h"
#include "message/SidecarMessages.h"
#include "message/StreamMessages.h"

#include <variant>

namespace wrenhinge {

/// The first message on a link, in both directions: identifies the sender.
struct Hello {
    PeerId id;
    Role role = Role::Gateway;
    std::string name;
    std::string site;
    std::string zone;
    std::string adminAddress;
    DiskId disk; ///< Controllers only: the identity of the data directory.
    std::uint32_t messageTypes = 0; ///< How many types of messages the sender knows; zero from releases without this field.
    MSGPACK_DEFINE(id, role, name, site, zone, adminAddress, disk, messageTypes)
};

using Message = std::variant<Hello, UpstreamAnnouncement, SlotGrant, Refused, PrefillDone, ResponseHead, ResponseData, ResponseEnd, Failed,
    SealReply, SlotRequest, PrefillRequest, DecodeRequest, Dispatch, Cancel, Seal, Propose, ProposeReply, Watch, ConfigDelta, ConfigApplied,
    VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotChunk, SnapshotReply, RelayedAnnouncement, ReplicaWithdrawn,
    RegistryHeartbeat, DocumentOffer, ControllerRoster, ReadIndex, ReadIndexReply, EngineLoadReport, StageChange, DocumentRequest,
    DocumentPart, ReservationRequest, ReservationReply, ReservationEnd, EngineHeadroom, PrefillNotice, RegistryRequest, RegistryList,
    CrashReport, QuotaReport, QuotaTotals, ReplicaRateLimits, ReplicaUsageReport, ReplicaUsageTotals, StreamRecords, StreamRecordsHeld,
    StreamLookup, StreamLookupReply, RegistryAges>;

/// Whether the sender of the Hello knows this type of messages. A process ends the link over which it receives one that it doesn't know.
template <typename T> bool knows(const Hello& peer) { return Message(T()).index() < peer.messageTypes; }

} // namespace wrenhinge
