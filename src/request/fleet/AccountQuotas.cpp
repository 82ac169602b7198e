#include "request/fleet/AccountQuotas.h"

#include <algorithm>
#include <xxhash.h>

namespace wrenhinge {

AccountId accountId(std::string_view name) { return AccountId(XXH3_64bits(name.data(), name.size())); }

void AccountQuotas::setRules(const std::map<std::string, QuotaRule>& rules, Instant now)
{
    std::erase_if(m_accounts, [&rules](const auto& item) { return !rules.contains(item.first); });
    std::erase_if(m_active, [&rules](const auto& name) { return !rules.contains(name); });
    m_names.clear();
    for (const auto& [name, rule] : rules) {
        auto [it, isNew] = m_accounts.try_emplace(name, rule, m_settings, now);
        if (!isNew)
            it->second.setRule(rule);
        m_names[accountId(name)] = name;
    }
    if (m_accounts.empty())
        m_reportAt = Instant::max();
    else if (m_reportAt == Instant::max())
        m_reportAt = now;
}

void AccountQuotas::noteContact(PeerId controller, Instant now)
{
    if (!hasContact(now)) {
        m_knowsBusyAccounts = false;
        m_reportAt = std::min(m_reportAt, m_accounts.empty() ? Instant::max() : now);
    }
    m_lastHeardAt[controller] = now;
}

bool AccountQuotas::hasContact(Instant now) const
{
    return std::any_of(m_lastHeardAt.begin(), m_lastHeardAt.end(), [now](const auto& item) { return now - item.second <= contactTimeout; });
}

AccountQuota* AccountQuotas::find(const std::string& account, Instant now)
{
    auto it = m_accounts.find(account);
    if (it == m_accounts.end())
        return nullptr;
    it->second.setContact(hasContact(now), m_gateways, now);
    m_active.insert(account);
    return &it->second;
}

AccountQuota::Verdict AccountQuotas::admit(const std::string& account, double amount, Instant now)
{
    auto* quota = find(account, now);
    if (!quota)
        return {};
    auto verdict = quota->admit(amount, now);
    scheduleReport(*quota, now);
    return verdict;
}

void AccountQuotas::scheduleReport(const AccountQuota& quota, Instant now)
{
    if (quota.unreported() > quota.reportThreshold() || quota.asksForTotal())
        m_reportAt = std::min(m_reportAt, now + promptReportDelay);
}

void AccountQuotas::refund(const std::string& account, double amount, Instant now)
{
    if (auto* quota = find(account, now))
        quota->refund(amount, now);
}

void AccountQuotas::take(PeerId controller, const QuotaTotals& totals, Instant now)
{
    noteContact(controller, now);
    // Another controller's totals contain the same usage again.
    if (controller != m_totalsSource)
        return;
    m_knownGateways = totals.gateways;
    m_knownGatewaysAt = now;
    if (totals.isComplete) {
        m_knowsBusyAccounts = true;
        std::set<AccountId> received;
        for (const auto& total : totals.totals)
            received.insert(total.account);
        for (auto& [name, quota] : m_accounts) {
            quota.setContact(true, m_gateways, now);
            if (!received.contains(accountId(name)))
                quota.markNotBusy(now);
        }
    }
    for (const auto& total : totals.totals) {
        if (auto it = m_names.find(total.account); it != m_names.end())
            find(it->second, now)->take(total, now);
    }
}

/// Rendezvous hashing: each gateway ranks the controllers in an order of its own, so that all controllers serve about as many gateways.
void AccountQuotas::chooseTotalsSource(Instant now)
{
    bool isSilent
        = std::any_of(m_active.begin(), m_active.end(), [&](const auto& name) { return m_accounts.at(name).isTotalOverdue(now); });
    if (isSilent && m_totalsSource)
        m_previousSource = std::exchange(m_totalsSource, std::nullopt);
    if (m_totalsSource && m_lastHeardAt.contains(*m_totalsSource) && now - m_lastHeardAt.at(*m_totalsSource) <= contactTimeout)
        return;
    m_totalsSource.reset();
    // An account that the previous controller broadcast as busy may no longer be, and the new one would not mention it. Waiting for its
    // total, this gateway would stay within its share and refuse requests that the limit allows, so it requests all busy accounts.
    m_knowsBusyAccounts = false;
    std::uint64_t lowest = 0;
    auto consider = [&](PeerId controller) {
        auto rank = XXH3_64bits_withSeed(m_gateway.data(), m_gateway.size(), controller.value());
        if (m_totalsSource && rank >= lowest)
            return;
        m_totalsSource = controller;
        lowest = rank;
    };
    for (const auto& [controller, at] : m_lastHeardAt) {
        if (now - at <= contactTimeout && controller != m_previousSource)
            consider(controller);
    }
    if (!m_totalsSource && m_previousSource && m_lastHeardAt.contains(*m_previousSource))
        m_totalsSource = m_previousSource;
}

/// Called while no controller is reachable. The usage that is kept is reported when one is reachable again.
void AccountQuotas::capUnreported(Instant now)
{
    for (auto& [name, quota] : m_accounts)
        quota.capUnreported(now);
    m_reportAt = now + reportInterval;
}

/// Tells controllers that have just started how many gateways there were, so that they reserve shares for those that don't connect.
GatewayCounts AccountQuotas::knownGateways(Instant now) const
{
    auto seen = now - m_knownGatewaysAt <= knownGatewaysLifetime ? m_knownGateways : GatewayCounts();
    if (m_gateways != GatewayCount::assumed)
        seen.all = std::max(seen.all, m_gateways);
    return seen;
}

std::optional<AccountQuotas::Report> AccountQuotas::report(Instant now)
{
    if (m_accounts.empty() || m_reportAt > now)
        return std::nullopt;
    chooseTotalsSource(now);
    Report report { {}, m_totalsSource, !m_knowsBusyAccounts, knownGateways(now) };
    bool isFullReport = now - m_reportedAt >= reportInterval;
    if (isFullReport)
        m_reportedAt = now;
    if (!hasContact(now)) {
        capUnreported(now);
        return std::nullopt;
    }
    for (const auto& name : m_active) {
        auto& quota = m_accounts.at(name);
        quota.setContact(true, m_gateways, now);
        bool isDue = isFullReport ? quota.unreported() != 0 : quota.unreported() > quota.reportThreshold();
        if (isDue || quota.asksForTotal())
            report.uses.push_back(
                { accountId(name), quota.takeUnreported(), quota.rule().perSecond, quota.asksForTotal(), quota.reservedPerSecond() });
    }
    std::erase_if(m_active, [&](const auto& name) { return !m_accounts.at(name).isActive(); });
    m_reportAt = m_reportedAt + reportInterval;
    return report;
}

} // namespace wrenhinge
