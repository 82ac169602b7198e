#include "version/ControllerClient.h"

#include <algorithm>

namespace wrenhinge {

namespace {

    constexpr Duration noLeaderRetryDelay = 50ms; ///< An election takes some hundred milliseconds; asking faster only adds load.

} // namespace

void ControllerClient::onControllerUp(PeerId controller) { m_controllers.push_back(controller); }

void ControllerClient::onControllerDown(PeerId controller)
{
    std::erase(m_controllers, controller);
    if (m_leader == controller)
        m_leader.reset();
}

ControllerClient::Sends ControllerClient::propose(Command command, RequestId owner, Instant deadline, Instant now)
{
    Sends sends;
    auto proposal = ++m_lastProposal;
    auto& pending = m_pending.emplace(proposal, Pending { std::move(command), owner, deadline, now }).first->second;
    sendTo(target(), proposal, pending, sends, now);
    return sends;
}

std::optional<ControllerClient::Decided> ControllerClient::onReply(const ProposeReply& reply, Sends& sends, Instant now)
{
    auto it = m_pending.find(reply.proposal);
    if (it == m_pending.end())
        return std::nullopt;
    if (reply.code == ResultCode::ConfigUnavailable || reply.code == ResultCode::LedgerUnavailable) {
        bool knowsLeader = std::find(m_controllers.begin(), m_controllers.end(), reply.leader) != m_controllers.end();
        m_leader = knowsLeader ? std::optional(reply.leader) : std::nullopt;
        if (knowsLeader)
            sendTo(m_leader, it->first, it->second, sends, now);
        else
            it->second.resendAt = std::min(it->second.resendAt, now + noLeaderRetryDelay);
        return std::nullopt;
    }
    Decided decided { it->second.owner, std::move(it->second.command), reply };
    m_pending.erase(it);
    return decided;
}

std::vector<ControllerClient::Decided> ControllerClient::tick(Sends& sends, Instant now)
{
    std::vector<Decided> givenUp;
    for (auto it = m_pending.begin(); it != m_pending.end();) {
        auto& [proposal, pending] = *it;
        if (now >= pending.deadline) {
            givenUp.push_back({ pending.owner, std::move(pending.command), std::nullopt });
            it = m_pending.erase(it);
            continue;
        }
        if (now >= pending.resendAt) {
            // No answer: the one we asked may be cut off or no leader any more, so ask the next.
            m_leader.reset();
            sendTo(target(), proposal, pending, sends, now);
        }
        ++it;
    }
    return givenUp;
}

std::optional<PeerId> ControllerClient::target()
{
    if (m_leader)
        return m_leader;
    if (m_controllers.empty())
        return std::nullopt;
    return m_controllers[m_nextController++ % m_controllers.size()];
}

void ControllerClient::sendTo(std::optional<PeerId> to, std::uint64_t proposal, Pending& pending, Sends& sends, Instant now)
{
    pending.resendAt = now + resendAfter;
    if (to)
        sends.emplace_back(*to, Propose { proposal, pending.command });
}

} // namespace wrenhinge
