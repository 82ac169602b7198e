/** \file
 * Finds requests that crash the replicas that run them, from all crashes that this process has observed or received reports of.
 *
 * Such a request is sent again under another id, at any gateway. Each run crashes another replica and aborts everything else that runs
 * there. A single gateway sees no more than a lost connection, so all processes collect the crashes: gateways report what they see,
 * controllers pass it on. A request is refused once three replicas have crashed while running it, one after the other.
 *
 * Other requests at the same replica see the same lost connection. They are told apart as follows:
 * - a crash counts only if the run began after the last crash that counted. A rack that loses power ends many runs of the same request at
 *   once, but none of them began after another had ended;
 * - a replica from which something was received after its crash did not crash: its connection was reset, or it aborted one response;
 * - a complete response shows that the request crashes no replica, and clears all earlier crashes.
 *
 * At each process a crash is added once and cleared at most once, and is never added again, so the exchange of reports terminates.
 * Comparing times alone would not be enough: each hop adds some latency to them, so a cleared crash that arrived by another path would look
 * new and be cleared again, and both reports would circulate between the controllers forever.
 *
 * A refused request is admitted again after a while, since the replicas may have been repaired; if it crashes one more, it is refused for
 * twice as long. All of this is computed from the list of crashes alone, so processes that know the same crashes agree.
 */
#pragma once

#include "message/Messages.h"
#include "request/fleet/ReplicaRegistry.h"

#include <unordered_map>
#include <vector>

namespace wrenhinge {

class CrashTracker {
public:
    enum class Status : std::uint8_t {
        Unknown,
        Watched, ///< One more crash has it refused, or it was refused before. All gateways are informed, since a complete response at any
                 ///< of them clears it.
        Refused,
    };

    /// Two replicas may crash while running a request by coincidence; three in a row, with no response in between, are unlikely to.
    static constexpr std::size_t crashesUntilRefused = 3;
    static constexpr std::size_t crashesUntilWatched = 2;
    /// Long compared with the seconds after which callers retry, and short compared with the time it takes to repair replicas.
    static constexpr Duration firstRefusal = 2min;
    static constexpr Duration longestRefusal = 1h;
    /// A request is removed this long after its last crash, its last complete response or the end of its refusal, whichever is latest.
    static constexpr Duration retentionPeriod = 10min;
    /// A replica from which something was received this long after a crash did not crash. The delay is needed since heartbeats may report
    /// a run as fresher than it is by half of `ReplicaRegistry::freshFor`, and an announcement may have been in flight.
    static constexpr Duration refutationDelay = ReplicaRegistry::freshFor;
    /// Times observed by different processes are compared by the ages in messages, so differences below a message's latency say nothing
    /// about their order.
    static constexpr Duration messageDelayTolerance = 50ms;
    /// The most requests that are kept, at about 100 bytes each. One engine that crashes leaves some tens; beyond this limit the oldest are
    /// evicted.
    static constexpr std::size_t maxRequests = 8192;

    /// The error message for callers whose request is refused.
    static constexpr const char* refusalReason = "replicas that ran this very request have crashed, so it is not run again";

    /// Records that this process saw the replica crash while running the request. \returns what to report to the controllers.
    CrashReport noteCrash(ContentFingerprint, const ReplicaRun&, Duration ranFor, Instant now);
    /// Records a complete response to the request. \returns what to report; empty unless this cleared a crash.
    CrashReport noteServed(ContentFingerprint, Instant now);
    /// Merges another process's report. \returns the part of it that was new.
    CrashReport take(const CrashReport&, Instant now);
    /// Clears the crashes of replicas from which something was received since, and removes expired entries.
    void dropRefuted(const ReplicaRegistry&, Instant now);
    void removeExpired(Instant now);

    [[nodiscard]] Status statusOf(ContentFingerprint, Instant now) const;
    /// The request and the replicas that have crashed while running it, for a log.
    [[nodiscard]] std::string text(ContentFingerprint) const;
    /// Adds to `report` all that another process needs to compute the same status of the request.
    void describe(ContentFingerprint, CrashReport& report, Instant now) const;
    /// The same for all requests whose status is at least `atLeast`.
    [[nodiscard]] CrashReport describeAll(Status atLeast, Instant now) const;
    [[nodiscard]] std::size_t size() const { return m_requests.size(); }

private:
    struct Crash {
        ReplicaRun run;
        Instant began;
        Instant at;
        bool isCleared = false; ///< It no longer counts, and is kept only to recognize it as known.
    };
    struct Request {
        std::vector<Crash> crashes; ///< By time; for each run the first that was reported.
        Instant servedAt; ///< Of the last complete response; `Instant()` if there was none.
    };
    /// The result of evaluating a request's list of crashes.
    struct Evaluation {
        std::size_t counted = 0;
        Instant refusedUntil;
    };
    [[nodiscard]] static Evaluation evaluate(const Request&);
    /// The time of the last crash or complete response, or the end of the refusal if that is later.
    [[nodiscard]] static Instant lastActivity(const Request&);
    bool add(ContentFingerprint, Crash);
    bool clear(ContentFingerprint, Instant servedAt);
    void evictOldest();

    std::unordered_map<ContentFingerprint, Request> m_requests;
};

} // namespace wrenhinge
