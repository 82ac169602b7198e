/** \file
 * Decides which peer to query for the list of all replicas when the digest of its list differs from the digest here.
 *
 * A peer that connects sends a digest of its list, and the list is requested only if the digests differ. Earlier, each controller sent all
 * replicas one by one to each peer that connected. With 10 controllers and 185 replicas, a gateway that started received 1,850 messages and
 * was late to serve in the second after a loss of all instances: processes were up, but the first responses came later.
 *
 * One peer is queried at a time. After a start all of them differ, and the first list makes most of them agree.
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
    void digestReceived(PeerId peer, std::uint64_t digest, std::uint32_t known);
    /// The peer's list has arrived.
    void listReceived(PeerId peer);
    void disconnected(PeerId peer);
    /// The peer to query now, if any.
    /// \param digest of the list here.
    std::optional<PeerId> nextPeerToQuery(std::uint64_t digest, Instant now);
    /// When the pending response times out and another peer may be queried.
    [[nodiscard]] Instant nextWake() const;

private:
    struct Peer {
        std::uint64_t digest = 0;
        std::uint32_t known = 0;
        std::optional<Instant> queriedAt;
    };

    std::map<PeerId, Peer> m_peers;
    std::optional<PeerId> m_pendingPeer; ///< The peer whose response is pending.
    Instant m_queriedAt;
};

} // namespace wrenhinge
