#include "process/CrashRelay.h"

#include "base/SystemClock.h"

#include <set>

namespace wrenhinge {

using Standing = CrashTracker::Standing;

CrashRelay::CrashRelay(Strand strand, PeerHub& hub, EventLog& log, const ReplicaRegistry& registry)
    : m_strand(std::move(strand))
    , m_hub(hub)
    , m_log(log)
    , m_registry(registry)
    , m_timer(m_strand)
{
}

void CrashRelay::start()
{
    boost::asio::post(m_strand, [this] { check(); });
}

void CrashRelay::check()
{
    m_tracker.dropRefuted(m_registry, currentInstant());
    m_timer.expires_after(checkEvery);
    m_timer.async_wait([this](ErrorCode ec) {
        if (!ec)
            check();
    });
}

void CrashRelay::peerUp(const Hello& peer)
{
    if (peer.role == Role::Sidecar)
        return;
    auto atLeast = peer.role == Role::Controller ? Standing::Unknown : Standing::Watched;
    boost::asio::post(m_strand, [this, id = peer.id, atLeast] {
        if (auto report = m_tracker.describeAll(atLeast, currentInstant()); !report.isEmpty())
            m_hub.send(id, report);
    });
}

void CrashRelay::receive(PeerId peer, const CrashReport& report)
{
    boost::asio::post(m_strand, [this, peer, report] { take(peer, report); });
}

void CrashRelay::take(PeerId from, const CrashReport& report)
{
    auto now = currentInstant();
    auto news = m_tracker.take(report, now);
    if (news.isEmpty())
        return;
    auto toGateways = forGateways(news, now);
    for (const auto& peer : m_hub.peers()) {
        if (peer.id == from || peer.role == Role::Sidecar)
            continue;
        const auto& told = peer.role == Role::Controller ? news : toGateways;
        if (!told.isEmpty())
            m_hub.send(peer.id, told);
    }
}

/// All ends of those requests that gateways should know; whoever knows some of them already passes these over.
CrashReport CrashRelay::forGateways(const CrashReport& news, Instant now) const
{
    std::set<RequestFingerprint> requests;
    for (const auto& crash : news.crashes)
        requests.insert(crash.request);
    CrashReport report;
    for (const auto& fingerprint : requests) {
        auto standing = m_tracker.standing(fingerprint, now);
        if (standing >= Standing::Watched)
            m_tracker.describe(fingerprint, report, now);
        if (standing == Standing::Refused)
            m_log.write({ EventCode::RequestEndsReplicas, {}, m_tracker.text(fingerprint) });
    }
    report.served = news.served;
    return report;
}

} // namespace wrenhinge
