#include "request/sidecar/SlotForecast.h"

#include <algorithm>
#include <cmath>

namespace wrenhinge {

namespace {

    constexpr Duration maxForecast = 600s;

    double probabilityOfEnding(const RunningSlot& slot, const ForecastModel& model, Duration horizon)
    {
        auto remaining = slot.maxTokens > slot.producedTokens ? slot.maxTokens - slot.producedTokens : 0;
        if (model.tokenInterval * remaining <= horizon)
            return 1;
        if (model.meanHold <= Duration::zero())
            return 0;
        return 1 - std::exp(-toSeconds(horizon) / toSeconds(model.meanHold));
    }

    double normalUpperTail(double x) { return 0.5 * std::erfc(x / std::sqrt(2.0)); }

    double expectedCompletions(std::span<const RunningSlot> running, const ForecastModel& model, Duration horizon)
    {
        double sum = 0;
        for (const auto& slot : running)
            sum += probabilityOfEnding(slot, model, horizon);
        return sum;
    }

} // namespace

double probabilityOfFreeing(std::span<const RunningSlot> running, const ForecastModel& model, std::uint32_t needed, Duration horizon)
{
    if (!needed)
        return 1;
    if (needed > running.size())
        return 0;
    double mean = 0;
    double variance = 0;
    double noneEnds = 1;
    for (const auto& slot : running) {
        auto p = probabilityOfEnding(slot, model, horizon);
        mean += p;
        variance += p * (1 - p);
        noneEnds *= 1 - p;
    }
    if (needed == 1)
        return 1 - noneEnds;
    if (variance < 1e-9)
        return mean + 1e-6 >= needed ? 1 : 0;
    return normalUpperTail((needed - 0.5 - mean) / std::sqrt(variance));
}

Duration expectedTimeToFree(std::span<const RunningSlot> running, const ForecastModel& model, std::uint32_t needed)
{
    if (!needed)
        return Duration::zero();
    if (needed > running.size())
        needed = static_cast<std::uint32_t>(running.size());
    // More ends than run can't be expected; half an end below the count is reached in finite time.
    double wanted = needed - 0.5;
    Duration low {};
    Duration high = std::max<Duration>(model.meanHold, 10ms);
    while (high < maxForecast && expectedCompletions(running, model, high) < wanted)
        high *= 2;
    while (high - low > 1ms) {
        auto middle = low + (high - low) / 2;
        (expectedCompletions(running, model, middle) < wanted ? low : high) = middle;
    }
    return high;
}

} // namespace wrenhinge
