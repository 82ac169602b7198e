#include "process/ReplicaLimitRelay.h"

#include "base/SystemClock.h"
#include "request/fleet/AccountQuotas.h"

namespace wrenhinge {

ReplicaLimitRelay::ReplicaLimitRelay(Strand strand, PeerHub& hub, const ReplicaRegistry& registry)
    : m_strand(std::move(strand))
    , m_hub(hub)
    , m_registry(registry)
    , m_timer(m_strand)
{
}

void ReplicaLimitRelay::peerUp(const Hello& peer)
{
    if (peer.role != Role::Sidecar)
        boost::asio::post(m_strand, [this, peer] { connect(peer); });
}

void ReplicaLimitRelay::connect(const Hello& peer)
{
    if (peer.role == Role::Gateway) {
        m_gateways[peer.id] = peer.name;
        m_aggregator.connected(peer.id, peer.name);
    }
    if (auto all = m_table.all(); !all.empty())
        m_hub.send(peer.id, ReplicaRateLimits { std::move(all) });
}

void ReplicaLimitRelay::peerDown(PeerId peer)
{
    boost::asio::post(m_strand, [this, peer] {
        m_gateways.erase(peer);
        m_aggregator.disconnected(peer, currentInstant());
    });
}

void ReplicaLimitRelay::receive(PeerId peer, ReplicaRateLimits limits)
{
    boost::asio::post(m_strand, [this, peer, limits = std::move(limits)] { relay(peer, limits); });
}

void ReplicaLimitRelay::receive(PeerId peer, ReplicaUsageReport usage)
{
    boost::asio::post(m_strand, [this, peer, usage = std::move(usage)] {
        if (m_isCounting)
            m_aggregator.take(peer, usage.report, currentInstant());
    });
}

void ReplicaLimitRelay::relay(PeerId from, const ReplicaRateLimits& limits)
{
    auto news = m_table.take(limits.limits, currentInstant());
    if (news.empty())
        return;
    if (!m_isCounting && m_table.hasLimits())
        startCounting();
    for (const auto& peer : m_hub.peers()) {
        if (peer.id != from && peer.role != Role::Sidecar)
            m_hub.send(peer.id, ReplicaRateLimits { news });
    }
}

/// Gateways report only while a limit is in force. An aggregator of an earlier time would take those that were silent since for
/// unreachable, and reserve shares of the limit for them.
void ReplicaLimitRelay::startCounting()
{
    m_isCounting = true;
    m_aggregator = QuotaAggregator();
    for (const auto& [id, name] : m_gateways)
        m_aggregator.connected(id, name);
    broadcast();
}

void ReplicaLimitRelay::broadcast()
{
    dropEnded();
    m_isCounting = m_table.hasLimits();
    if (!m_isCounting)
        return;
    for (const auto& [peer, totals] : m_aggregator.totalsToSend(currentInstant()))
        m_hub.send(peer, ReplicaUsageTotals { totals });
    m_timer.expires_after(quota::broadcastInterval);
    m_timer.async_wait([this](ErrorCode ec) {
        if (!ec)
            broadcast();
    });
}

void ReplicaLimitRelay::dropEnded()
{
    for (const auto& run : m_table.dropEnded(m_registry, currentInstant()))
        m_aggregator.forget(accountId(toString(run)));
}

} // namespace wrenhinge
