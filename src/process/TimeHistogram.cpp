#include "process/TimeHistogram.h"

#include <array>
#include <cstdio>

namespace wrenhinge {

namespace {

    constexpr unsigned bins = 48;

} // namespace

TimeHistogram::TimeHistogram(double shortest, double longest)
    : m_histogram(boost::histogram::make_histogram(Axis(bins, shortest, longest)))
{
}

void TimeHistogram::add(Duration d)
{
    m_histogram(toSeconds(d));
    m_sum += toSeconds(d);
    ++m_count;
}

void TimeHistogram::print(std::string& out, const std::string& name, const std::string& help) const
{
    out += "# HELP " + name + " " + help + "\n# TYPE " + name + " histogram\n";
    double cumulativeCount = m_histogram.at(-1);
    for (unsigned i = 0; i < bins; ++i) {
        cumulativeCount += m_histogram.at(static_cast<int>(i));
        out += name + "_bucket{le=\"" + metricNumber(m_histogram.axis().bin(static_cast<int>(i)).upper()) + "\"} "
            + metricNumber(cumulativeCount) + "\n";
    }
    out += name + "_bucket{le=\"+Inf\"} " + std::to_string(m_count) + "\n";
    out += name + "_sum " + metricNumber(m_sum) + "\n" + name + "_count " + std::to_string(m_count) + "\n";
}

std::string metricNumber(double x)
{
    std::array<char, 32> buf {};
    std::snprintf(buf.data(), buf.size(), "%.9g", x);
    return buf.data();
}

std::string metricGauge(const std::string& name, double value)
{
    return "# TYPE " + name + " gauge\n" + name + " " + metricNumber(value) + "\n";
}

} // namespace wrenhinge
