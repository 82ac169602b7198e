/** \file
 * Decides which peer to query for its replicas when the digest of its list differs from the digest here.
 *
 * Each heartbeat of a peer contains the digest of its list. The digests are compared when the heartbeat arrives: messages over a link keep
 * their order, so the changes that the peer knew by then have arrived too. Compared later, the two would differ after each change.
 *
 * For a moment they also differ when a change arrives here before it arrives at the peer. So a peer that has had the same list before is
 * queried only after two heartbeats that differ. One peer is queried at a time: after a start all of them differ, and the first list makes
 * most of them agree.
 */
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>
#include <map>
#include <optional>

namespace wrenhinge {

class RegistryFollower {
public:
    /// A list of 10,000 replicas is a megabyte and takes a second over 10 Mbit/s, but the response begins at once. If none has arrived
    /// within this time it is considered lost, and another peer is queried.
    static constexpr Duration responseTimeout = 400ms;
    /// A peer whose digest still differs after it sent its list is queried again after this time. Full lists were sent once a second before
    /// there were digests.
    static constexpr Duration retryInterval = 1s;

    /// \param digest of the peer's list; zero if it sends none.
    /// \param known how many replicas the list has.
    /// \param digestHere of the list here.
    void digestReceived(PeerId peer, std::uint64_t digest, std::uint32_t known, std::uint64_t digestHere);
    /// The peer's list has arrived.
    void listReceived(PeerId peer);
    void disconnected(PeerId peer);
    /// The peer to query now, if any.
    /// \param digest of the list here.
    std::optional<PeerId> nextPeerToQuery(std::uint64_t digest, Instant now);
    /// When the pending response times out and another peer may be queried.
    [[nodiscard]] Instant nextWake() const;

private:
    static constexpr std::uint32_t heartbeatsUntilQueried = 2;

    struct Peer {
        std::uint64_t digest = 0;
        std::uint32_t differing = 0; ///< The last heartbeats whose digest differed from the one here when they arrived.
        bool hasAgreed = false; ///< At some time the digests were equal.
        std::optional<Instant> queriedAt;
    };
    static void agree(Peer&);

    std::map<PeerId, Peer> m_peers;
    std::optional<PeerId> m_pendingPeer; ///< The peer whose response is pending.
    Instant m_queriedAt;
};

} // namespace wrenhinge
