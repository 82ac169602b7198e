/** \file
 * How full a decode engine's KV memory will become with the answers that run there.
 *
 * An answer holds its prompt from its first token on and grows until its last. Answers that began at different times end at different
 * times, so the most that they hold together is well below the sum of what each will hold at its end: with prompts of 5,100 tokens and
 * answers of 5,400, an engine that reserves prompt and 1.3 times the expected answer for each runs 6 of them in 78,000 tokens and
 * leaves a third of that empty, while the same answers fit 9 at a time.
 *
 * All answers of an engine grow by a token a step, so the forecast goes by tokens generated from now, not by time: at `n` steps from
 * now an answer holds its present tokens and n more if it is still running (AnswerLengths), else nothing. For each n that gives a mean
 * and a variance of the sum; the forecast is the highest mean with `deviations` standard deviations added.
 */
#pragma once

#include "request/engine/AnswerLengths.h"

#include <cstdint>
#include <span>

namespace wrenhinge {

/// One answer that runs at an engine, or is about to.
struct MemoryUse {
    std::uint32_t promptTokens = 0;
    std::uint32_t generated = 0; ///< Tokens so far.
    std::uint32_t expected = 0; ///< Tokens of the whole answer, as its caller expects.
    std::uint32_t most = 0; ///< Tokens of the whole answer, at most.
};

/// The most tokens that these answers will hold together.
double forecastPeak(std::span<const MemoryUse>, const AnswerLengths&, double deviations);

} // namespace wrenhinge
