/** \file
 * The metrics of a gateway (counters, gauges, and latencies in Boost.Histogram) and their Prometheus text format.
 *
 * Goodput, which counts the requests answered within both latency targets, and wasted prefill tokens matter most to users and therefore
 * come first.
 */
#pragma once

#include "process/TimeHistogram.h"
#include "request/sidecar/GatewayEvents.h"

#include <map>
#include <mutex>
#include <string>

namespace wrenhinge {

class Metrics {
public:
    void record(const RequestSummary&);
    /// Sets a gauge, such as requests in progress. \param name must be a valid Prometheus metric name.
    void setGauge(const std::string& name, double value);
    /// All metrics in the Prometheus text format.
    [[nodiscard]] std::string text() const;

private:
    struct ServiceCounters {
        std::uint64_t answered = 0;
        std::uint64_t withinTargets = 0;
        std::uint64_t urgentAnswered = 0;
        std::uint64_t urgentWithinTargets = 0;
        std::uint64_t prefillTokens = 0;
        std::uint64_t wastedPrefillTokens = 0;
        std::uint64_t retries = 0;
        std::map<ResultCode, std::uint64_t> requestsByResult;
    };
    template <typename F> void printCounter(std::string& out, const std::string& name, const std::string& help, F value) const;

    mutable std::mutex m_mutex;
    std::map<std::string, ServiceCounters> m_services;
    TimeHistogram m_firstToken { 1e-3, 60 };
    TimeHistogram m_tokenInterval { 1e-4, 1 };
    std::map<std::string, double> m_gauges;
};

} // namespace wrenhinge
