/** \file
 * Forecasts the peak use of a decode engine's KV memory by its running answers.
 *
 * An answer occupies memory for its prompt from its first token on, and grows until its last one. Answers that start at different times
 * end at different times, so their joint peak is well below the sum of their peaks. With prompts of 5,100 tokens and answers of 5,400, an
 * engine that reserves the prompt and 1.3 times the expected answer for each runs 6 of them in 78,000 tokens and leaves a third of the
 * memory empty; 9 of the same answers fit at a time.
 *
 * All answers of an engine grow by one token a step, so the forecast is over steps from now instead of time: n steps from now, an answer
 * occupies its current tokens plus n if it is still running (AnswerLengths), and nothing otherwise. For each n this gives the mean and the
 * variance of the sum. The forecast is the maximum over n of the mean plus `deviations` standard deviations.
 */
#pragma once

#include "request/engine/AnswerLengths.h"

#include <cstdint>
#include <span>

namespace wrenhinge {

/// The memory use of an answer that is running at an engine or is to be admitted.
struct MemoryUsage {
    std::uint32_t promptTokens = 0;
    std::uint32_t generated = 0; ///< Tokens generated so far.
    std::uint32_t expected = 0; ///< Length of the whole answer that its caller expects.
    std::uint32_t maxTokens = 0; ///< Upper limit of the whole answer.
};

/// The forecast of the most tokens that these answers will occupy together.
double forecastPeak(std::span<const MemoryUsage>, const AnswerLengths&, double deviations);

} // namespace wrenhinge
