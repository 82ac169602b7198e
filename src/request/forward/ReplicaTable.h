/** \file
 * The replicas that a gateway calls: which are eligible, how loaded each one is, and which one is best for a request.
 *
 * The choice is based on what the gateway measures itself: its calls in progress at a replica, their latency and their failure rate.
 * A replica that passes its health check may still fail its calls, so health is derived from the calls. A replica that can't be
 * reached is backed off from for a time that doubles. One that answers with failures only costs more, in proportion to its failure
 * rate, so that a service whose replicas all fail occasionally always keeps some.
 *
 * All of this is kept per run, that is per process lifetime of a replica. A replica that restarts under the same id starts without
 * load, failures and backoff, like one with a new id; calls that are still in progress at its former run don't count for the new one.
 */
#pragma once

#include "request/engine/EngineHeadroomTable.h"
#include "request/engine/EngineSubset.h"
#include "request/fleet/ReplicaRegistry.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace wrenhinge {

/// The outcome of a call, as far as it says something about the replica.
enum class CallOutcome : std::uint8_t {
    Served,
    Failed, ///< An error answer, an incomplete answer, or a malformed one.
    Refused, ///< The replica was full or draining.
    Unreachable, ///< No connection could be made.
    Misdirected, ///< The call reached another replica than the intended one, or one that has changed its stage.
    Abandoned, ///< The caller disconnected or the call was cancelled: says nothing about the replica.
};

class ReplicaTable {
public:
    struct Choice {
        ReplicaRun run;
        std::string address;
    };
    struct Criteria {
        std::string service;
        UpstreamKind kind = UpstreamKind::Plain;
        std::optional<std::string> softwareVersion; ///< The only version of the replicas' software that will do; unset: any.
        std::uint32_t tokens = 0; ///< KV memory that the request needs at an engine.
        std::uint32_t promptTokens = 0; ///< The part of it that is needed from the start.
        std::uint64_t minFreeTokens = 0; ///< An engine with less free KV memory than this would refuse the request.
        std::uint64_t cacheTokens = 0; ///< KV memory of a replica; zero: the service has no engines.
        bool excludeFull = false; ///< Choose no replica rather than one that has no capacity now.
        bool excludeOverdue = false; ///< Choose no replica rather than one that may have restarted under another id.
        std::uint32_t maxCalls = 0; ///< A replica with this many calls from this gateway gets no more; zero: no limit.
        std::string preferredZone; ///< Availability zone; empty: the gateway's own.
    };
    struct Load {
        std::uint32_t calls = 0; ///< In progress, from this gateway.
        std::uint64_t tokens = 0;
        double meanSeconds = 0; ///< Latency of recent calls (exponential moving average).
        double failureRate = 0; ///< Share of recent calls that failed (exponential moving average).
        Instant backoffUntil;
        Duration backoff {};
        Instant misdirectedUntil; ///< It isn't what it announced, and gets no calls until its next announcement is due.
        Instant restsUntil; ///< It has asked for no calls before this time.
        bool isOnTrial = false; ///< After a rest: it gets one call at a time until it has answered one without asking for another rest.
        bool isLeaving = false; ///< It has said so in an answer, and gets no more calls.
        Instant fullUntil; ///< It refused a reservation and is not asked for another one before this time.
    };

    /// \param gateway the name of this gateway, which is the same after a restart.
    ReplicaTable(std::string zone, std::uint64_t seed, std::string gateway = {}, AnnouncementTimes times = AnnouncementTimes())
        : m_zone(std::move(zone))
        , m_random(seed)
        , m_registry(times)
        , m_subset(std::move(gateway), m_zone)
    {
    }

    ReplicaRegistry& registry() { return m_registry; }
    [[nodiscard]] const ReplicaRegistry& registry() const { return m_registry; }
    [[nodiscard]] const std::map<ReplicaRun, Load>& loads() const { return m_loads; }

    /// Chooses the replica to call, excluding those in `tried`. Engines outside the subset, replicas that have not announced themselves
    /// lately, and replicas in backoff are chosen only if there is no other.
    std::optional<Choice> choose(const Criteria&, const std::set<ReplicaRun>& tried, Instant now);
    /// The subset of the known engines that this gateway uses.
    EngineSubset& subset() { return m_subset; }
    [[nodiscard]] const EngineSubset& subset() const { return m_subset; }
    /// Whether any replica of the service, kind and software version accepts work, however loaded it is.
    [[nodiscard]] bool hasReady(const Criteria&) const;
    /// The software version of the newest run of this replica; unset if the run is not known or has ended.
    [[nodiscard]] std::optional<std::string> softwareVersionOf(const std::string& id) const;
    /// The replica's run and the version of its software, for a log.
    [[nodiscard]] std::string describe(const ReplicaRun&) const;
    /// The availability zone of a replica's run, or empty if that is not known or has ended.
    [[nodiscard]] std::string zoneOf(const ReplicaRun&) const;
    void begin(const ReplicaRun&, std::uint32_t tokens);
    void end(const ReplicaRun&, std::uint32_t tokens, CallOutcome, Duration took, Instant now);
    /// Counts a reservation as a call until it is used or released.
    void reserve(const ReplicaRun& run, std::uint32_t tokens) { begin(run, tokens); }
    void release(const ReplicaRun&, std::uint32_t tokens);
    /// Records that the replica refused a reservation. It counts as full until the given time.
    void noteFull(const ReplicaRun&, Instant until);
    void clearFull(const ReplicaRun& run) { noteFull(run, {}); }
    /// The free KV memory of engines, as reported by their sidecars.
    EngineHeadroomTable& engineHeadroom() { return m_engineHeadroom; }
    /// Whether exactly this run accepts work.
    [[nodiscard]] bool isReady(const ReplicaRun&) const;
    /// Whether exactly this run accepts work, does not rest and does not leave.
    [[nodiscard]] bool takesCalls(const ReplicaRun&, Instant now) const;
    /// Records that the replica has asked for a rest. Of several, the one that ends last counts.
    void noteRest(const ReplicaRun&, Instant until);
    /// Records that the replica has answered a call that was sent at `calledAt` without asking for a rest.
    void noteAnswer(const ReplicaRun&, Instant calledAt);
    /// Records that the replica has said that it leaves. \returns whether this is new.
    bool noteLeaving(const ReplicaRun&);
    /// When the first of the replicas that could be chosen ends its rest; nothing if one of them does not rest, or there is none.
    [[nodiscard]] std::optional<Instant> allRestUntil(const Criteria&, Instant now) const;
    /// Drops the load data of runs that have ended, except those with calls in progress.
    void forgetEnded();
    /// Records that a controller sent something. Only while controllers do so, missing announcements count against a replica.
    void noteControllerContact(Instant now) { m_controllerHeardAt = now; }
    /// Mean latency of calls to the service, over its replicas; zero if none is known.
    [[nodiscard]] double meanSeconds(const std::string& service, UpstreamKind) const;

private:
    [[nodiscard]] static bool serves(const Announcement&, const Criteria&);
    [[nodiscard]] double costOf(const ReplicaRegistry::Entry&, const Load&, const EngineHeadroomTable::Headroom*, const Criteria&) const;
    /// What is known of a run; nullptr: nothing yet.
    [[nodiscard]] const Load* findLoad(const ReplicaRun&) const;
    [[nodiscard]] bool isSuspect(const ReplicaRegistry::Entry&, const Load&, Instant now) const;

    std::string m_zone;
    std::mt19937_64 m_random;
    ReplicaRegistry m_registry;
    std::map<ReplicaRun, Load> m_loads;
    EngineHeadroomTable m_engineHeadroom;
    EngineSubset m_subset;
    Instant m_controllerHeardAt;
};

} // namespace wrenhinge
