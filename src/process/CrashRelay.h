/** \file
 * Carries a controller's CrashExchange out: between its links and the replicas' announcements.
 *
 * Runs on the strand that it is given, which is the registrar's.
 */
#pragma once

#include "connection/PeerHub.h"
#include "process/EventLog.h"
#include "request/fleet/CrashExchange.h"

#include <functional>

namespace wrenhinge {

class CrashRelay {
public:
    /// What the announcements have refuted is dropped this often.
    static constexpr Duration checkInterval = 1s;

    /// \param registry of the replicas that announce themselves; used on the strand alone.
    CrashRelay(Strand, PeerHub&, EventLog&, const ReplicaRegistry& registry);

    /// \param remembered what was known before this process started.
    void start(std::vector<ReplicaCrash> restored);
    /// Called with all that gateways should know whenever that has changed; set before `start`.
    std::function<void(std::vector<ReplicaCrash>)> onChange;
    // From links. Any thread.
    void peerUp(const Hello&);
    void receive(PeerId, const CrashReport&);

private:
    void take(PeerId, const CrashReport&);
    void tell(PeerId, const CrashReport&);
    void check();

    Strand m_strand;
    PeerHub& m_hub;
    EventLog& m_log;
    const ReplicaRegistry& m_registry;
    boost::asio::steady_timer m_timer;
    CrashExchange m_exchange;
};

} // namespace wrenhinge
