/** \file
 * The distribution of the actual lengths of answers relative to their callers' estimates, learned from completed answers.
 *
 * Callers' estimates are accurate only at the median: one answer in three becomes at least 1.3 times as long. The length of a single
 * answer can't be predicted, but the distribution of the ratio of length to estimate is stable, and gives the probability that an answer
 * that has reached a certain length continues.
 *
 * Example: of answers that were estimated at 1,000 tokens and have reached 900, a share of 0.7 reach 1,100 tokens and 0.25 reach 1,700.
 */
#pragma once

#include <array>
#include <cstdint>

namespace wrenhinge {

class AnswerLengths {
public:
    AnswerLengths();

    /// Records the length of a complete answer.
    void record(std::uint32_t expected, std::uint32_t generated);
    /// The probability that an answer with this estimate becomes longer than `length` tokens, given that it becomes longer than
    /// `generated`.
    [[nodiscard]] double survival(std::uint32_t expected, std::uint32_t generated, std::uint32_t length) const;

private:
    /// Bins for ratios from 1/16 to 16, five per factor of two. A bin is 15% wide, well below the spread of the estimates.
    static constexpr int binsPerOctave = 5;
    static constexpr int octaves = 4;
    static constexpr std::size_t bins = 2 * octaves * binsPerOctave;

    [[nodiscard]] static double positionOf(double ratio);
    [[nodiscard]] double longerThan(double ratio) const;
    void updateShares();

    std::array<double, bins> m_counts {};
    std::array<double, bins + 1> m_above {}; ///< Share of answers at or above the lower edge of each bin.
};

} // namespace wrenhinge
