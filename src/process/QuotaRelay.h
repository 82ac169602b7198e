/** \file
 * Runs a controller's QuotaAggregator: passes it the gateways' reports and sends its totals.
 *
 * Runs on the strand passed to it.
 */
#pragma once

#include "connection/PeerHub.h"
#include "request/fleet/QuotaAggregator.h"

namespace wrenhinge {

class QuotaRelay {
public:
    QuotaRelay(Strand, PeerHub&);

    void start();
    // Events of the links. Thread-safe.
    void peerUp(const Hello&);
    void peerDown(PeerId);
    void receive(PeerId, QuotaReport);

private:
    void broadcast();

    Strand m_strand;
    PeerHub& m_hub;
    boost::asio::steady_timer m_timer;
    QuotaAggregator m_aggregator;
};

} // namespace wrenhinge
