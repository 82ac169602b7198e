/** \file
 * A histogram of durations (Boost.Histogram) with its Prometheus text format, used by the metrics of each role.
 */
#pragma once

#include "base/Time.h"

#include <boost/histogram.hpp>
#include <string>

namespace wrenhinge {

class TimeHistogram {
public:
    /// Creates buckets on a logarithmic scale. \param shortest, longest bounds of the scale in seconds.
    TimeHistogram(double shortest, double longest);

    void add(Duration);
    /// Appends the histogram as a Prometheus metric to `out`; durations are in seconds.
    void print(std::string& out, const std::string& name, const std::string& help) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

    Histogram m_histogram;
    double m_sum = 0;
    std::uint64_t m_count = 0;
};

/// Formats a number for Prometheus, with up to nine significant digits.
std::string metricNumber(double);
/// Formats a gauge without labels in the Prometheus text format.
std::string metricGauge(const std::string& name, double value);

} // namespace wrenhinge
