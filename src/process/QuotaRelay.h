/** \file
 * Carries a controller's QuotaAggregator out, between its links.
 *
 * Runs on the strand that it is given.
 */
#pragma once

#include "connection/PeerHub.h"
#include "request/fleet/QuotaAggregator.h"

namespace wrenhinge {

class QuotaRelay {
public:
    QuotaRelay(Strand, PeerHub&);

    void start();
    // From links. Any thread.
    void peerUp(const Hello&);
    void peerDown(PeerId);
    void receive(PeerId, QuotaReport);

private:
    void tell();

    Strand m_strand;
    PeerHub& m_hub;
    boost::asio::steady_timer m_timer;
    QuotaAggregator m_aggregator;
};

} // namespace wrenhinge
