/** \file
 * A controller's side of the replicas' announcements: takes them, and sees to it that every gateway hears of them.
 *
 * What is news goes to all linked gateways and controllers at once, so that a replica which drains gets no new work within
 * the time of a message; each controller passes on what it hears from another, so that a gateway which reaches only one side
 * of a cut still hears the other side's. What only renews is told once a second in one message, which names all replicas to controllers and
 * to gateways only those that were not renewed. The table is soft state: whoever starts sees by the digest in that message that it lacks
 * something, and asks for the list (RegistryFollower).
 *
 * Runs on the strand that it is given.
 */
#pragma once

#include "connection/PeerHub.h"
#include "process/EventLog.h"
#include "request/fleet/RegistryFollower.h"
#include "request/fleet/ReplicaRegistry.h"

#include <optional>

namespace wrenhinge {

class Registrar {
public:
    /// Renewals are told this often; a gateway doubts a replica after several times that.
    static constexpr Duration heartbeatInterval = 1s;

    /// A replica that is remembered counts as heard of this long ago: it is used at once, and doubted 2 s later unless it announces
    /// itself, which takes one interval of 1.2 s and some hundred ms.
    static constexpr Duration restoredAge = 2500ms;

    /// A controller that has just started is linked to those gateways that have found it so far, and they would each take too large a share
    /// of what all may send beyond first calls. Within this time the last one has found it: several of the longest pauses between dials.
    static constexpr Duration gatewayCountDelay = 5s;

    /// \param countsAfter for how long after `start` it says nothing of how many gateways there are.
    Registrar(Strand, PeerHub&, EventLog&, Duration countsAfter = gatewayCountDelay);

    /// \param remembered replicas that were known before this process started.
    void start(const std::vector<Announcement>& restored);
    /// Called with the replicas that announce themselves when one has changed, come or fallen silent; set before `start`.
    std::function<void(std::vector<Announcement>)> onChange;
    // From replicas.
    void announce(const Announcement&);
    /// The replica with this id leaves. \param stated the run that it means, if it says which. \returns false if it does not and
    /// no run of the id is known here, so that nothing can be ended.
    ///
    /// A replica that does not say which run it means is taken to mean the newest one that is known when it says so, and from here on
    /// all processes are told that run. Such a call may have been delayed until the replica has started again, and then ends the wrong
    /// run. That costs one replica until its next start; to leave the call without effect would send callers to a replica that
    /// was told that nobody is sent to it any more.
    bool withdraw(const std::string& id, std::optional<ReplicaStart> statedStart);
    /// A replica was ordered to change its stage.
    void changeStage(const StageChange&);
    // From links. Any thread.
    void peerUp(const Hello&);
    void peerDown(PeerId);
    void receive(PeerId, const Message&);
    [[nodiscard]] const ReplicaRegistry& registry() const { return m_registry; }

private:
    void handleAnnouncement(const Announcement&, Duration age);
    void handleWithdrawal(const ReplicaRun&);
    bool apply(const Announcement&, Duration age);
    void handleList(PeerId, const RegistryList&);
    void broadcast(const Message&);
    void notifyIfChanged();
    /// \param gateways how many there are; zero: not known.
    [[nodiscard]] RegistryHeartbeat heartbeatFor(Role, std::uint32_t gateways) const;
    void sendHeartbeats();
    void queryIfNeeded();

    Strand m_strand;
    PeerHub& m_hub;
    EventLog& m_log;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_queryTimer;
    Duration m_gatewayCountDelay;
    Instant m_countsGatewaysFrom; ///< From `start` on.
    ReplicaRegistry m_registry;
    RegistryFollower m_follower;
    std::map<std::string, std::uint64_t> m_notified; ///< What `onChange` was called with last: ids, and when each changed.
    std::map<std::string, std::uint64_t> m_changeCounts; ///< By id: counts its changes.
};

/// Whether a message belongs to the registrar.
bool isForRegistrar(const Message&);

} // namespace wrenhinge
