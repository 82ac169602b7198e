/** \file
 * A histogram of times (Boost.Histogram) with its text form for Prometheus, as the metrics of each role use it.
 */
#pragma once

#include "base/Time.h"

#include <boost/histogram.hpp>
#include <string>

namespace wrenhinge {

class TimeHistogram {
public:
    /// Buckets on a logarithmic scale. \param shortest, longest in seconds.
    TimeHistogram(double shortest, double longest);

    void add(Duration);
    /// Appends the histogram under this name; times are in seconds.
    void print(std::string& out, const std::string& name, const std::string& help) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

    Histogram m_histogram;
    double m_sum = 0;
    std::uint64_t m_count = 0;
};

/// A number as Prometheus reads it.
std::string metricNumber(double);
/// A gauge without labels.
std::string metricGauge(const std::string& name, double value);

} // namespace wrenhinge
