/** \file
 * Which requests crash the replicas that run them, from all crashes that this process has seen or was told of.
 *
 * Such a request comes again under another id, at any gateway, and each of its runs crashes one more replica and cuts off all else that
 * runs there. No gateway sees more of it than a lost connection, so the crashes are collected by all processes alike: gateways report
 * what they see, controllers pass it on. A request is refused once three replicas have crashed under it, one after the other.
 *
 * What else runs at a replica that crashes looks the same, so what tells them apart matters:
 * - a crash counts only if the run began after the last crash that counted. A rack that loses its power ends many runs of one caller's
 *   lookup at once, and none of them began after it knew of another's end;
 * - a replica that was heard of after its crash did not crash: its connection was reset, or it broke off one answer;
 * - a whole answer shows that the request crashes no replica, and nothing from before it counts.
 *
 * A crash is known once and cleared once at each process, and never comes back, so what processes tell each other of it comes to an end. By
 * the times alone, which are a little later after each message, a crash that was cleared would look new when it came again by another way,
 * be cleared again, and both would go round between the controllers for ever.
 *
 * A refused request is let through again after a while, since the replicas may have been mended; if it crashes one more, it is refused for
 * twice as long. All of this follows from the list of crashes alone, so that processes which know the same ones agree.
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
        Watched, ///< One more crash and it is refused, or it was refused before: all gateways should know, as a whole answer at any clears
                 ///< it.
        Refused,
    };

    /// Two replicas may crash under a request by chance; three in a row, with no answer in between, hardly.
    static constexpr std::size_t crashesUntilRefused = 3;
    static constexpr std::size_t crashesUntilWatched = 2;
    /// Long against the seconds after which a caller comes back, and short against the time in which replicas are mended.
    static constexpr Duration firstRefusal = 2min;
    static constexpr Duration longestRefusal = 1h;
    /// What is known of a request is dropped when nothing has come for this long after its last crash or its refusal.
    static constexpr Duration retentionPeriod = 10min;
    /// A replica that was heard of so long after a crash did not crash. Heartbeats may take a run to be fresher than it is by half of
    /// `ReplicaRegistry::freshFor`, and an announcement may have been on its way.
    static constexpr Duration refutationDelay = ReplicaRegistry::freshFor;
    /// Crashes and starts that two processes saw are compared by ages that a message carried: less than its way is no order.
    static constexpr Duration messageDelayTolerance = 50ms;
    /// Requests that are known at most, some 100 bytes each. One engine that crashes leaves some tens; beyond this the oldest are
    /// forgotten.
    static constexpr std::size_t maxRequests = 8192;

    /// Why such a request is refused, in a caller's words.
    static constexpr const char* refusalReason = "replicas that ran this very request have crashed, so it is not run again";

    /// The replica has crashed under the request, as this process saw. \returns what is news to the controllers.
    CrashReport noteCrash(RequestFingerprint, const ReplicaRun&, Duration ranFor, Instant now);
    /// The request was answered whole. \returns the same: nothing unless this cleared a crash.
    CrashReport noteServed(RequestFingerprint, Instant now);
    /// Takes what another process knows. \returns what of it was news.
    CrashReport take(const CrashReport&, Instant now);
    /// Clears the crashes of replicas that were heard of since, and forgets what is old.
    void dropRefuted(const ReplicaRegistry&, Instant now);
    void removeExpired(Instant now);

    [[nodiscard]] Status statusOf(RequestFingerprint, Instant now) const;
    /// The request and the replicas that have crashed under it, for a log.
    [[nodiscard]] std::string text(RequestFingerprint) const;
    /// All that another process needs to judge the request alike; added to `report`.
    void describe(RequestFingerprint, CrashReport& report, Instant now) const;
    /// The same of all requests whose standing is at least this.
    [[nodiscard]] CrashReport describeAll(Status atLeast, Instant now) const;
    [[nodiscard]] std::size_t size() const { return m_requests.size(); }

private:
    struct Crash {
        ReplicaRun run;
        Instant began;
        Instant at;
        bool isCleared = false; ///< It does not count any more, and is only remembered.
    };
    struct Request {
        std::vector<Crash> crashes; ///< In order of time; of each run the first that was told.
        Instant servedAt; ///< The last whole answer; the beginning of time if there was none.
    };
    /// What follows from a list of crashes.
    struct Evaluation {
        std::size_t counted = 0;
        Instant refusedUntil;
    };
    [[nodiscard]] static Evaluation evaluate(const Request&);
    /// When something came of it last, or its refusal ends.
    [[nodiscard]] static Instant lastActivity(const Request&);
    bool add(RequestFingerprint, Crash);
    bool clear(RequestFingerprint, Instant servedAt);
    void evictOldest();

    std::unordered_map<RequestFingerprint, Request> m_requests;
};

} // namespace wrenhinge
