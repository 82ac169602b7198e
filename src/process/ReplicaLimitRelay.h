/** \file
 * Relays at a controller which replicas state a request rate limit, and issues permits for requests to them (PermitPool).
 *
 * Changes go to all other gateways and controllers, since a gateway may reach only one side of a network partition.
 *
 * Runs on the strand passed to it.
 */
#pragma once

#include "connection/PeerHub.h"
#include "request/fleet/PermitPool.h"
#include "request/fleet/ReplicaLimitTable.h"

namespace wrenhinge {

class ReplicaLimitRelay {
public:
    /// \param registry of the replicas that announce themselves; accessed only on the strand.
    ReplicaLimitRelay(Strand, PeerHub&, const ReplicaRegistry& registry);

    // Events of the links. Thread-safe.
    void peerUp(const Hello&);
    void peerDown(PeerId);
    void receive(PeerId, ReplicaRateLimits);
    void receive(PeerId, ReplicaUsageReport);

private:
    void connect(const Hello&);
    void relay(PeerId from, const ReplicaRateLimits&);
    void applyLimits();
    void issuePermits();

    Strand m_strand;
    PeerHub& m_hub;
    const ReplicaRegistry& m_registry;
    boost::asio::steady_timer m_timer;
    ReplicaLimitTable m_table;
    PermitPool m_permits;
    bool m_isIssuing = false; ///< Whether a limit is in force, so that gateways request permits.
};

} // namespace wrenhinge
