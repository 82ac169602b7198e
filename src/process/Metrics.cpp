#include "process/Metrics.h"

namespace wrenhinge {

void Metrics::record(const RequestSummary& summary)
{
    std::lock_guard lock(m_mutex);
    auto& service = m_services[summary.service];
    bool isUrgent = summary.priority == Priority::Urgent;
    bool isAnswered = summary.code == ResultCode::Ok;
    service.answered += isAnswered;
    service.withinTargets += summary.metTargets;
    service.urgentAnswered += isUrgent && isAnswered;
    service.urgentWithinTargets += isUrgent && summary.metTargets;
    service.prefillTokens += summary.prefillTokens;
    service.wastedPrefillTokens += summary.wastedPrefillTokens;
    service.retries += summary.retries;
    ++service.requestsByResult[summary.code];
    if (summary.tokens)
        m_firstToken.add(summary.firstToken);
    if (summary.tokens > 1)
        m_tokenInterval.add(summary.tokenInterval);
}

void Metrics::setGauge(const std::string& name, double value)
{
    std::lock_guard lock(m_mutex);
    m_gauges[name] = value;
}

template <typename F> void Metrics::printCounter(std::string& out, const std::string& name, const std::string& help, F value) const
{
    out += "# HELP " + name + " " + help + "\n# TYPE " + name + " counter\n";
    for (const auto& [service, counts] : m_services)
        out += name + "{service=\"" + service + "\"} " + std::to_string(value(counts)) + "\n";
}

std::string Metrics::text() const
{
    std::lock_guard lock(m_mutex);
    std::string out;
    printCounter(out, "wrenhinge_goodput_total", "Requests answered within both latency targets.",
        [](const ServiceCounters& s) { return s.withinTargets; });
    printCounter(out, "wrenhinge_urgent_goodput_total", "Urgent requests answered within both latency targets.",
        [](const ServiceCounters& s) { return s.urgentWithinTargets; });
    printCounter(out, "wrenhinge_wasted_prefill_tokens_total", "Prompt tokens computed whose result never became a token.",
        [](const ServiceCounters& s) { return s.wastedPrefillTokens; });
    printCounter(out, "wrenhinge_prefill_tokens_total", "Prompt tokens that prefill engines were asked to compute.",
        [](const ServiceCounters& s) { return s.prefillTokens; });
    printCounter(out, "wrenhinge_answered_total", "Requests answered whole.", [](const ServiceCounters& s) { return s.answered; });
    printCounter(out, "wrenhinge_urgent_answered_total", "Urgent requests answered whole.",
        [](const ServiceCounters& s) { return s.urgentAnswered; });
    printCounter(out, "wrenhinge_retries_total", "Attempts after the first.", [](const ServiceCounters& s) { return s.retries; });
    out += "# HELP wrenhinge_requests_total Requests by how they ended.\n# TYPE wrenhinge_requests_total counter\n";
    for (const auto& [service, counts] : m_services) {
        for (const auto& [code, n] : counts.requestsByResult)
            out += "wrenhinge_requests_total{service=\"" + service + "\",code=\"" + std::string(nameOf(code)) + "\"} " + std::to_string(n)
                + "\n";
    }
    m_firstToken.print(out, "wrenhinge_first_token_seconds", "Time to the first token.");
    m_tokenInterval.print(out, "wrenhinge_token_interval_seconds", "Mean time between tokens of a request.");
    for (const auto& [name, value] : m_gauges)
        out += metricGauge(name, value);
    return out;
}

} // namespace wrenhinge
