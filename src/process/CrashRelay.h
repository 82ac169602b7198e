/** \file
 * Runs a controller's CrashExchange: connects it to the links to other processes and to the replicas' announcements.
 *
 * Runs on the strand passed to it, which is the registrar's.
 */
#pragma once

#include "connection/PeerHub.h"
#include "process/EventLog.h"
#include "request/fleet/CrashExchange.h"

#include <functional>

namespace wrenhinge {

class CrashRelay {
public:
    /// Interval at which crashes that announcements have refuted are removed.
    static constexpr Duration checkInterval = 1s;

    /// \param registry of the replicas that announce themselves; accessed only on the strand.
    CrashRelay(Strand, PeerHub&, EventLog&, const ReplicaRegistry& registry);

    /// \param restored crashes known before this process started.
    void start(std::vector<ReplicaCrash> restored);
    /// Called with all crashes that gateways should know, whenever these have changed. Set it before `start`.
    std::function<void(std::vector<ReplicaCrash>)> onChange;
    // Events of the links. Thread-safe.
    void peerUp(const Hello&);
    void receive(PeerId, const CrashReport&);

private:
    void handle(PeerId, const CrashReport&);
    void check();

    Strand m_strand;
    PeerHub& m_hub;
    EventLog& m_log;
    const ReplicaRegistry& m_registry;
    boost::asio::steady_timer m_timer;
    CrashExchange m_exchange;
};

} // namespace wrenhinge
