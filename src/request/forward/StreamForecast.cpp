#include "request/forward/StreamForecast.h"

#include <algorithm>

namespace wrenhinge {

namespace {

    /// An answer has at least one token, whatever its caller expects.
    double atLeastOne(std::uint32_t tokens) { return std::max(1u, tokens); }

} // namespace

void StreamForecast::note(const std::string& service, std::uint32_t expectedTokens, Duration timeToFirstByte, Duration afterFirst)
{
    auto& streams = m_services[service];
    streams.push_back({ timeToFirstByte, toSeconds(afterFirst) / atLeastOne(expectedTokens) });
    if (streams.size() > maxSamples)
        streams.pop_front();
}

std::optional<Duration> StreamForecast::longest(const std::string& service, std::uint32_t expectedTokens) const
{
    const auto* streams = find(service);
    if (!streams)
        return std::nullopt;
    Stream most;
    for (const auto& stream : *streams) {
        most.timeToFirstByte = std::max(most.timeToFirstByte, stream.timeToFirstByte);
        most.secondsPerToken = std::max(most.secondsPerToken, stream.secondsPerToken);
    }
    return most.timeToFirstByte + fromSeconds(most.secondsPerToken * atLeastOne(expectedTokens));
}

const StreamForecast::Streams* StreamForecast::find(const std::string& service) const
{
    auto it = m_services.find(service);
    return it == m_services.end() || it->second.size() < minSamples ? nullptr : &it->second;
}

} // namespace wrenhinge
