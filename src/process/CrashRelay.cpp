#include "process/CrashRelay.h"

#include "base/SystemClock.h"

namespace wrenhinge {

CrashRelay::CrashRelay(Strand strand, PeerHub& hub, EventLog& log, const ReplicaRegistry& registry)
    : m_strand(std::move(strand))
    , m_hub(hub)
    , m_log(log)
    , m_registry(registry)
    , m_timer(m_strand)
{
}

void CrashRelay::start(std::vector<ReplicaCrash> restored)
{
    boost::asio::post(m_strand, [this, restored = std::move(restored)] {
        m_exchange.take(CrashReport { restored, {} }, currentInstant());
        check();
    });
}

void CrashRelay::check()
{
    m_exchange.check(m_registry, currentInstant());
    m_timer.expires_after(checkInterval);
    m_timer.async_wait([this](ErrorCode ec) {
        if (!ec)
            check();
    });
}

void CrashRelay::peerUp(const Hello& peer)
{
    if (peer.role == Role::Sidecar)
        return;
    boost::asio::post(m_strand, [this, id = peer.id, role = peer.role] {
        if (auto known = m_exchange.snapshotFor(role, currentInstant()); !known.isEmpty())
            m_hub.send(id, known);
    });
}

void CrashRelay::receive(PeerId peer, const CrashReport& report)
{
    boost::asio::post(m_strand, [this, peer, report] { handle(peer, report); });
}

void CrashRelay::handle(PeerId from, const CrashReport& report)
{
    auto now = currentInstant();
    auto updates = m_exchange.take(report, now);
    if (onChange && !updates.gateways.isEmpty())
        onChange(m_exchange.snapshotFor(Role::Gateway, now).crashes);
    for (const auto& content : updates.convicted)
        m_log.write({ EventCode::RequestCrashesReplicas, {}, m_exchange.tracker().text(content) });
    auto sendToOthers = [this, from](Role role, const CrashReport& news) {
        if (!news.isEmpty())
            m_hub.broadcast(news, [from, role](const Hello& peer) { return peer.id != from && peer.role == role; });
    };
    sendToOthers(Role::Controller, updates.controllers);
    sendToOthers(Role::Gateway, updates.gateways);
}

} // namespace wrenhinge
