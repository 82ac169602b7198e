#include "process/ForwardMetrics.h"

namespace wrenhinge {

namespace {

    /// From the shortest time that a network allows to the longest that callers wait, four buckets a decade.
    constexpr double shortest = 1e-3;
    constexpr double longest = 100;
    constexpr unsigned buckets = 20;

    std::string gauge(const std::string& name, double value)
    {
        return "# TYPE " + name + " gauge\n" + name + " " + std::to_string(value) + "\n";
    }

} // namespace

ForwardMetrics::Times ForwardMetrics::makeTimes() { return { boost::histogram::make_histogram(Axis(buckets, shortest, longest)), 0 }; }

ForwardMetrics::ForwardMetrics()
    : m_untilFirst(makeTimes())
    , m_waitedForPlace(makeTimes())
{
}

void ForwardMetrics::add(Times& times, Duration d)
{
    times.histogram(toSeconds(d));
    times.sum += toSeconds(d);
}

void ForwardMetrics::record(const forward::Finished& finished)
{
    std::lock_guard lock(m_mutex);
    ++m_requests[{ finished.route, finished.code }];
    m_resends += finished.sends > 1 ? finished.sends - 1 : 0;
    if (finished.untilFirst)
        add(m_untilFirst, *finished.untilFirst);
    if (finished.waitedForPlace > Duration::zero())
        add(m_waitedForPlace, finished.waitedForPlace);
}

void ForwardMetrics::setGauge(const std::string& name, double value)
{
    std::lock_guard lock(m_mutex);
    m_gauges[name] = value;
}

void ForwardMetrics::print(std::string& out, const std::string& name, const Times& times)
{
    out += "# TYPE " + name + " histogram\n";
    double count = 0;
    for (auto&& cell : boost::histogram::indexed(times.histogram, boost::histogram::coverage::all)) {
        count += static_cast<double>(*cell);
        bool isLast = cell.index() >= static_cast<int>(buckets);
        out += name + "_bucket{le=\"" + (isLast ? std::string("+Inf") : std::to_string(cell.bin().upper())) + "\"} "
            + std::to_string(static_cast<std::uint64_t>(count)) + "\n";
    }
    out += name + "_sum " + std::to_string(times.sum) + "\n" + name + "_count " + std::to_string(static_cast<std::uint64_t>(count)) + "\n";
}

std::string ForwardMetrics::text() const
{
    std::lock_guard lock(m_mutex);
    std::string out = "# TYPE wrenhinge_requests_total counter\n";
    for (const auto& [key, n] : m_requests)
        out += "wrenhinge_requests_total{route=\"" + key.first + "\",code=\"" + std::string(nameOf(key.second)) + "\"} " + std::to_string(n)
            + "\n";
    out += "# TYPE wrenhinge_resends_total counter\nwrenhinge_resends_total " + std::to_string(m_resends) + "\n";
    print(out, "wrenhinge_first_byte_seconds", m_untilFirst);
    print(out, "wrenhinge_place_wait_seconds", m_waitedForPlace);
    for (const auto& [name, value] : m_gauges)
        out += gauge(name, value);
    return out;
}

} // namespace wrenhinge
