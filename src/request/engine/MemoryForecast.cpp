#include "request/engine/MemoryForecast.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace wrenhinge {

namespace {

    /// Moments at which the sum is looked at; closer together near now, where most peaks lie.
    constexpr std::size_t moments = 16;

    struct Moment {
        std::uint32_t steps = 0; ///< From now.
        double mean = 0;
        double variance = 0;
    };

    /// An answer is hardly ever so many times as long as its caller expects.
    constexpr std::uint64_t mostTimes = 8;

    /// Tokens that an answer may still have. What callers allow may be far beyond what any answer needs: moments spread over all of it
    /// would lie so far apart that the peak, which is near, falls between two of them.
    std::uint32_t leftAtMost(const MemoryUse& use)
    {
        auto plausible = std::max<std::uint64_t>(mostTimes * use.expected, 2ull * use.generated);
        auto most = std::min<std::uint64_t>(use.most, plausible);
        return static_cast<std::uint32_t>(most - std::min<std::uint64_t>(most, use.generated));
    }

    std::array<Moment, moments> momentsUntil(std::uint32_t horizon)
    {
        std::array<Moment, moments> list;
        for (std::size_t i = 0; i < moments; ++i) {
            double part = static_cast<double>(i) / (moments - 1);
            list.at(i).steps = static_cast<std::uint32_t>(horizon * part * part);
        }
        return list;
    }

    void add(Moment& moment, const MemoryUse& use, const AnswerLengths& lengths)
    {
        if (moment.steps > leftAtMost(use))
            return;
        auto length = use.generated + moment.steps;
        double holds = use.promptTokens + length;
        auto runs = lengths.survival(use.expected, use.generated, length);
        moment.mean += runs * holds;
        moment.variance += runs * (1 - runs) * holds * holds;
    }

} // namespace

double forecastPeak(std::span<const MemoryUse> uses, const AnswerLengths& lengths, double deviations)
{
    std::uint32_t horizon = 0;
    for (const auto& use : uses)
        horizon = std::max(horizon, leftAtMost(use));
    double peak = 0;
    for (auto& moment : momentsUntil(horizon)) {
        for (const auto& use : uses)
            add(moment, use, lengths);
        peak = std::max(peak, moment.mean + deviations * std::sqrt(moment.variance));
    }
    return peak;
}

} // namespace wrenhinge
