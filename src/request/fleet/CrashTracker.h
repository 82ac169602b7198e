/** \file
 * Finds requests, and parts of prompts, that crash the replicas that run them, from all crashes that this process has observed or received
 * reports of.
 *
 * Such a request is sent again under another id, at any gateway; or it is never sent again, but others with the same part are. Each run
 * crashes another replica and aborts everything else that runs there. A single gateway sees no more than a lost connection, so all
 * processes collect the crashes: gateways report what they see, controllers pass it on.
 *
 * Each crash accuses all content of the requests that ran at the replica: the requests themselves, and the parts of their prompts. Content
 * that three crashes accuse, one after the other, is convicted, and requests with it are refused. Content that merely ran at the same
 * replicas is told apart as follows:
 * - crashes at the same moment count once: a rack that loses power crashes many replicas. Five at once are enough for a suspicion, which
 *   the next request with the content confirms or clears;
 * - a replica from which something was received after its crash did not crash: its connection was reset, or it aborted one response;
 * - an answer clears its content: a complete one clears the request and its parts, one that has been under way for a while the parts, since
 *   a part crashes replicas when they begin to answer. An answer also clears later crashes for some time: the part that all prompts of
 *   a route begin with is answered all the time, even while replicas crash, and a gateway that knows of an answer does not accuse it;
 * - crashes are explained by other convicted content that ran at each of these replicas but one. Content whose crashes are explained by
 *   content that a request does not have is no reason to refuse the request. Without this, the first part of all prompts would be refused
 *   together with the one that crashes replicas, where nothing was answered yet.
 *
 * Example: three replicas crash while running {a, b, x}, {a, c, x} and {a, b, x}. Convicted are a and x. A request {a, c} runs, since x
 * explains all crashes of a; {a, d, x} is refused.
 *
 * At each process a crash is added once and cleared at most once, and is never added again, so the exchange of reports terminates.
 * Comparing times alone would not be enough: each hop adds some latency to them, so a cleared crash that arrived by another path would look
 * new and be cleared again, and both reports would circulate between the controllers forever.
 *
 * After a while convicted content may be tried again, since the replicas may have been repaired: at the one gateway that observed the last
 * crash, so that all gateways together try once at a time without asking each other. One more crash convicts it for twice as long. All of
 * this is computed from the list of crashes alone, so processes that know the same crashes agree.
 */
#pragma once

#include "message/Messages.h"
#include "request/fleet/ReplicaRegistry.h"

#include <set>
#include <unordered_map>
#include <vector>

namespace wrenhinge {

/// What may crash the replica that processes a request.
struct RequestContent {
    ContentFingerprint request; ///< Zero: not known.
    std::vector<ContentFingerprint> parts; ///< Of the prompt, without the last one, which no other request has.
};

class CrashTracker {
public:
    enum class Status : std::uint8_t {
        Unknown,
        Watched, ///< One more crash convicts it, or it was convicted before. All gateways are informed, since an answer at any of them
                 ///< clears it.
        Convicted,
    };

    /// Two replicas may crash while running a request by coincidence; three in a row, with no response in between, are unlikely to.
    static constexpr std::size_t crashesUntilConvicted = 3;
    static constexpr std::size_t crashesUntilWatched = 2;
    /// So many crashes at the same moment as another one are more than a coincidence, but may have a common cause. Content that many
    /// requests have at a time may crash all replicas of a service before any crash is separate from the first.
    static constexpr std::size_t simultaneousUntilSuspected = 4;
    /// For how long suspected content is refused before it is tried: the time in which its requests that are in progress end.
    static constexpr Duration suspicion = 1s;
    /// Long compared with the seconds after which callers retry, and short compared with the time it takes to repair replicas.
    static constexpr Duration firstConviction = 2min;
    static constexpr Duration longestConviction = 1h;
    /// Content is removed this long after its last crash, its last answer or the end of its conviction, whichever is latest.
    static constexpr Duration retentionPeriod = 10min;
    /// Times observed by different processes are compared by the ages in messages, so differences below a message's latency say nothing
    /// about their order.
    static constexpr Duration messageDelayTolerance = 50ms;
    /// Crashes closer together than this are taken for one event, such as the power loss of a rack.
    static constexpr Duration simultaneity = 250ms;
    /// A run that ended this soon was not one at a replica that fell silent, whose end is noticed late and at different times.
    static constexpr Duration shortRun = 1s;
    /// An answer that has been under way for this long shows that its replica does not crash when it begins to answer.
    static constexpr Duration survivalTime = 500ms;
    /// An answer clears crashes that happen up to this long after it. Long enough that content which is answered now and then is never
    /// accused, short enough that content which begins to crash replicas is soon noticed.
    static constexpr Duration survivalMemory = 30s;
    /// The most content that is kept, at about 250 bytes each. One engine that crashes leaves some tens to hundreds.
    static constexpr std::size_t maxContent = 16384;
    /// The most survivals that are kept, at about 50 bytes each.
    static constexpr std::size_t maxSurvivals = 16384;

    /// The error messages for callers whose request is refused.
    static constexpr const char* hasRunReason = "replicas that ran this very request have crashed, so it is not run again";
    static constexpr const char* notRunReason
        = "replicas that ran requests with a part of this one's prompt have crashed, so it has not run, nor is it worth sending again";

    /// Content that crashes replicas, and by which a request is to be refused.
    struct Conviction {
        ContentFingerprint content;
        Instant until; ///< May be tried once at a time from then on,
        std::string trialAt; ///< by the gateway with this name.
    };

    /// \param name of this process, for its reports.
    explicit CrashTracker(std::string name = {})
        : m_name(std::move(name))
    {
    }

    /// Records that this process saw the replica crash while running the request.
    /// \param answeredFor how long the answer had been under way. \returns what to report to the controllers.
    CrashReport noteCrash(
        const RequestContent&, const ReplicaRun&, const ReplicaSoftware&, Duration ranFor, Duration answeredFor, Instant now);
    /// Records a complete answer to the request. \returns what to report; empty unless this cleared a crash.
    CrashReport noteServed(const RequestContent&, const ReplicaSoftware&, Instant now);
    /// Records a complete answer to a request that was tried although it was convicted: the replicas have been repaired.
    CrashReport noteTrialServed(const RequestContent&, Instant now);
    /// Records that an answer has been under way for `survivalTime`. \returns what to report; empty unless this cleared a crash.
    CrashReport noteSurvived(const RequestContent&, const ReplicaSoftware&, Instant now);
    /// Merges another process's report. \returns the part of it that was new.
    CrashReport take(const CrashReport&, Instant now);
    /// Clears crashes of a report that this process knows to be no fault of the content, as it was answered. \returns what to report.
    CrashReport refute(const CrashReport&, Instant now);
    /// Clears the crashes of replicas from which something was received since, and removes expired entries.
    void dropRefuted(const ReplicaRegistry&, Instant now);
    void removeExpired(Instant now);

    /// The content of the request that crashes replicas. Empty: the request may run.
    [[nodiscard]] std::vector<Conviction> convictionsOf(const RequestContent&) const;
    /// Why a request that is refused for its content is refused, for its caller. \param mayHaveRun this very request was sent to a replica.
    [[nodiscard]] const char* refusalReason(const RequestContent&, bool mayHaveRun) const;
    [[nodiscard]] Status statusOf(ContentFingerprint, Instant now) const;
    /// The content and the replicas that have crashed while running it, for a log.
    [[nodiscard]] std::string text(ContentFingerprint) const;
    /// Adds to `report` all that another process needs to compute the same status of the content.
    void describe(ContentFingerprint, CrashReport& report, Instant now) const;
    /// The same for all content whose status is at least `atLeast`.
    [[nodiscard]] CrashReport describeAll(Status atLeast, Instant now) const;
    [[nodiscard]] std::size_t size() const { return m_content.size(); }

private:
    struct Crash {
        ReplicaRun run;
        Instant began;
        Instant at;
        ReplicaSoftware software;
        std::string reporter; ///< Of several the first by name, so that all processes name the same one.
        bool isCleared = false; ///< It no longer counts, and is kept only to recognize it as known.
    };
    struct Content {
        std::vector<Crash> crashes; ///< By time; for each run the first that was reported.
        std::vector<std::pair<std::optional<ReplicaSoftware>, Instant>> servedAt; ///< The last answer, by software.
    };
    /// The result of evaluating a list of crashes.
    struct Evaluation {
        std::size_t crashes = 0;
        std::size_t counted = 0; ///< Of these, those that are separate events.
        Instant convictedUntil; ///< `Instant()`: not convicted.
        std::string trialAt {};
    };
    [[nodiscard]] static Evaluation evaluate(const Content&);
    [[nodiscard]] static bool isExplainedBy(const Content&, const Content& other);
    [[nodiscard]] static bool isSameEvent(const Crash&, const Crash&);
    [[nodiscard]] static bool isSeparate(const Crash& former, const Crash&);
    [[nodiscard]] static bool isCleared(const Content&, const Crash&);
    /// The time of the last crash or answer, or the end of the conviction if that is later.
    [[nodiscard]] static Instant lastActivity(const Content&);
    bool add(ContentFingerprint, Crash);
    bool clear(ContentFingerprint, const std::optional<ReplicaSoftware>&, Instant servedAt);
    CrashReport clearAll(const RequestContent&, const std::optional<ReplicaSoftware>&, Instant now);
    void updateConvicted(ContentFingerprint);
    void evictOldest();

    // Answers that this process knows of, also to requests whose content nobody has accused yet.
    using SurvivalKey = std::pair<ContentFingerprint, std::uint64_t>; ///< And a hash of the software.
    void remember(const RequestContent&, const ReplicaSoftware&, Instant now);
    [[nodiscard]] std::optional<Instant> survivedAt(ContentFingerprint, const ReplicaSoftware&, Instant crashedAt) const;

    std::string m_name;
    std::unordered_map<ContentFingerprint, Content> m_content;
    std::set<ContentFingerprint> m_convicted; ///< Enough crashes count, whether or not it may be tried by now.
    std::map<SurvivalKey, Instant> m_survivals;
};

} // namespace wrenhinge
