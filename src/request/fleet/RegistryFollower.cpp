#include "request/fleet/RegistryFollower.h"

namespace wrenhinge {

void RegistryFollower::told(PeerId id, std::uint64_t digest, std::uint32_t known)
{
    auto& peer = m_peers[id];
    peer.digest = digest;
    peer.known = known;
}

void RegistryFollower::listed(PeerId id)
{
    if (m_asked == id)
        m_asked.reset();
}

void RegistryFollower::gone(PeerId id)
{
    m_peers.erase(id);
    listed(id);
}

std::optional<PeerId> RegistryFollower::nextToAsk(std::uint64_t digest, Instant now)
{
    if (m_asked && now - m_askedAt < answerLimit)
        return std::nullopt;
    m_asked.reset();
    for (auto& [id, peer] : m_peers) {
        // One that has just started knows nothing, and says so.
        bool hasNews = peer.digest && peer.digest != digest && peer.known;
        if (!hasNews || (peer.askedAt && now - *peer.askedAt < askAgainAfter))
            continue;
        peer.askedAt = m_askedAt = now;
        m_asked = id;
        return id;
    }
    return std::nullopt;
}

Instant RegistryFollower::nextWake() const { return m_asked ? m_askedAt + answerLimit : Instant::max(); }

} // namespace wrenhinge
