#include "request/forward/StreamForecast.h"

#include <algorithm>

namespace wrenhinge {

namespace {

    /// An answer has at least one token, even if its caller expects none.
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
    Stream maxima;
    for (const auto& stream : *streams) {
        maxima.timeToFirstByte = std::max(maxima.timeToFirstByte, stream.timeToFirstByte);
        maxima.secondsPerToken = std::max(maxima.secondsPerToken, stream.secondsPerToken);
    }
    return maxima.timeToFirstByte + fromSeconds(maxima.secondsPerToken * atLeastOne(expectedTokens));
}

const StreamForecast::Streams* StreamForecast::find(const std::string& service) const
{
    auto it = m_services.find(service);
    return it == m_services.end() || it->second.size() < minSamples ? nullptr : &it->second;
}

} // namespace wrenhinge
