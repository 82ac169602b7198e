#include "request/engine/MemoryForecast.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace wrenhinge {

namespace {

    /// The number of points at which the sum is computed. They are denser near now, where most peaks are.
    constexpr std::size_t pointCount = 16;

    struct ForecastPoint {
        std::uint32_t steps = 0; ///< Distance from now.
        double mean = 0;
        double variance = 0;
    };

    /// Answers are hardly ever longer than this many times their estimate.
    constexpr std::uint64_t maxLengthFactor = 8;

    /// The most tokens that an answer can plausibly still generate. A caller's upper limit can be far beyond any real answer: points spread
    /// over all of it would be so far apart that the peak, which is near, would fall between two of them.
    std::uint32_t maxRemaining(const MemoryUsage& usage)
    {
        auto plausible = std::max<std::uint64_t>(maxLengthFactor * usage.expected, 2ull * usage.generated);
        auto limit = std::min<std::uint64_t>(usage.maxTokens, plausible);
        return static_cast<std::uint32_t>(limit - std::min<std::uint64_t>(limit, usage.generated));
    }

    std::array<ForecastPoint, pointCount> pointsUntil(std::uint32_t horizon)
    {
        std::array<ForecastPoint, pointCount> list;
        for (std::size_t i = 0; i < pointCount; ++i) {
            double fraction = static_cast<double>(i) / (pointCount - 1);
            list.at(i).steps = static_cast<std::uint32_t>(horizon * fraction * fraction);
        }
        return list;
    }

    void add(ForecastPoint& point, const MemoryUsage& usage, const AnswerLengths& lengths)
    {
        if (point.steps > maxRemaining(usage))
            return;
        auto length = usage.generated + point.steps;
        double tokens = usage.promptTokens + length;
        auto probability = lengths.survival(usage.expected, usage.generated, length);
        point.mean += probability * tokens;
        point.variance += probability * (1 - probability) * tokens * tokens;
    }

} // namespace

double forecastPeak(std::span<const MemoryUsage> usages, const AnswerLengths& lengths, double deviations)
{
    std::uint32_t horizon = 0;
    for (const auto& usage : usages)
        horizon = std::max(horizon, maxRemaining(usage));
    double peak = 0;
    for (auto& point : pointsUntil(horizon)) {
        for (const auto& usage : usages)
            add(point, usage, lengths);
        peak = std::max(peak, point.mean + deviations * std::sqrt(point.variance));
    }
    return peak;
}

} // namespace wrenhinge
