#include "process/ReplicaLimitRelay.h"

#include "base/SystemClock.h"
#include "request/fleet/PermitTerms.h"

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
    if (auto all = m_table.all(); !all.empty())
        m_hub.send(peer.id, ReplicaRateLimits { std::move(all) });
}

void ReplicaLimitRelay::peerDown(PeerId peer)
{
    boost::asio::post(m_strand, [this, peer] { m_permits.disconnected(peer); });
}

void ReplicaLimitRelay::receive(PeerId peer, ReplicaRateLimits limits)
{
    boost::asio::post(m_strand, [this, peer, limits = std::move(limits)] { relay(peer, limits); });
}

void ReplicaLimitRelay::receive(PeerId peer, ReplicaUsageReport usage)
{
    boost::asio::post(m_strand, [this, peer, usage = std::move(usage)] { m_permits.take(peer, usage.permits, currentInstant()); });
}

void ReplicaLimitRelay::relay(PeerId from, const ReplicaRateLimits& limits)
{
    auto news = m_table.take(limits.limits, currentInstant());
    if (news.empty())
        return;
    applyLimits();
    m_hub.broadcast(
        ReplicaRateLimits { std::move(news) }, [from](const Hello& peer) { return peer.id != from && peer.role != Role::Sidecar; });
}

void ReplicaLimitRelay::applyLimits()
{
    m_permits.setLimits(m_table.limitsById(), currentInstant());
    if (!m_isIssuing && m_table.hasLimits())
        issuePermits();
}

void ReplicaLimitRelay::issuePermits()
{
    if (!m_table.dropEnded(m_registry, currentInstant()).empty())
        m_permits.setLimits(m_table.limitsById(), currentInstant());
    m_isIssuing = m_table.hasLimits();
    if (!m_isIssuing)
        return;
    for (auto& [peer, grant] : m_permits.grants(currentInstant()))
        m_hub.send(peer, ReplicaUsageTotals { {}, std::move(grant) });
    m_timer.expires_after(permits::grantInterval);
    m_timer.async_wait([this](ErrorCode ec) {
        if (!ec)
            issuePermits();
    });
}

} // namespace wrenhinge
