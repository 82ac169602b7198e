#include "request/engine/EngineLoad.h"

#include <algorithm>

namespace wrenhinge {

void EngineLoad::admit(
    const std::string& name, const EngineProperties& properties, std::uint32_t promptTokens, std::uint32_t tokens, Instant now)
{
    auto& service = m_services[name];
    service.properties = properties;
    ++service.running;
    service.admittedSum += now.time_since_epoch();
    ++service.requests;
    service.promptTokens += promptTokens;
    service.tokens += tokens;
}

void EngineLoad::recordPrefill(const std::string& name, std::uint32_t promptTokens, Duration took)
{
    auto& service = m_services[name];
    auto sample = toSeconds(took) / std::max(1u, promptTokens);
    bool isFirst = service.secondsPerToken <= 0;
    service.secondsPerToken = isFirst ? sample : std::min(sample, service.secondsPerToken * (1 + prefillTimeDrift));
}

void EngineLoad::finish(const std::string& name, Instant admittedAt, bool isServed, Instant now)
{
    auto& service = m_services.at(name);
    --service.running;
    service.admittedSum -= admittedAt.time_since_epoch();
    if (isServed) {
        service.answers = service.answers * answerDecay + 1;
        service.endedSeconds *= answerDecay;
    }
    service.endedSeconds += toSeconds(now - admittedAt);
}

/// The mean time that a served request occupies its slot and memory, in seconds.
double EngineLoad::meanHold(const Service& service, Instant now)
{
    auto runningSeconds = toSeconds(now.time_since_epoch() * service.running - service.admittedSum);
    return (service.endedSeconds + runningSeconds) / (service.answers + assumedProgress * static_cast<double>(service.running));
}

bool EngineLoad::hasWork() const
{
    return std::any_of(m_services.begin(), m_services.end(), [](const auto& item) { return item.second.requests > 0; });
}

EngineLoadReport EngineLoad::take(Instant now)
{
    auto seconds = toSeconds(now - std::exchange(m_takenAt, now));
    EngineLoadReport report;
    for (auto& [name, service] : m_services) {
        bool isKnown = service.secondsPerToken > 0 && service.answers >= minAnswers;
        if (isKnown && service.requests) {
            auto ofMemory = static_cast<double>(service.tokens)
                / (meanMemoryUtilization * static_cast<double>(std::max<std::uint64_t>(1, service.properties.cacheTokens)));
            auto ofSlots = static_cast<double>(service.requests) / std::max(1u, service.properties.slots);
            auto& busy = report.services[name];
            busy.prefill = static_cast<double>(service.promptTokens) * service.secondsPerToken / seconds;
            busy.decode = std::max(ofMemory, ofSlots) * meanHold(service, now) / seconds;
            busy.stageChange = service.properties.stageChange;
        }
        service.requests = service.promptTokens = service.tokens = 0;
    }
    return report;
}

} // namespace wrenhinge
