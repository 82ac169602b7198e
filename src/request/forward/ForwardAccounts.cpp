/** \file
 * The part of ForwardLogic that is about client accounts: whose request it is.
 */
#include "request/fleet/RequestFingerprint.h"
#include "request/forward/ForwardLogic.h"

namespace wrenhinge {

using namespace forward;

/// Finds the account of the key that the caller shows, by the document in force when the request begins. \returns false if the request
/// was refused.
bool ForwardLogic::identify(Flow& flow, Instant now)
{
    auto& ask = flow.ask;
    if (!flow.table->hasAccounts()) {
        // Nobody says whose keys these are, so each stands for itself.
        ask.fingerprint = ofAccount(ask.fingerprint, ask.key ? ask.key->hex() : "");
        return true;
    }
    flow.account = ask.key ? flow.table->account(*ask.key) : nullptr;
    if (!flow.account && !flow.route->isPublic) {
        // A gateway that hears no controller may only not have heard of the key yet, and 401 is final for a caller.
        bool mayHaveMissedIt = !m_controllerHeardAt || now - *m_controllerHeardAt > contactLasts;
        auto shown = ask.key ? "the key " + ask.key->shortHex() + " is no account's" : std::string("no key is shown");
        auto code = mayHaveMissedIt && ask.key ? ResultCode::ConfigUnavailable : ResultCode::UnknownAccount;
        refuse(flow, code, shown, now);
        return false;
    }
    ask.fingerprint = ofAccount(ask.fingerprint, flow.account ? flow.account->name : "");
    return true;
}

/// Requests that wait for an engine while their caller's key is taken away would run for a caller that has no account any more.
void ForwardLogic::refuseRevoked(Instant now)
{
    if (!m_table || !m_table->hasAccounts())
        return;
    std::set<RequestId> ids;
    for (const auto& [id, flow] : m_flows) {
        bool isRevoked = flow.account && !m_table->account(*flow.ask.key);
        if (isRevoked && !flow.sends)
            ids.insert(id);
    }
    for (const auto& id : ids) {
        auto& flow = m_flows.at(id);
        if (flow.isCalling) {
            m_effects.push_back(CancelCall { flow.id, flow.attempt });
            endCall(flow, CallOutcome::Abandoned, now);
        }
        refuse(flow, ResultCode::UnknownAccount, "the key " + flow.ask.key->shortHex() + " was taken away", now);
    }
}

/// The account's rank goes before the route's.
std::uint32_t ForwardLogic::rankOf(const Flow& flow)
{
    return flow.account && flow.account->rank ? *flow.account->rank : flow.route->rank;
}

/// What a replica is told of whose request it is; nothing where the document has no accounts.
std::optional<std::string> ForwardLogic::accountOf(const Flow& flow)
{
    if (!flow.table->hasAccounts())
        return std::nullopt;
    return flow.account ? flow.account->name : "";
}

} // namespace wrenhinge
