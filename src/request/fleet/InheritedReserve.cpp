#include "request/fleet/InheritedReserve.h"

#include <algorithm>

namespace wrenhinge {

void InheritedReserve::take(const QuotaReport& report, Instant now)
{
    if (!m_since)
        m_since = now;
    if (now - *m_since > learnFor)
        return;
    m_told.all = std::max(m_told.all, report.knownGateways.all);
    m_told.notReporting = std::max(m_told.notReporting, report.knownGateways.notReporting);
    for (const auto& use : report.uses) {
        auto& perSecond = m_perSecond[use.account];
        perSecond = std::max(perSecond, use.reservedPerSecond);
    }
}

double InheritedReserve::perSecond(AccountId account, double limit, std::uint32_t gateways, Instant now) const
{
    if (m_told.all <= gateways || now - *m_since > m_keptFor)
        return 0;
    auto missing = m_told.all - gateways;
    auto alike = now - *m_since > missingAfter ? limit * missing / m_told.all : 0;
    auto it = m_perSecond.find(account);
    if (it == m_perSecond.end() || m_told.notReporting == 0)
        return alike;
    return std::max(alike, it->second * std::min(missing, m_told.notReporting) / m_told.notReporting);
}

} // namespace wrenhinge
