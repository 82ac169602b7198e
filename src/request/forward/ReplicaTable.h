/** \file
 * The replicas that a gateway calls itself: who may be sent to, how busy each is, and which one is best now.
 *
 * Placement goes by what this gateway knows at once: its own calls in progress at a replica, the time that calls take there,
 * and the share of them that fails. A replica whose health check is good may still fail what it is sent, so health is learnt
 * from the calls. A replica that can't be reached is avoided for a time that doubles; one that answers with failures is
 * only made more expensive, in proportion, so that a service whose replicas all fail now and then is never emptied.
 *
 * All of this is learnt of a run. A replica that starts again under its id is as idle, unknown and not avoided as one under a new
 * id; calls that are still in progress at its former run end there, and neither free nor slow the new one.
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

/// How a call ended, as far as it tells something of its replica.
enum class CallOutcome : std::uint8_t {
    Served,
    Failed, ///< An error answer, a broken answer, or bytes that are none.
    Refused, ///< It was full, or leaving.
    Unreachable, ///< No connection.
    Misdirected, ///< It is another replica than was meant, or of another stage by now.
    Abandoned, ///< The caller left, or the call was given up: says nothing.
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
        std::uint32_t tokens = 0; ///< What the request puts into an engine's memory.
        std::uint32_t promptTokens = 0; ///< Of these, what it needs from the start.
        std::uint64_t minFreeTokens = 0; ///< With less room than this an engine would refuse it.
        std::uint64_t cacheTokens = 0; ///< What a replica's memory holds; zero: no engine.
        bool excludeFull = false; ///< Rather none than one that has no room now.
        bool excludeOverdue = false; ///< Rather none than one that may have started again under another id.
        std::uint32_t maxCalls = 0; ///< A replica with this many calls from here is not sent another; zero: no limit.
        std::string preferredZone; ///< The zone to prefer; empty: the gateway's own.
    };
    struct Load {
        std::uint32_t calls = 0; ///< In progress, from this gateway.
        std::uint64_t tokens = 0;
        double meanSeconds = 0; ///< Of the last calls, weighted towards the newest.
        double failureRate = 0; ///< Share of the last calls that failed.
        Instant backoffUntil;
        Duration backoff {};
        Instant misdirectedUntil; ///< It is not what it announced; its next announcement tells what it is.
        Instant fullUntil; ///< It refused to set a place aside, and is not asked again before.
    };

    /// \param gateway the name of this gateway, which stays over restarts.
    ReplicaTable(std::string zone, std::uint64_t seed, std::string gateway = {})
        : m_zone(std::move(zone))
        , m_random(seed)
        , m_subset(std::move(gateway), m_zone)
    {
    }

    ReplicaRegistry& registry() { return m_registry; }
    [[nodiscard]] const ReplicaRegistry& registry() const { return m_registry; }
    [[nodiscard]] const std::map<ReplicaRun, Load>& loads() const { return m_loads; }

    /// The replica to send to, other than those in `tried`. Engines out of the subset, replicas that were not heard of lately, and those
    /// that are avoided, are taken only if there are no others.
    std::optional<Choice> choose(const Criteria&, const std::set<ReplicaRun>& tried, Instant now);
    /// The engines that this gateway uses, out of all that it knows.
    EngineSubset& subset() { return m_subset; }
    [[nodiscard]] const EngineSubset& subset() const { return m_subset; }
    /// Whether any replica of this kind takes work, however busy it is.
    [[nodiscard]] bool hasReady(const std::string& service, UpstreamKind) const;
    /// The availability zone of a replica's run, or empty if that is not known or has ended.
    [[nodiscard]] std::string zoneOf(const ReplicaRun&) const;
    void begin(const ReplicaRun&, std::uint32_t tokens);
    void end(const ReplicaRun&, std::uint32_t tokens, CallOutcome, Duration took, Instant now);
    /// Counts a place that was set aside as a call, until it is used or given back.
    void reserve(const ReplicaRun& run, std::uint32_t tokens) { begin(run, tokens); }
    void release(const ReplicaRun&, std::uint32_t tokens);
    /// The replica refused to set a place aside.
    void noteFull(const ReplicaRun&, Instant until);
    void clearFull(const ReplicaRun& run) { noteFull(run, {}); }
    /// What the sidecars of engines tell of their memory.
    EngineHeadroomTable& rooms() { return m_rooms; }
    /// Whether this very run takes work.
    [[nodiscard]] bool isReady(const ReplicaRun&) const;
    /// Drops what is known of runs that have ended, but for those with calls in progress.
    void forgetEnded();
    /// A controller was heard of: silence of a replica means something again.
    void noteControllerContact(Instant now) { m_controllerHeardAt = now; }
    /// Mean time of calls to the service, over its replicas; zero if nothing is known.
    [[nodiscard]] double meanSeconds(const std::string& service, UpstreamKind) const;

private:
    [[nodiscard]] static bool serves(const Announcement&, const std::string& service, UpstreamKind);
    [[nodiscard]] double costOf(const ReplicaRegistry::Entry&, const Load&, const EngineHeadroomTable::Headroom*, const Criteria&) const;
    [[nodiscard]] bool isDoubtful(const ReplicaRegistry::Entry&, const Load&, Instant now) const;

    std::string m_zone;
    std::mt19937_64 m_random;
    ReplicaRegistry m_registry;
    std::map<ReplicaRun, Load> m_loads;
    EngineHeadroomTable m_rooms;
    EngineSubset m_subset;
    Instant m_controllerHeardAt;
};

} // namespace wrenhinge
