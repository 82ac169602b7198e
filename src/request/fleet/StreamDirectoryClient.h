/** \file
 * A gateway's side of the stream directories: records the streams that it begins here and at other processes, its holders, and keeps track
 * of which holders reply.
 *
 * Holders are controllers, and sidecars of engines if too few controllers are connected. Each stream is recorded at a few of them, chosen
 * by a hash of the stream, in different availability zones if possible. A lookup asks all holders, since another gateway may have been
 * connected to others.
 */
#pragma once

#include "request/fleet/StreamDirectory.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace wrenhinge {

class StreamDirectoryClient {
public:
    /// Holders of each record, besides the gateway itself.
    static constexpr std::size_t copies = 3;
    /// A stream's first event waits this long for a holder's reply: several round trips within a region.
    static constexpr Duration recordTimeout = 100ms;
    /// A caller waits this long for the origin of its stream.
    static constexpr Duration lookupTimeout = 250ms;
    /// A holder that did not reply in time is not waited for, for this long or until it replies.
    static constexpr Duration unresponsivePeriod = 2s;
    /// For this long after its first contact, a gateway may not be connected to all holders yet.
    static constexpr Duration settlingTime = 2s;

    void connected(PeerId, Role, std::string zone, Instant now);
    void disconnected(PeerId);

    /// Adds the record to the own directory. \returns the holders to send it to.
    std::vector<PeerId> record(const StreamRecord&, Instant now);
    /// Whether one of these holders is likely to reply, so that its reply is worth waiting for.
    [[nodiscard]] bool isAnyResponsive(const std::vector<PeerId>& holders, Instant now) const;
    void replied(PeerId);
    /// No holder has replied to the record in time. For a while, they are not waited for.
    void notReplied(StreamId, Instant now);

    [[nodiscard]] const StreamDirectory& own() const { return m_own; }
    [[nodiscard]] std::vector<PeerId> holders() const;
    /// Whether those connected now are probably all holders that there are.
    [[nodiscard]] bool isSettled(Instant now) const { return m_firstContactAt && now - *m_firstContactAt >= settlingTime; }

private:
    struct Holder {
        Role role = Role::Controller;
        std::string zone;
        Instant unresponsiveUntil {};
    };
    [[nodiscard]] std::vector<PeerId> choose(StreamId, Instant now) const;

    StreamDirectory m_own;
    std::map<PeerId, Holder> m_holders;
    std::optional<Instant> m_firstContactAt;
};

} // namespace wrenhinge
