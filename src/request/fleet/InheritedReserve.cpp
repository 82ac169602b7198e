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
}

double InheritedReserve::share(std::uint32_t gateways, Instant now) const
{
    if (m_knownGateways.all <= gateways || now - *m_firstReportAt > m_reservationPeriod)
        return 0;
    auto missing = m_knownGateways.all - gateways;
    if (now - *m_firstReportAt <= missingAfter)
        missing = std::min(missing, m_knownGateways.unreachable);
    return static_cast<double>(missing) / m_knownGateways.all;
}

} // namespace wrenhinge
