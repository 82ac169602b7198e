/** \file
 * Proposes commands to the controllers, and retries them until the current leader commits them.
 *
 * A proposal may be lost, reach a follower, or be committed while its reply is lost. Every command is idempotent by its own
 * ids, so the client resends it, to the leader if it is known, otherwise to each controller in turn, until a reply decides it
 * or its deadline has passed. A proposal that timed out may still be committed later: its owner must not conclude from a
 * timeout that it was not committed.
 */
#pragma once

#include "message/Messages.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace wrenhinge {

class ControllerClient {
public:
    using Sends = std::vector<std::pair<PeerId, Message>>;

    /// A completed proposal; without a reply it has timed out.
    struct Decided {
        RequestId owner;
        Command command;
        std::optional<ProposeReply> reply;
    };

    static constexpr Duration resendAfter = 300ms;

    void onControllerUp(PeerId);
    void onControllerDown(PeerId);
    /// Starts a proposal. `owner` is returned with the result.
    Sends propose(Command, RequestId owner, Instant deadline, Instant now);
    /// Handles a reply. \returns the proposal if it is decided; otherwise `sends` may contain a resend to the leader.
    std::optional<Decided> onReply(const ProposeReply&, Sends& sends, Instant now);
    /// Resends proposals without a timely reply, and returns those past their deadline.
    std::vector<Decided> tick(Sends& sends, Instant now);
    [[nodiscard]] const std::vector<PeerId>& connectedControllers() const { return m_controllers; }
    [[nodiscard]] bool empty() const { return m_pending.empty(); }

private:
    struct Pending {
        Command command;
        RequestId owner;
        Instant deadline;
        Instant resendAt;
    };
    std::optional<PeerId> target();
    void sendTo(std::optional<PeerId>, std::uint64_t proposal, Pending&, Sends&, Instant now);

    std::vector<PeerId> m_controllers;
    std::size_t m_nextController = 0;
    std::optional<PeerId> m_leader;
    std::map<std::uint64_t, Pending> m_pending;
    std::uint64_t m_lastProposal = 0;
};

} // namespace wrenhinge
