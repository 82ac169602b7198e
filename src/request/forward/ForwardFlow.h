/** \file
 * The state that ForwardLogic keeps for one request in progress.
 */
#pragma once

#include "request/fleet/CrashTracker.h"
#include "request/forward/ForwardEffects.h"
#include "request/forward/ForwardEvents.h"
#include "request/forward/ReservationQueue.h"

#include <memory>
#include <set>

namespace wrenhinge {

struct ForwardFlow {
    /// What the current call is for.
    enum class Stage : std::uint8_t {
        Waiting, ///< No call in progress: queued for a reservation, or between calls.
        Reserving,
        Prefilling,
        Running,
    };

    /// What a request waits for. Each wait has a deadline of its own.
    enum class Wait : std::uint8_t {
        Document, ///< For a routing document.
        StreamOrigin, ///< For a holder that knows where the caller's stream began.
        StreamRecord, ///< For a holder to confirm the record of the stream, with its first events held back.
        Permit, ///< To call a replica with a request rate limit.
        Reservation, ///< For the reply to a reservation call.
        Prefill,
        Answer, ///< For the head of an answer that could still come from another replica in time.
        StreamEvent, ///< For the next event of a stream that could be resumed at another replica.
        End, ///< Of the request.
    };
    struct Deadline {
        Instant at;
        Wait wait = Wait::End;
    };

    RequestId id;
    forward::RequestMetadata request;
    std::shared_ptr<const RouteTable> table; ///< Keeps the route alive when a newer document replaces it.
    const Route* route = nullptr;
    RequestContent content; ///< What may crash the replicas that process the request.
    const AccountRule* account = nullptr; ///< The caller's account; nullptr: the document has no accounts, or the route needs none.
    double chargedQuota = 0; ///< Charged to the account's quota for this request.
    std::string service;
    Instant arrivedAt;
    Instant deadline;
    Instant documentWaitUntil; ///< Until when it waits for a routing document, if there was none when it arrived.
    Instant wakeAt; ///< When its deadlines are looked at next; not after the earliest of them.

    // The call.
    Attempt attempt; ///< Of the newest call; answers to earlier ones are dropped.
    Stage stage = Stage::Waiting;
    bool isCalling = false;
    ReplicaRun replica;
    std::string replicaAddress;
    Instant sentAt;
    std::optional<Instant> admittedAt; ///< When it was first sent to an engine to run.
    std::uint32_t reservationAttempts = 0;
    Duration reservationWait {};
    std::optional<Duration> timeToFirstByte;
    std::uint32_t sends = 0;
    std::uint32_t refusals = 0; ///< Sends that a replica answered as not run.
    std::uint32_t runs = 0; ///< Sends that ran or may have run.
    std::set<ReplicaRun> tried;
    std::set<ReplicaRun> triedPrefillReplicas; ///< Replicas that a prefill was sent to; one without a stage may still run the request.

    // Resources held at engines for this request.
    ReservationQueue::Waiter waiter;
    std::optional<Instant>
        permitWaitUntil; ///< Until when it waits, or has waited, for a permit to call a replica with a request rate limit.
    std::optional<forward::Reservation> reservation;
    std::optional<PeerId> reservationSidecar; ///< The sidecar that was asked for the reservation and counts the request at its engine.
    std::optional<forward::KvCacheSource> kvSource;
    Instant kvSourceExpiresAt;
    std::optional<forward::KvCacheSource> sentKvSource; ///< Sent with the current call; the replica fetches it if it runs the call.
    std::optional<PeerId> prefillSidecar; ///< The sidecar of the replica that runs the prefill now.
    ReplicaRun prefillReplica; ///< The prefill replica that has read the prompt.
    std::string prefillReplicaAddress;
    bool hasLostKvCache = false; ///< The replica that had read the prompt restarted before the current call was answered.

    std::optional<Instant> answeringSince; ///< When the first event of the current call arrived.
    Instant survivalNotedAt; ///< When the answer was last noted as one under which the replica does not crash.

    // The answer to the current call.
    bool isLeftToEnd = false; ///< It made no progress, and isn't sent again unless something of its answer arrives.
    bool hasHead = false;
    forward::AnswerMetadata metadata;
    HeaderList headers;
    std::string body;

    /// The search for the origin of a stream that the caller resumes.
    struct Lookup {
        std::set<PeerId> asked; ///< Holders that have not replied yet.
        Instant until;
        bool hasLostHolder = false; ///< The connection to a holder ended before it replied.
    };

    // The stream to the caller.
    StreamId stream;
    std::optional<Lookup> lookup;
    std::optional<StreamOrigin> origin; ///< Once the stream has begun: the only replicas that may continue it.
    std::string softwareVersion; ///< Of the replica, when the current call was sent; empty: not known.
    std::optional<Instant> eventsHeldUntil; ///< Set while no holder has confirmed the record of the stream.
    std::vector<forward::Effect> heldEvents; ///< To be passed on then.
    std::size_t heldBytes = 0; ///< Of these.
    bool hasStreamStarted = false;
    EventSplitter splitter;
    std::optional<std::uint64_t> lastEventId;
    Instant lastEventAt;
    Instant lastForwardedAt; ///< When the last event was passed on to the caller, from any replica.
    Duration longestGap {}; ///< Longest time between two events that were passed on to the caller.
};

} // namespace wrenhinge
