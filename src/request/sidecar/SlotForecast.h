/** \file
 * Predicts when slots of a decode engine become free, from the progress of its running requests.
 *
 * The length of an answer is not known in advance. Known are how many tokens a request may still produce and the mean time
 * that requests held a slot. A request that can reach its token limit within T ends with certainty; any other ends within T
 * with probability 1 - exp(-T / mean hold time): the model is memoryless, since the time that an answer has taken tells
 * little about when it ends.
 *
 * Example: 20 slots, all running, a mean hold time of 5 s, none near its limit. Within 0.5 s each ends with probability
 * 0.095, so the number N of free slots has the mean 1.9 and the variance 1.7. One needed slot becomes free with
 * P(N >= 1) ~ 0.86, three needed slots with about 0.32 (normal approximation with continuity correction).
 */
#pragma once

#include "base/Time.h"

#include <cstdint>
#include <span>

namespace wrenhinge {

/// One request that holds a slot.
struct RunningSlot {
    Instant since;
    std::uint32_t maxTokens = 0;
    std::uint32_t producedTokens = 0;
};

/// Parameters of the prediction, measured over recent requests.
struct ForecastModel {
    Duration meanHold {}; ///< Mean time that a request holds a slot.
    Duration tokenInterval {}; ///< Mean time between tokens of a request.
};

/// The probability that at least `needed` of the running requests end within `horizon`.
double probabilityOfFreeing(std::span<const RunningSlot>, const ForecastModel&, std::uint32_t needed, Duration horizon);

/// The time after which `needed` of the running requests are expected to have ended.
Duration expectedTimeToFree(std::span<const RunningSlot>, const ForecastModel&, std::uint32_t needed);

} // namespace wrenhinge
