/** \file
 * A controller's side of the requests that end replicas: takes what gateways report, and sees to it that every gateway hears of it.
 *
 * What is news goes to all other controllers, as a gateway may reach only one side of a cut. Gateways are told of a request only once one
 * more end would have it refused, and then of each further end: an engine that ends leaves some tens of requests with one end each, and to
 * tell these to a hundred gateways would cost thousands of messages for nothing. A process that links hears all at once, so a gateway that
 * has started again knows what it knew before, and so does a controller.
 *
 * Runs on the strand that it is given, which is the registrar's.
 */
#pragma once

#include "connection/PeerHub.h"
#include "process/EventLog.h"
#include "request/CrashTracker.h"

namespace wrenhinge {

class CrashRelay {
public:
    /// Ends of runs that were heard of since are dropped this often.
    static constexpr Duration checkEvery = 1s;

    /// \param registry of the replicas that announce themselves; used on the strand alone.
    CrashRelay(Strand, PeerHub&, EventLog&, const ReplicaRegistry& registry);

    void start();
    // From links. Any thread.
    void peerUp(const Hello&);
    void receive(PeerId, const CrashReport&);

private:
    void take(PeerId, const CrashReport&);
    [[nodiscard]] CrashReport forGateways(const CrashReport& news, Instant now) const;
    void check();

    Strand m_strand;
    PeerHub& m_hub;
    EventLog& m_log;
    const ReplicaRegistry& m_registry;
    boost::asio::steady_timer m_timer;
    CrashTracker m_tracker;
};

} // namespace wrenhinge
