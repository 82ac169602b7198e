/** \file
 * The part of ForwardLogic for client accounts: authentication and quotas.
 */
#include "request/fleet/ContentFingerprint.h"
#include "request/forward/ForwardLogic.h"

#include <cmath>

namespace wrenhinge {

using namespace forward;

/// Looks up the account of the caller's key in the document that is in effect when the request begins. \returns false if the request was
/// refused.
bool ForwardLogic::authenticate(Flow& flow, Instant now)
{
    auto& request = flow.request;
    if (!flow.table->hasAccounts()) {
        // Without accounts, each key counts as an account of its own.
        request.fingerprint = fingerprintForAccount(request.fingerprint, request.key ? request.key->hex() : "");
        return true;
    }
    flow.account = request.key ? flow.table->account(*request.key) : nullptr;
    if (auto error = accessRefusal(*flow.table, *flow.route, request, now)) {
        ++m_refusedKeys;
        refuse(flow, error->code, error->message, now);
        return false;
    }
    request.fingerprint = fingerprintForAccount(request.fingerprint, flow.account ? flow.account->name : "");
    return true;
}

/// Why the caller may not use the route; nothing: it may.
std::optional<Error> ForwardLogic::accessRefusal(
    const RouteTable& table, const Route& route, const RequestMetadata& request, Instant now) const
{
    if (!table.hasAccounts() || route.isPublic || (request.key && table.account(*request.key)))
        return std::nullopt;
    if (!request.key)
        return Error { ResultCode::UnknownAccount, "no key was presented" };
    // A gateway without contact to a controller may not know a new key yet, and callers don't retry after a 401.
    auto code = m_quotas.hasContact(now) ? ResultCode::UnknownAccount : ResultCode::ConfigUnavailable;
    return Error { code, "the key " + request.key->shortHex() + " belongs to no account" };
}

/// Refuses requests that have not been sent yet and whose key has been revoked, so that they don't run without an account.
void ForwardLogic::refuseRevokedKeys(Instant now)
{
    if (!m_table || !m_table->hasAccounts())
        return;
    std::set<RequestId> ids;
    for (const auto& [id, flow] : m_flows) {
        bool isRevoked = flow.account && !m_table->account(*flow.request.key);
        if (isRevoked && !flow.sends)
            ids.insert(id);
    }
    for (const auto& id : ids) {
        auto& flow = m_flows.at(id);
        abandonCall(flow, now);
        refuse(flow, ResultCode::UnknownAccount, "the key " + flow.request.key->shortHex() + " was revoked", now);
    }
}

/// The rank of the account, if it has one, overrides that of the route.
std::uint32_t ForwardLogic::rankOf(const Flow& flow) { return flow.account && flow.account->rank ? *flow.account->rank : flow.route->rank; }

/// The account name to send to the replica; nothing if the document has no accounts.
std::optional<std::string> ForwardLogic::accountOf(const Flow& flow)
{
    if (!flow.table->hasAccounts())
        return std::nullopt;
    return flow.account ? flow.account->name : "";
}

// --- Quotas -----------------------------------------------------------------------------------------------------

void ForwardLogic::applyQuotaRules(Instant now)
{
    std::map<std::string, QuotaRule> rules;
    if (const auto& accounts = m_table->document().accounts) {
        for (const auto& account : *accounts)
            rules.emplace(account.name, account.quota);
    }
    m_quotas.setRules(rules, now);
}

/// The request's cost in the unit of its account's quota: one request, or the tokens that its caller states.
double ForwardLogic::quotaCostOf(const Flow& flow)
{
    const auto& quota = flow.account->quota;
    if (quota.unit == QuotaRule::Unit::Requests)
        return 1;
    return flow.request.hasTokenCounts ? flow.request.promptTokens + flow.request.outputTokens : quota.defaultTokens;
}

/// Charges the request to its account's quota, before any shared resource is used. \returns false if it exceeds the quota and was refused.
bool ForwardLogic::chargeQuota(Flow& flow, Instant now)
{
    if (!flow.account)
        return true;
    auto amount = quotaCostOf(flow);
    auto decision = m_quotas.admit(flow.account->name, amount, now);
    if (decision.isAdmitted) {
        flow.chargedQuota = amount;
        return true;
    }
    auto& quota = m_quotas.accounts().at(flow.account->name);
    auto lastTotalAt = quota.lastTotalAt();
    auto totalsAge
        = lastTotalAt ? "totals received " + std::to_string((now - *lastTotalAt) / 1ms) + " ms ago" : std::string("no totals received");
    refuseUntil(flow, ResultCode::AccountRateLimit,
        "account " + flow.account->name + " requests " + std::to_string(std::llround(amount)) + " and has "
            + std::to_string(std::llround(quota.remaining(now))) + " left of " + std::to_string(std::llround(quota.rule().perSecond))
            + " per second, " + totalsAge,
        decision.retryAfter, now);
    return false;
}

/// Refunds a request that certainly has not run: a refusal for another reason doesn't use up quota.
void ForwardLogic::refundQuota(Flow& flow, ResultCode code, Instant now)
{
    auto status = httpStatusOf(code);
    bool hasNotRun = status == 503 || status == 429 || status == 401 || !flow.sends;
    if (auto chargedQuota = std::exchange(flow.chargedQuota, 0); chargedQuota > 0 && hasNotRun)
        m_quotas.refund(flow.account->name, chargedQuota, now);
}

void ForwardLogic::on(const QuotaTotalsReceived& event, Instant now) { m_quotas.take(event.controller, event.totals, now); }

void ForwardLogic::reportQuotaUsage(Instant now)
{
    if (auto report = m_quotas.report(now))
        m_effects.push_back(ReportQuotaUsage { std::move(*report) });
}

} // namespace wrenhinge
