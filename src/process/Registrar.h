/** \file
 * Receives the replicas' announcements at a controller and distributes them to all gateways and controllers.
 *
 * Changes are sent to all connected gateways and controllers immediately, so that a draining replica gets no new work after the latency of
 * one message. Each controller forwards the changes that it receives from others, except new replicas, so that a gateway which reaches only
 * one side of a network partition still learns those of the other side. Renewals are sent once a second in one heartbeat, which has the
 * ages of all replicas for controllers but lists only those that were not renewed for gateways. The registry is soft state: a process that
 * starts detects by the digest in the heartbeat that its list differs, and requests what it does not know (RegistryFollower).
 *
 * Runs on the strand passed to it.
 */
#pragma once

#include "connection/PeerHub.h"
#include "process/EventLog.h"
#include "request/fleet/GatewayCount.h"
#include "request/fleet/RegistryFollower.h"
#include "request/fleet/ReplicaRegistry.h"

#include <optional>

namespace wrenhinge {

class Registrar {
public:
    /// Interval of the heartbeats. A gateway considers a replica stale after several intervals without renewal.
    static constexpr Duration heartbeatInterval = 1s;

    /// A controller that has just started is connected to only some of the gateways. If it sent their number, each would use too large a
    /// share of the common budget for calls beyond the first ones. After this time, several times the longest pause between connection
    /// attempts, all gateways have connected. Until then it sends only the number that it has stored.
    static constexpr Duration gatewayCountDelay = 5s;

    /// \param times of the replicas' announcements.
    /// \param countDelay for how long after `start` the heartbeats contain no number of gateways.
    Registrar(Strand, PeerHub&, EventLog&, AnnouncementTimes times = AnnouncementTimes(), Duration countDelay = gatewayCountDelay);

    /// \param restored replicas known before this process started.
    /// \param restoredGateways how many gateways there were then; zero: not known.
    void start(const std::vector<Announcement>& restored, std::uint32_t restoredGateways = 0);
    /// Called with the largest number of gateways lately when it has changed. Set it before `start`.
    std::function<void(std::uint32_t)> onGatewayCount;
    /// Called with the replicas that announce themselves when one was added, has changed or become silent. Set it before `start`.
    std::function<void(std::vector<Announcement>)> onChange;
    // Calls of replicas.
    void announce(const Announcement&);
    /// Withdraws the replica with this id. \param statedStart start of the run to withdraw, if stated. \returns false if it is not stated
    /// and no run of the id is known here, so that there is nothing to withdraw.
    ///
    /// Without a stated run, the newest run known at the time of the call is withdrawn, and all processes are sent that run. If the call
    /// was delayed until after a restart of the replica, it ends the wrong run. That costs one replica until its next start; ignoring the
    /// call would route requests to a replica whose withdrawal was acknowledged.
    bool withdraw(const std::string& id, std::optional<ReplicaStart> statedStart);
    /// Records that a replica was ordered to change its stage.
    void changeStage(const StageChange&);
    // Events of the links. Thread-safe.
    void peerUp(const Hello&);
    void peerDown(PeerId);
    void receive(PeerId, const Message&);
    [[nodiscard]] const ReplicaRegistry& registry() const { return m_registry; }

private:
    void handleAnnouncement(const Announcement&, Duration age);
    void handleRelayed(const RelayedAnnouncement&);
    void handleWithdrawal(const ReplicaRun&);
    bool apply(const Announcement&, Duration age);
    void handleList(PeerId, const RegistryList&);
    void broadcast(const Message&);
    void notifyIfChanged();
    /// \param gateways their number; zero: unknown.
    [[nodiscard]] RegistryHeartbeat heartbeatFor(Role, std::uint32_t gateways) const;
    void sendHeartbeats();
    [[nodiscard]] std::uint32_t countGateways();
    void compare(PeerId, std::uint64_t digest, std::uint32_t known);
    void queryIfNeeded();

    Strand m_strand;
    PeerHub& m_hub;
    EventLog& m_log;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_queryTimer;
    Duration m_gatewayCountDelay;
    Instant m_countsGatewaysFrom; ///< Set by `start`.
    GatewayCount m_recentGateways { GatewayCount::controllerMemory };
    std::uint32_t m_notifiedGateways = 0; ///< At the last call of `onGatewayCount`.
    ReplicaRegistry m_registry;
    RegistryFollower m_follower;
    std::map<std::string, std::uint64_t> m_notified; ///< The change counts at the last call of `onChange`, by id.
    std::map<std::string, std::uint64_t> m_changeCounts; ///< Number of changes, by id.
};

/// Whether the registrar handles this message.
bool isForRegistrar(const Message&);

} // namespace wrenhinge
