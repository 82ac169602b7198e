#include "request/StreamForecast.h"

#include <algorithm>
#include <vector>

namespace wrenhinge {

namespace {

    /// The value that half of them exceed; there is at least one.
    template <typename T> T median(std::vector<T> values)
    {
        auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
        std::nth_element(values.begin(), middle, values.end());
        return *middle;
    }

    /// An answer has at least one token, whatever its caller expects.
    double atLeastOne(std::uint32_t tokens) { return std::max(1u, tokens); }

} // namespace

void StreamForecast::note(const std::string& service, std::uint32_t expectedTokens, Duration untilFirst, Duration afterFirst)
{
    auto& streams = m_services[service];
    streams.push_back({ untilFirst, toSeconds(afterFirst) / atLeastOne(expectedTokens) });
    if (streams.size() > remembered)
        streams.pop_front();
}

std::optional<Duration> StreamForecast::longest(const std::string& service, std::uint32_t expectedTokens) const
{
    const auto* streams = find(service);
    if (!streams)
        return std::nullopt;
    Stream most;
    for (const auto& stream : *streams) {
        most.untilFirst = std::max(most.untilFirst, stream.untilFirst);
        most.secondsPerToken = std::max(most.secondsPerToken, stream.secondsPerToken);
    }
    return most.untilFirst + fromSeconds(most.secondsPerToken * atLeastOne(expectedTokens));
}

std::optional<Duration> StreamForecast::usual(const std::string& service, std::uint32_t expectedTokens) const
{
    const auto* streams = find(service);
    if (!streams)
        return std::nullopt;
    std::vector<Duration> untilFirst;
    std::vector<double> secondsPerToken;
    for (const auto& stream : *streams) {
        untilFirst.push_back(stream.untilFirst);
        secondsPerToken.push_back(stream.secondsPerToken);
    }
    return median(std::move(untilFirst)) + fromSeconds(median(std::move(secondsPerToken)) * atLeastOne(expectedTokens));
}

const StreamForecast::Streams* StreamForecast::find(const std::string& service) const
{
    auto it = m_services.find(service);
    return it == m_services.end() || it->second.size() < needed ? nullptr : &it->second;
}

} // namespace wrenhinge
