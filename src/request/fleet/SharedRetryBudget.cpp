#include "request/fleet/SharedRetryBudget.h"

#include <algorithm>

namespace wrenhinge {

void SharedRetryBudget::dropBefore(std::deque<Amount>& list, double& sum, Instant oldest)
{
    while (!list.empty() && list.front().at < oldest) {
        sum -= list.front().amount;
        list.pop_front();
    }
    if (list.empty())
        sum = 0;
}

SharedRetryBudget::Account& SharedRetryBudget::currentAccount(const std::string& service, Instant now)
{
    auto& account = m_accounts[service];
    dropBefore(account.paid, account.paidSum, now - (m_settings.window - arrivalDelay()));
    dropBefore(account.usedSlack, account.usedSlackSum, now - (m_settings.window + arrivalDelay()));
    return account;
}

void SharedRetryBudget::setGateways(std::uint32_t n, Instant now)
{
    if (!m_startedAt)
        m_startedAt = now;
    m_gateways.report(n, now);
}

void SharedRetryBudget::countRequest(const std::string& service, Instant now)
{
    if (!m_startedAt)
        m_startedAt = now;
    auto& account = currentAccount(service, now);
    auto amount = requestFraction * m_settings.ratio;
    account.paid.push_back({ now, amount });
    account.paidSum += amount;
}

double SharedRetryBudget::slackLeft(const Account& account, Instant now) const
{
    if (!m_gateways.known())
        return 0;
    auto age = m_startedAt ? now - *m_startedAt : Duration::zero();
    bool isYoung = age < m_settings.window + arrivalDelay();
    auto fraction = isYoung ? slackFractionAfterStart * toSeconds(age) / toSeconds(m_settings.window) : slackFraction;
    return fraction * m_settings.slack / *m_gateways.known() - account.usedSlackSum;
}

double SharedRetryBudget::remaining(const std::string& service, Instant now)
{
    auto& account = currentAccount(service, now);
    return account.paidSum + std::max(0.0, slackLeft(account, now));
}

/// Takes up to one retry from what requests have paid, the oldest first. \returns how much.
double SharedRetryBudget::takePaid(Account& account)
{
    double taken = 0;
    while (!account.paid.empty() && taken < 1) {
        auto& oldest = account.paid.front();
        auto part = std::min(oldest.amount, 1 - taken);
        taken += part;
        oldest.amount -= part;
        account.paidSum -= part;
        if (oldest.amount <= 0)
            account.paid.pop_front();
    }
    return taken;
}

bool SharedRetryBudget::take(const std::string& service, Instant now)
{
    if (remaining(service, now) < 1)
        return false;
    auto& account = currentAccount(service, now);
    if (auto fromSlack = 1 - takePaid(account); fromSlack > 0) {
        account.usedSlack.push_back({ now, fromSlack });
        account.usedSlackSum += fromSlack;
    }
    return true;
}

std::map<std::string, double> SharedRetryBudget::remainingByService(Instant now)
{
    std::map<std::string, double> all;
    for (const auto& [service, account] : m_accounts)
        all[service] = remaining(service, now);
    return all;
}

} // namespace wrenhinge
