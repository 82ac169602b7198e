/** \file
 * The numbered log events. docs/EVENTS.md lists them; a test compares the two.
 *
 * Logs, the time line and metrics identify events by these numbers, so that an operator's alerts keep working when a text
 * changes. Never reuse or renumber one.
 */
#pragma once

#include "base/Ids.h"

#include <span>
#include <string>
#include <string_view>

namespace wrenhinge {

enum class EventCode : int {
    // 1xx: the process.
    ProcessStarted = 100,
    ProcessDraining = 101,
    ProcessStopped = 102,
    SettingsReloaded = 103,
    LinesLeftOut = 104,
    LogFileRefused = 105,
    PeerUp = 110,
    PeerDown = 111,
    // 2xx: a request at its gateway.
    RequestReceived = 200,
    RequestPlaced = 201,
    RequestGranted = 202,
    PrefillStarted = 203,
    PrefillFinished = 204,
    DecodeStarted = 205,
    FirstByte = 206,
    RequestFinished = 207,
    RequestRefused = 208,
    RequestCancelled = 209,
    RequestRetried = 210,
    RequestFailed = 211,
    LateAnswerDropped = 212,
    DecodeMoved = 213,
    PlaceAsked = 214,
    RequestCrashesReplicas = 215,
    StreamOriginFound = 216,
    RetryNotAllowed = 217,
    IntentRecorded = 220,
    AnswerReplayed = 221,
    AttemptSealed = 222,
    OutcomeRecorded = 223,
    // 3xx: a sidecar.
    WorkAdmitted = 300,
    WorkQueued = 301,
    WorkRefused = 302,
    WorkReleased = 303,
    GrantExpired = 304,
    ResultExpired = 305,
    // 4xx: upstreams as a gateway sees them.
    UpstreamAnnounced = 400,
    UpstreamLeaseExpired = 401,
    UpstreamDraining = 402,
    UpstreamEjected = 403,
    UpstreamReturned = 404,
    StageChanging = 405,
    UpstreamRestarted = 406,
    UpstreamRateLimited = 407,
    UpstreamRateLimitLifted = 408,
    PermitIssuerChanged = 409,
    UpstreamRests = 410,
    UpstreamLeaves = 411,
    // 5xx: controllers.
    LeaderElected = 500,
    LeaderLost = 501,
    ConfigAccepted = 502,
    ConfigRefused = 503,
    ConfigInForce = 504,
    SnapshotTaken = 505,
    SnapshotInstalled = 506,
    LogTailCut = 507,
    VoteWithheld = 508,
    DiskReplaced = 509,
    MembersChanged = 510,
    StorageReopened = 511,
    DocumentInForce = 512,
    DocumentRefused = 513,
    StageOrdered = 514,
    StageOrderFailed = 515,
    ReplicasForgotten = 516,
    EntryRefused = 517,
    SnapshotRefused = 518,
    StreamsForgotten = 519,
};

struct EventRow {
    EventCode code;
    std::string_view name;
};

/// All events, ordered by number.
std::span<const EventRow> allEvents();
std::string_view nameOf(EventCode);

/// An entry for the log and the time line. State machines return it as an effect.
struct LogEvent {
    EventCode code;
    RequestId request; ///< A sequence of zero: not related to a request.
    std::string text;
};

} // namespace wrenhinge
