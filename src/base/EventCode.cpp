#include "base/EventCode.h"

#include "base/ResultCode.h"

#include <array>

namespace wrenhinge {

namespace {

    constexpr std::array eventTable {
        EventRow { EventCode::ProcessStarted, "PROCESS_STARTED" },
        EventRow { EventCode::ProcessDraining, "PROCESS_DRAINING" },
        EventRow { EventCode::ProcessStopped, "PROCESS_STOPPED" },
        EventRow { EventCode::SettingsReloaded, "SETTINGS_RELOADED" },
        EventRow { EventCode::LinesLeftOut, "LINES_LEFT_OUT" },
        EventRow { EventCode::LogFileRefused, "LOG_FILE_REFUSED" },
        EventRow { EventCode::PeerUp, "PEER_UP" },
        EventRow { EventCode::PeerDown, "PEER_DOWN" },
        EventRow { EventCode::RequestReceived, "REQUEST_RECEIVED" },
        EventRow { EventCode::RequestPlaced, "REQUEST_PLACED" },
        EventRow { EventCode::RequestGranted, "REQUEST_GRANTED" },
        EventRow { EventCode::PrefillStarted, "PREFILL_STARTED" },
        EventRow { EventCode::PrefillFinished, "PREFILL_FINISHED" },
        EventRow { EventCode::DecodeStarted, "DECODE_STARTED" },
        EventRow { EventCode::FirstByte, "FIRST_BYTE" },
        EventRow { EventCode::RequestFinished, "REQUEST_FINISHED" },
        EventRow { EventCode::RequestRefused, "REQUEST_REFUSED" },
        EventRow { EventCode::RequestCancelled, "REQUEST_CANCELLED" },
        EventRow { EventCode::RequestRetried, "REQUEST_RETRIED" },
        EventRow { EventCode::RequestFailed, "REQUEST_FAILED" },
        EventRow { EventCode::LateAnswerDropped, "LATE_ANSWER_DROPPED" },
        EventRow { EventCode::DecodeMoved, "DECODE_MOVED" },
        EventRow { EventCode::PlaceAsked, "PLACE_ASKED" },
        EventRow { EventCode::RequestCrashesReplicas, "REQUEST_CRASHES_REPLICAS" },
        EventRow { EventCode::StreamOriginFound, "STREAM_ORIGIN_FOUND" },
        EventRow { EventCode::RetryNotAllowed, "RETRY_NOT_ALLOWED" },
        EventRow { EventCode::IntentRecorded, "INTENT_RECORDED" },
        EventRow { EventCode::AnswerReplayed, "ANSWER_REPLAYED" },
        EventRow { EventCode::AttemptSealed, "ATTEMPT_SEALED" },
        EventRow { EventCode::OutcomeRecorded, "OUTCOME_RECORDED" },
        EventRow { EventCode::WorkAdmitted, "WORK_ADMITTED" },
        EventRow { EventCode::WorkQueued, "WORK_QUEUED" },
        EventRow { EventCode::WorkRefused, "WORK_REFUSED" },
        EventRow { EventCode::WorkReleased, "WORK_RELEASED" },
        EventRow { EventCode::GrantExpired, "GRANT_EXPIRED" },
        EventRow { EventCode::ResultExpired, "RESULT_EXPIRED" },
        EventRow { EventCode::UpstreamAnnounced, "UPSTREAM_ANNOUNCED" },
        EventRow { EventCode::UpstreamLeaseExpired, "UPSTREAM_LEASE_EXPIRED" },
        EventRow { EventCode::UpstreamDraining, "UPSTREAM_DRAINING" },
        EventRow { EventCode::UpstreamEjected, "UPSTREAM_EJECTED" },
        EventRow { EventCode::UpstreamReturned, "UPSTREAM_RETURNED" },
        EventRow { EventCode::StageChanging, "STAGE_CHANGING" },
        EventRow { EventCode::UpstreamRestarted, "UPSTREAM_RESTARTED" },
        EventRow { EventCode::UpstreamRateLimited, "UPSTREAM_RATE_LIMITED" },
        EventRow { EventCode::UpstreamRateLimitLifted, "UPSTREAM_RATE_LIMIT_LIFTED" },
        EventRow { EventCode::PermitIssuerChanged, "PERMIT_ISSUER_CHANGED" },
        EventRow { EventCode::UpstreamRests, "UPSTREAM_RESTS" },
        EventRow { EventCode::UpstreamLeaves, "UPSTREAM_LEAVES" },
        EventRow { EventCode::LeaderElected, "LEADER_ELECTED" },
        EventRow { EventCode::LeaderLost, "LEADER_LOST" },
        EventRow { EventCode::ConfigAccepted, "CONFIG_ACCEPTED" },
        EventRow { EventCode::ConfigRefused, "CONFIG_REFUSED" },
        EventRow { EventCode::ConfigInForce, "CONFIG_IN_FORCE" },
        EventRow { EventCode::SnapshotTaken, "SNAPSHOT_TAKEN" },
        EventRow { EventCode::SnapshotInstalled, "SNAPSHOT_INSTALLED" },
        EventRow { EventCode::LogTailCut, "LOG_TAIL_CUT" },
        EventRow { EventCode::VoteWithheld, "VOTE_WITHHELD" },
        EventRow { EventCode::DiskReplaced, "DISK_REPLACED" },
        EventRow { EventCode::MembersChanged, "MEMBERS_CHANGED" },
        EventRow { EventCode::StorageReopened, "STORAGE_REOPENED" },
        EventRow { EventCode::DocumentInForce, "DOCUMENT_IN_FORCE" },
        EventRow { EventCode::DocumentRefused, "DOCUMENT_REFUSED" },
        EventRow { EventCode::StageOrdered, "STAGE_ORDERED" },
        EventRow { EventCode::StageOrderFailed, "STAGE_ORDER_FAILED" },
        EventRow { EventCode::ReplicasForgotten, "REPLICAS_FORGOTTEN" },
        EventRow { EventCode::EntryRefused, "ENTRY_REFUSED" },
        EventRow { EventCode::SnapshotRefused, "SNAPSHOT_REFUSED" },
        EventRow { EventCode::StreamsForgotten, "STREAMS_FORGOTTEN" },
    };

} // namespace

std::span<const EventRow> allEvents() { return eventTable; }

std::string_view nameOf(EventCode code)
{
    for (const auto& row : eventTable) {
        if (row.code == code)
            return row.name;
    }
    internalError("an event without a row in the event table");
}

} // namespace wrenhinge
