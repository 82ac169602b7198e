#include "request/fleet/RegistryFollower.h"

namespace wrenhinge {

void RegistryFollower::digestReceived(PeerId id, std::uint64_t digest, std::uint32_t known, std::uint64_t digestHere)
{
    auto& peer = m_peers[id];
    peer.digest = digest;
    // A peer that has just started has an empty list.
    if (!digest || !known)
        peer.differing = 0;
    else if (digest != digestHere)
        ++peer.differing;
    else
        agree(peer);
}

void RegistryFollower::agree(Peer& peer)
{
    peer.differing = 0;
    peer.hasAgreed = true;
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
        if (peer.differing && peer.digest == digest)
            agree(peer);
        bool hasOtherList = peer.differing >= (peer.hasAgreed ? heartbeatsUntilQueried : 1);
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
