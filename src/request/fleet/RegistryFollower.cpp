#include "request/fleet/RegistryFollower.h"

namespace wrenhinge {

void RegistryFollower::digestReceived(PeerId id, std::uint64_t digest, std::uint32_t known)
{
    auto& peer = m_peers[id];
    peer.digest = digest;
    peer.known = known;
}

void RegistryFollower::listReceived(PeerId id)
{
    if (m_pendingPeer == id)
        m_pendingPeer.reset();
}

void RegistryFollower::disconnected(PeerId id)
{
    m_peers.erase(id);
    listReceived(id);
}

std::optional<PeerId> RegistryFollower::nextPeerToQuery(std::uint64_t digest, Instant now)
{
    if (m_pendingPeer && now - m_queriedAt < responseTimeout)
        return std::nullopt;
    m_pendingPeer.reset();
    for (auto& [id, peer] : m_peers) {
        // One that has just started knows nothing, and says so.
        bool hasOtherList = peer.digest && peer.digest != digest && peer.known;
        if (!hasOtherList || (peer.queriedAt && now - *peer.queriedAt < retryInterval))
            continue;
        peer.queriedAt = m_queriedAt = now;
        m_pendingPeer = id;
        return id;
    }
    return std::nullopt;
}

Instant RegistryFollower::nextWake() const { return m_pendingPeer ? m_queriedAt + responseTimeout : Instant::max(); }

} // namespace wrenhinge
