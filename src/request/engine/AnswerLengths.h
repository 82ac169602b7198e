/** \file
 * How long answers become against what their callers expect, learnt from those that have ended.
 *
 * Callers' estimates are right at the median only: of three answers one becomes 1.3 times as long and more. What one answer will need
 * is therefore unknown, but the distribution of the ratio between length and estimate is stable, and tells how likely an answer that
 * has come this far goes on.
 *
 * Example: of answers that were expected to have 1,000 tokens and have 900, about 0.7 reach 1,100 tokens, 0.25 reach 1,700.
 */
#pragma once

#include <array>
#include <cstdint>

namespace wrenhinge {

class AnswerLengths {
public:
    AnswerLengths();

    /// An answer has ended whole.
    void record(std::uint32_t expected, std::uint32_t generated);
    /// The share of answers with this estimate that become longer than `length` tokens, of those that become longer than `generated`.
    [[nodiscard]] double survival(std::uint32_t expected, std::uint32_t generated, std::uint32_t length) const;

private:
    /// Ratios from 1/16 to 16, in steps of a fifth of an octave: 15% wide, well below the spread of the estimates.
    static constexpr int binsPerOctave = 5;
    static constexpr int octaves = 4;
    static constexpr std::size_t bins = 2 * octaves * binsPerOctave;

    [[nodiscard]] static double positionOf(double ratio);
    [[nodiscard]] double longerThan(double ratio) const;
    void sumUp();

    std::array<double, bins> m_counts {};
    std::array<double, bins + 1> m_above {}; ///< Share of answers from the lower end of each bin on.
};

} // namespace wrenhinge
