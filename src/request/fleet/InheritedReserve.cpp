#include "request/fleet/InheritedReserve.h"

#include <algorithm>

namespace wrenhinge {

void InheritedReserve::take(const QuotaReport& report, Instant now)
{
    if (!m_firstReportAt)
        m_firstReportAt = now;
    if (now - *m_firstReportAt > learningPeriod)
        return;
    m_knownGateways.all = std::max(m_knownGateways.all, report.knownGateways.all);
    m_knownGateways.unreachable = std::max(m_knownGateways.unreachable, report.knownGateways.unreachable);
    for (const auto& use : report.uses) {
        auto& perSecond = m_perSecond[use.account];
        perSecond = std::max(perSecond, use.reservedPerSecond);
    }
}

double InheritedReserve::perSecond(AccountId account, double limit, std::uint32_t gateways, Instant now) const
{
    if (m_knownGateways.all <= gateways || now - *m_firstReportAt > m_reservationPeriod)
        return 0;
    auto missing = m_knownGateways.all - gateways;
    auto evenShare = now - *m_firstReportAt > missingAfter ? limit * missing / m_knownGateways.all : 0;
    auto it = m_perSecond.find(account);
    if (it == m_perSecond.end() || m_knownGateways.unreachable == 0)
        return evenShare;
    return std::max(evenShare, it->second * std::min(missing, m_knownGateways.unreachable) / m_knownGateways.unreachable);
}

} // namespace wrenhinge
