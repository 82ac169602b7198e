/** \file
 * What a gateway without sidecars measures, in Boost.Histogram, and its text form for Prometheus.
 */
#pragma once

#include "request/ForwardEvents.h"

#include <boost/histogram.hpp>
#include <map>
#include <mutex>
#include <string>

namespace wrenhinge {

class ForwardMetrics {
public:
    ForwardMetrics();

    void record(const forward::Finished&);
    void setGauge(const std::string& name, double value);
    /// The Prometheus text form. Times are in seconds.
    [[nodiscard]] std::string text() const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));
    struct Times {
        Histogram histogram;
        double sum = 0;
    };
    static Times makeTimes();
    static void add(Times&, Duration);
    static void print(std::string& out, const std::string& name, const Times&);

    mutable std::mutex m_mutex; ///< Guards what follows; nothing else is locked under it.
    std::map<std::pair<std::string, ResultCode>, std::uint64_t> m_requests;
    std::uint64_t m_resends = 0;
    Times m_untilFirst;
    Times m_waitedForPlace;
    std::map<std::string, double> m_gauges;
};

} // namespace wrenhinge
