#include "process/QuotaRelay.h"

#include "base/SystemClock.h"

namespace wrenhinge {

QuotaRelay::QuotaRelay(Strand strand, PeerHub& hub)
    : m_strand(std::move(strand))
    , m_hub(hub)
    , m_timer(m_strand)
{
}

void QuotaRelay::start()
{
    boost::asio::post(m_strand, [this] { broadcast(); });
}

void QuotaRelay::peerUp(const Hello& peer)
{
    if (peer.role == Role::Gateway)
        boost::asio::post(m_strand, [this, id = peer.id, name = peer.name] { m_aggregator.connected(id, name); });
}

void QuotaRelay::peerDown(PeerId peer)
{
    boost::asio::post(m_strand, [this, peer] { m_aggregator.disconnected(peer, currentInstant()); });
}

void QuotaRelay::receive(PeerId peer, QuotaReport report)
{
    boost::asio::post(m_strand, [this, peer, report = std::move(report)] { m_aggregator.take(peer, report, currentInstant()); });
}

void QuotaRelay::broadcast()
{
    for (const auto& [peer, totals] : m_aggregator.totalsToSend(currentInstant()))
        m_hub.send(peer, totals);
    m_timer.expires_after(quota::broadcastInterval);
    m_timer.async_wait([this](ErrorCode ec) {
        if (!ec)
            broadcast();
    });
}

} // namespace wrenhinge
