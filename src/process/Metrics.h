/** \file
 * What a gateway measures, in Boost.Histogram, and its text form for Prometheus.
 *
 * Goodput under both latency targets and wasted prefill come first: they are what the users weigh.
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
    /// A gauge such as requests in progress; the name must be a Prometheus one.
    void setGauge(const std::string& name, double value);
    /// The Prometheus text form.
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
