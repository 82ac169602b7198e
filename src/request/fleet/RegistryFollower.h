/** \file
 * Whom to ask for the list of all replicas, when what is known here differs from what another process knows.
 *
 * A link that comes up is told a digest of the list, and asks for the list only if its own differs. What goes wrong otherwise: each
 * controller told all replicas one by one to a link that came up. With 10 controllers and 185 replicas a gateway that starts hears 1,850
 * messages, and is late in the very second after a loss of all instances. One notices by first answers that come later than the processes
 * are up.
 *
 * A process asks one of those that differ at a time, as after a start all do, and the first answer makes most of them agree.
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
    /// A list of 10,000 replicas is a megabyte and takes a second over 10 Mbit/s, but its answer begins at once; one that has not come
    /// within this is taken for lost, and another process is asked.
    static constexpr Duration responseTimeout = 400ms;
    /// A process whose list still differs after it was told is asked again after this: as often as all was told before.
    static constexpr Duration retryInterval = 1s;

    /// \param digest of all that the peer knows; zero: it does not say. \param known how many replicas that are.
    void digestReceived(PeerId peer, std::uint64_t digest, std::uint32_t known);
    /// The peer has sent its list.
    void listReceived(PeerId peer);
    void disconnected(PeerId peer);
    /// Whom to ask now, if anybody. \param digest of what is known here.
    std::optional<PeerId> nextPeerToQuery(std::uint64_t digest, Instant now);
    /// When an answer is overdue and another peer may be asked.
    [[nodiscard]] Instant nextWake() const;

private:
    struct Peer {
        std::uint64_t digest = 0;
        std::uint32_t known = 0;
        std::optional<Instant> queriedAt;
    };

    std::map<PeerId, Peer> m_peers;
    std::optional<PeerId> m_pendingPeer; ///< Whose answer is waited for.
    Instant m_queriedAt;
};

} // namespace wrenhinge
