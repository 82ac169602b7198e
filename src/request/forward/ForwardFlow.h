/** \file
 * One request in progress at a gateway that calls upstreams itself: what ForwardLogic remembers of it.
 */
#pragma once

#include "request/forward/ForwardEffects.h"
#include "request/forward/ForwardEvents.h"
#include "request/forward/ReservationQueue.h"

#include <memory>
#include <set>

namespace wrenhinge {

struct ForwardFlow {
    /// What the present call is for.
    enum class Stage : std::uint8_t {
        Waiting, ///< No call: in the queue for a place, or between calls.
        TakingPlace,
        Prefilling,
        Running,
    };

    RequestId id;
    forward::RequestMetadata ask;
    std::shared_ptr<const RouteTable> table; ///< Keeps the route alive, whatever documents come.
    const Route* route = nullptr;
    const AccountRule* account = nullptr; ///< Whose request it is; nullptr: the document has no accounts, or the route needs none.
    double charged = 0; ///< Taken from the account's quota for it.
    std::string service;
    Instant arrivedAt;
    Instant endsAt;
    Instant checkAt; ///< When to look whether the call makes progress.

    // The call.
    Attempt attempt; ///< The newest; answers of others are late.
    Stage stage = Stage::Waiting;
    bool isCalling = false;
    ReplicaRun replica;
    std::string replicaAddress;
    Instant sentAt;
    std::optional<Instant> admittedAt; ///< When it began to run at an engine.
    std::uint32_t placesAsked = 0;
    Duration reservationWait {};
    std::optional<Duration> timeToFirstByte;
    std::uint32_t sends = 0;
    std::uint32_t refusals = 0; ///< Sends that a replica answered as not run.
    std::uint32_t runs = 0; ///< Sends that ran or may have.
    std::set<ReplicaRun> tried;
    std::set<ReplicaRun> triedReaders; ///< Replicas that were asked to read the prompt; one without a stage may still run it.

    // What waits at engines for this request.
    ReservationQueue::Waiter waiter;
    std::optional<forward::Reservation> reservation;
    std::optional<PeerId> reservedBy; ///< The sidecar that was asked for the place, and then counts the request at its engine.
    std::optional<forward::KvCacheSource> source;
    Instant sourceEndsAt;
    std::optional<forward::KvCacheSource> sentSource; ///< Named in the present call, which fetches it if the replica takes the call.
    std::optional<PeerId> readsBeside; ///< The sidecar of the replica that is asked to read the prompt now.
    ReplicaRun reader; ///< The prefill replica that has read the prompt.
    std::string readerAddress;
    bool hasLostPrompt = false; ///< The replica that has read the prompt started again before the present call was answered.

    // The answer in progress.
    bool hasHead = false;
    forward::AnswerMetadata facts;
    HeaderList headers;
    std::string body;

    // The stream towards the caller.
    bool hasBegun = false;
    EventSplitter splitter;
    std::optional<std::uint64_t> lastEvent;
    Instant lastEventAt;
    Instant passedAt; ///< When the caller got its last event, from whichever replica.
    Duration longestPause {}; ///< Between two events of the stream, as the caller gets them.
};

} // namespace wrenhinge
