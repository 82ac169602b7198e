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
    if (m_reportAt == Instant::max() && !m_accounts.empty())
        m_reportAt = now;
}

void AccountQuotas::heard(PeerId controller, Instant now)
{
    if (!isHearing(now)) {
        m_knowsBusy = false;
        m_reportAt = std::min(m_reportAt, m_accounts.empty() ? Instant::max() : now);
    }
    m_heardAt[controller] = now;
}

bool AccountQuotas::isHearing(Instant now) const
{
    return std::any_of(m_heardAt.begin(), m_heardAt.end(), [now](const auto& item) { return now - item.second <= contactLasts; });
}

AccountQuota* AccountQuotas::find(const std::string& account, Instant now)
{
    auto it = m_accounts.find(account);
    if (it == m_accounts.end())
        return nullptr;
    it->second.setContact(isHearing(now), m_gateways, now);
    m_active.insert(account);
    return &it->second;
}

AccountQuota::Verdict AccountQuotas::admit(const std::string& account, double amount, Instant now)
{
    auto* quota = find(account, now);
    if (!quota)
        return {};
    auto verdict = quota->admit(amount, now);
    if (quota->unreported() > quota->reportBeyond() || quota->asksForTotal())
        m_reportAt = std::min(m_reportAt, now + reportSoon);
    return verdict;
}

void AccountQuotas::giveBack(const std::string& account, double amount, Instant now)
{
    if (auto* quota = find(account, now))
        quota->giveBack(amount, now);
}

void AccountQuotas::take(PeerId controller, const QuotaTotals& totals, Instant now)
{
    heard(controller, now);
    // Another one's totals hold the same use once more.
    if (controller != m_teller)
        return;
    m_told = totals.gateways;
    m_toldAt = now;
    if (totals.isComplete) {
        m_knowsBusy = true;
        std::set<AccountId> told;
        for (const auto& total : totals.totals)
            told.insert(total.account);
        for (auto& [name, quota] : m_accounts) {
            quota.setContact(true, m_gateways, now);
            if (!told.contains(accountId(name)))
                quota.takeCalm();
        }
    }
    for (const auto& total : totals.totals) {
        if (auto it = m_names.find(total.account); it != m_names.end())
            find(it->second, now)->take(total, now);
    }
}

/// Each gateway has its own order of the controllers, so that each of these tells a like number.
void AccountQuotas::chooseTeller(Instant now)
{
    bool isSilent = std::any_of(m_active.begin(), m_active.end(), [&](const auto& name) { return m_accounts.at(name).missesTotals(now); });
    if (isSilent && m_teller)
        m_formerTeller = std::exchange(m_teller, std::nullopt);
    if (m_teller && m_heardAt.contains(*m_teller) && now - m_heardAt.at(*m_teller) <= contactLasts)
        return;
    m_teller.reset();
    // What the former one told to be busy may not be so by now, and the new one would not say it: a gateway that waits for news of such an
    // account keeps to its part of the limit, and refuses callers that the limit allows.
    m_knowsBusy = false;
    std::uint64_t lowest = 0;
    auto consider = [&](PeerId controller) {
        auto place = XXH3_64bits_withSeed(m_gateway.data(), m_gateway.size(), controller.value());
        if (m_teller && place >= lowest)
            return;
        m_teller = controller;
        lowest = place;
    };
    for (const auto& [controller, at] : m_heardAt) {
        if (now - at <= contactLasts && controller != m_formerTeller)
            consider(controller);
    }
    if (!m_teller && m_formerTeller && m_heardAt.contains(*m_formerTeller))
        m_teller = m_formerTeller;
}

/// Nobody would hear of it. What was used shortly before somebody does is told then.
void AccountQuotas::keepUnreported(Instant now)
{
    for (auto& [name, quota] : m_accounts)
        quota.keepUnreported(now);
    m_reportAt = now + reportEvery;
}

/// For controllers that have just started: they miss those that were counted before and don't come.
GatewayCounts AccountQuotas::gatewaysSeen(Instant now) const
{
    auto seen = now - m_toldAt <= toldLasts ? m_told : GatewayCounts();
    if (m_gateways != SharedRetryBudget::gatewaysUnknown)
        seen.all = std::max(seen.all, m_gateways);
    return seen;
}

std::optional<AccountQuotas::Report> AccountQuotas::report(Instant now)
{
    if (m_accounts.empty() || m_reportAt > now)
        return std::nullopt;
    chooseTeller(now);
    Report report { {}, m_teller, !m_knowsBusy, gatewaysSeen(now) };
    bool isWhole = now - m_reportedAt >= reportEvery;
    if (isWhole)
        m_reportedAt = now;
    if (!isHearing(now)) {
        keepUnreported(now);
        return std::nullopt;
    }
    for (const auto& name : m_active) {
        auto& quota = m_accounts.at(name);
        quota.setContact(true, m_gateways, now);
        bool isDue = isWhole ? quota.unreported() != 0 : quota.unreported() > quota.reportBeyond();
        if (isDue || quota.asksForTotal())
            report.uses.push_back(
                { accountId(name), quota.takeUnreported(), quota.rule().perSecond, quota.asksForTotal(), quota.reservedPerSecond() });
    }
    std::erase_if(m_active, [&](const auto& name) { return !m_accounts.at(name).isActive(); });
    m_reportAt = m_reportedAt + reportEvery;
    return report;
}

} // namespace wrenhinge
