/** \file
 * Foretells when slots of a decode engine come free, from what its running requests have produced so far.
 *
 * How long an answer gets is not known; what is known is how long a request has run, how many tokens it may still
 * produce, and how long requests of its size held a slot before. A request that is near its token limit ends surely;
 * any other ends within T with the chance 1 - exp(-T / mean hold), since a long answer tells little about its end.
 *
 * Worked example: 20 slots, all running, mean hold 5 s, none near its limit. Within 0.5 s each ends with the chance
 * 0.095, so 1.9 are expected free, with a variance of 1.7. One claim is met with the chance P(N >= 1) ~ 0.86
 * (normal approximation with continuity correction), three claims with about 0.32.
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

struct ForecastModel {
    Duration meanHold {};
    Duration tokenInterval {};
};

/// The chance that at least `needed` of the running requests end within `horizon`.
double probabilityOfFreeing(std::span<const RunningSlot>, const ForecastModel&, std::uint32_t needed, Duration horizon);

/// The time after which `needed` of them are expected to have ended.
Duration expectedTimeToFree(std::span<const RunningSlot>, const ForecastModel&, std::uint32_t needed);

} // namespace wrenhinge
