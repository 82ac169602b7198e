/** \file
 * Relays at a controller which replicas state a request rate limit, and how many requests the gateways send them.
 *
 * Changes go to all other gateways and controllers, since a gateway may reach only one side of a network partition. While any limit is in
 * force, the gateways report their requests, and QuotaAggregator adds them up.
 *
 * Runs on the strand passed to it.
 */
#pragma once

#include "connection/PeerHub.h"
#include "request/fleet/QuotaAggregator.h"
#include "request/fleet/ReplicaLimitTable.h"

#include <map>
#include <string>

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
    void startCounting();
    void broadcast();
    void dropEnded();

    Strand m_strand;
    PeerHub& m_hub;
    const ReplicaRegistry& m_registry;
    boost::asio::steady_timer m_timer;
    ReplicaLimitTable m_table;
    QuotaAggregator m_aggregator;
    std::map<PeerId, std::string> m_gateways; ///< Names of the connected gateways.
    bool m_isCounting = false; ///< Whether a limit is in force, so that gateways report.
};

} // namespace wrenhinge
