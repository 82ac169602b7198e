/** \file
 * Gets commands committed by the controllers, whoever leads them at the moment.
 *
 * A proposal may be lost, reach a follower, or be committed with its reply lost. Every command is idempotent by its own
 * ids, so the client simply repeats it, at the leader if one is known, else at each controller in turn, until a reply
 * decides it or its time is up. A proposal that timed out may still be committed later: its owner must not conclude from
 * a timeout that it was not.
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

    /// A decided proposal; without a reply its time ran out.
    struct Decided {
        RequestId owner;
        Command command;
        std::optional<ProposeReply> reply;
    };

    static constexpr Duration resendAfter = 300ms;

    void onControllerUp(PeerId);
    void onControllerDown(PeerId);
    /// Starts a proposal. `owner` comes back with the decision.
    Sends propose(Command, RequestId owner, Instant deadline, Instant now);
    /// Takes a reply; a decided proposal is returned, otherwise `sends` may hold a repeat to the leader.
    std::optional<Decided> onReply(const ProposeReply&, Sends& sends, Instant now);
    /// Repeats what has waited too long and gives up what is past its deadline.
    std::vector<Decided> tick(Sends& sends, Instant now);
    [[nodiscard]] const std::vector<PeerId>& linked() const { return m_controllers; }
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
