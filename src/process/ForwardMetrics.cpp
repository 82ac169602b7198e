#include "process/ForwardMetrics.h"

namespace wrenhinge {

void ForwardMetrics::record(const forward::Finished& finished)
{
    std::lock_guard lock(m_mutex);
    ++m_requests[{ finished.route, finished.code }];
    m_resends += finished.sends > 1 ? finished.sends - 1 : 0;
    if (finished.timeToFirstByte)
        m_timeToFirstByte.add(*finished.timeToFirstByte);
    if (finished.reservationWait > Duration::zero())
        m_reservationWait.add(finished.reservationWait);
}

void ForwardMetrics::setGauge(const std::string& name, double value)
{
    std::lock_guard lock(m_mutex);
    m_gauges[name] = value;
}

std::string ForwardMetrics::text() const
{
    std::lock_guard lock(m_mutex);
    std::string out = "# HELP wrenhinge_requests_total Requests by route and how they ended.\n# TYPE wrenhinge_requests_total counter\n";
    for (const auto& [key, n] : m_requests) {
        const auto& [route, code] = key;
        out += "wrenhinge_requests_total{route=\"" + route + "\",code=\"" + std::string(nameOf(code)) + "\"} " + std::to_string(n) + "\n";
    }
    out += "# HELP wrenhinge_resends_total Sends after the first.\n# TYPE wrenhinge_resends_total counter\n";
    out += "wrenhinge_resends_total " + std::to_string(m_resends) + "\n";
    m_timeToFirstByte.print(out, "wrenhinge_first_byte_seconds", "Time to the first byte of an answer.");
    m_reservationWait.print(out, "wrenhinge_place_wait_seconds", "Time that a request waited for a place at a decode replica.");
    for (const auto& [name, value] : m_gauges)
        out += metricGauge(name, value);
    return out;
}

} // namespace wrenhinge
