/** \file
 * The part of ForwardLogic that is about client accounts: whose request it is, and whether the account may still ask for it.
 */
#include "request/fleet/RequestFingerprint.h"
#include "request/forward/ForwardLogic.h"

#include <cmath>

namespace wrenhinge {

using namespace forward;

/// Finds the account of the key that the caller shows, by the document in force when the request begins. \returns false if the request
/// was refused.
bool ForwardLogic::identify(Flow& flow, Instant now)
{
    auto& ask = flow.ask;
    if (!flow.table->hasAccounts()) {
        // Nobody says whose keys these are, so each stands for itself.
        ask.fingerprint = fingerprintForAccount(ask.fingerprint, ask.key ? ask.key->hex() : "");
        return true;
    }
    flow.account = ask.key ? flow.table->account(*ask.key) : nullptr;
    if (!flow.account && !flow.route->isPublic) {
        // A gateway that hears no controller may only not have heard of the key yet, and 401 is final for a caller.
        bool mayHaveMissedIt = !m_quotas.hasContact(now);
        ++m_refusedKeys;
        auto shown = ask.key ? "the key " + ask.key->shortHex() + " is no account's" : std::string("no key is shown");
        auto code = mayHaveMissedIt && ask.key ? ResultCode::ConfigUnavailable : ResultCode::UnknownAccount;
        refuse(flow, code, shown, now);
        return false;
    }
    ask.fingerprint = fingerprintForAccount(ask.fingerprint, flow.account ? flow.account->name : "");
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
        abandonCall(flow, now);
        refuse(flow, ResultCode::UnknownAccount, "the key " + flow.ask.key->shortHex() + " was taken away", now);
    }
}

/// The account's rank goes before the route's.
std::uint32_t ForwardLogic::rankOf(const Flow& flow) { return flow.account && flow.account->rank ? *flow.account->rank : flow.route->rank; }

/// What a replica is told of whose request it is; nothing where the document has no accounts.
std::optional<std::string> ForwardLogic::accountOf(const Flow& flow)
{
    if (!flow.table->hasAccounts())
        return std::nullopt;
    return flow.account ? flow.account->name : "";
}

// --- Quotas -----------------------------------------------------------------------------------------------------

void ForwardLogic::takeQuotaRules(Instant now)
{
    std::map<std::string, QuotaRule> rules;
    if (const auto& accounts = m_table->document().accounts) {
        for (const auto& account : *accounts)
            rules.emplace(account.name, account.quota);
    }
    m_quotas.setRules(rules, now);
}

/// What the request counts as, in the unit of its account's quota: a request, or the tokens that its caller states.
double ForwardLogic::amountOf(const Flow& flow)
{
    const auto& quota = flow.account->quota;
    if (quota.unit == QuotaRule::Unit::Requests)
        return 1;
    return flow.ask.hasTokenCounts ? flow.ask.promptTokens + flow.ask.outputTokens : quota.defaultTokens;
}

/// Refuses a request beyond its account's quota, before a replica or what others wait for is touched. \returns false if it did.
bool ForwardLogic::charge(Flow& flow, Instant now)
{
    if (!flow.account)
        return true;
    auto amount = amountOf(flow);
    auto verdict = m_quotas.admit(flow.account->name, amount, now);
    if (verdict.isAdmitted) {
        flow.charged = amount;
        return true;
    }
    auto& quota = m_quotas.accounts().at(flow.account->name);
    auto lastTotalAt = quota.lastTotalAt();
    auto heard = lastTotalAt ? "told " + std::to_string((now - *lastTotalAt) / 1ms) + " ms ago" : std::string("never told");
    refuseUntil(flow, ResultCode::AccountRateLimit,
        "account " + flow.account->name + " asks for " + std::to_string(std::llround(amount)) + " and has "
            + std::to_string(std::llround(quota.remaining(now))) + " left of " + std::to_string(std::llround(quota.rule().perSecond))
            + " a second, " + heard,
        verdict.retryAfter, now);
    return false;
}

/// What has surely not run is no use of the quota: a caller that was refused for another reason loses nothing of it.
void ForwardLogic::giveBackCharge(Flow& flow, ResultCode code, Instant now)
{
    auto status = httpStatusOf(code);
    bool hasNotRun = status == 503 || status == 429 || status == 401 || !flow.sends;
    if (auto charged = std::exchange(flow.charged, 0); charged > 0 && hasNotRun)
        m_quotas.refund(flow.account->name, charged, now);
}

void ForwardLogic::on(const QuotaTotalsReceived& event, Instant now) { m_quotas.take(event.controller, event.totals, now); }

void ForwardLogic::reportUse(Instant now)
{
    if (auto report = m_quotas.report(now))
        m_effects.push_back(ReportQuotaUsage { std::move(*report) });
}

} // namespace wrenhinge
