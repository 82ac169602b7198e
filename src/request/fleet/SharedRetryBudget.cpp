#include "request/fleet/SharedRetryBudget.h"

namespace wrenhinge {

SharedRetryBudget::Window& SharedRetryBudget::currentWindow(const std::string& service, Instant now)
{
    auto& window = m_windows[service];
    for (auto* list : { &window.requests, &window.resends }) {
        while (!list->empty() && now - list->front() > m_settings.window)
            list->pop_front();
    }
    return window;
}

void SharedRetryBudget::setGateways(std::uint32_t n, Instant now)
{
    bool isLarger = n >= m_gateways || !m_gatewaysUpdatedAt;
    if (!n || (!isLarger && now - *m_gatewaysUpdatedAt <= m_settings.window))
        return;
    m_gateways = n;
    m_gatewaysUpdatedAt = now;
}

double SharedRetryBudget::allowance(const Window& window, Instant now) const
{
    bool hasJustStarted = !m_startedAt || now - *m_startedAt <= m_settings.window;
    return (hasJustStarted ? usableFractionAfterStart : usableFraction)
        * (m_settings.ratio * static_cast<double>(window.requests.size()) + m_settings.slack / m_gateways);
}

void SharedRetryBudget::countRequest(const std::string& service, Instant now)
{
    if (!m_startedAt)
        m_startedAt = now;
    currentWindow(service, now).requests.push_back(now);
}

bool SharedRetryBudget::take(const std::string& service, Instant now)
{
    auto& window = currentWindow(service, now);
    if (static_cast<double>(window.resends.size()) + 1 > allowance(window, now))
        return false;
    window.resends.push_back(now);
    return true;
}

double SharedRetryBudget::remaining(const std::string& service, Instant now)
{
    auto& window = currentWindow(service, now);
    return allowance(window, now) - static_cast<double>(window.resends.size());
}

std::map<std::string, double> SharedRetryBudget::remainingByService(Instant now)
{
    std::map<std::string, double> all;
    for (const auto& [service, window] : m_windows)
        all[service] = remaining(service, now);
    return all;
}

} // namespace wrenhinge
