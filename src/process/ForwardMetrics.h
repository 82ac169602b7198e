/** \file
 * What a gateway without sidecars measures, and its text form for Prometheus.
 */
#pragma once

#include "process/TimeHistogram.h"
#include "request/forward/ForwardEffects.h"

#include <map>
#include <mutex>
#include <string>

namespace wrenhinge {

class ForwardMetrics {
public:
    void record(const forward::Finished&);
    void setGauge(const std::string& name, double value);
    /// The Prometheus text form. Times are in seconds.
    [[nodiscard]] std::string text() const;

private:
    mutable std::mutex m_mutex; ///< Guards what follows; nothing else is locked under it.
    std::map<std::pair<std::string, ResultCode>, std::uint64_t> m_requests;
    std::uint64_t m_resends = 0;
    TimeHistogram m_untilFirst { 1e-3, 60 };
    TimeHistogram m_waitedForPlace { 1e-3, 60 };
    std::map<std::string, double> m_gauges;
};

} // namespace wrenhinge
