#include "request/engine/AnswerLengths.h"

#include <algorithm>
#include <cmath>

namespace wrenhinge {

namespace {

    /// What is assumed before any answer has ended: the spread of the logarithm of the ratio, around a right estimate, and for how many
    /// answers the assumption counts. The first answers to end are the short ones, so that a few of them must not decide.
    constexpr double assumedSpread = 0.5;
    constexpr double assumedAnswers = 20;
    /// What is remembered of earlier answers with each one that ends: the last two hundred or so count.
    constexpr double remembered = 0.995;

    double normalShareAbove(double deviations) { return 0.5 * std::erfc(deviations / std::sqrt(2.0)); }

} // namespace

AnswerLengths::AnswerLengths()
{
    auto shareAbove = [](std::size_t bin) {
        double log2Ratio = static_cast<double>(bin) / binsPerOctave - octaves;
        return normalShareAbove(log2Ratio * std::log(2.0) / assumedSpread);
    };
    for (std::size_t bin = 0; bin < bins; ++bin)
        m_counts.at(bin) = assumedAnswers * (shareAbove(bin) - shareAbove(bin + 1));
    sumUp();
}

/// Where a ratio lies among the bins.
double AnswerLengths::positionOf(double ratio)
{
    return std::clamp((std::log2(ratio) + octaves) * binsPerOctave, 0.0, static_cast<double>(bins));
}

void AnswerLengths::record(std::uint32_t expected, std::uint32_t generated)
{
    if (!expected || !generated)
        return;
    for (auto& count : m_counts)
        count *= remembered;
    auto position = positionOf(static_cast<double>(generated) / expected);
    m_counts.at(std::min<std::size_t>(static_cast<std::size_t>(position), bins - 1)) += 1;
    sumUp();
}

void AnswerLengths::sumUp()
{
    double above = 0;
    m_above.back() = 0;
    for (std::size_t bin = bins; bin-- > 0;)
        m_above.at(bin) = above += m_counts.at(bin);
    for (auto& share : m_above)
        share /= above;
}

/// Linear within a bin.
double AnswerLengths::longerThan(double ratio) const
{
    auto position = positionOf(ratio);
    auto bin = std::min<std::size_t>(static_cast<std::size_t>(position), bins - 1);
    auto within = position - static_cast<double>(bin);
    return m_above.at(bin) * (1 - within) + m_above.at(bin + 1) * within;
}

double AnswerLengths::survival(std::uint32_t expected, std::uint32_t generated, std::uint32_t length) const
{
    if (length <= generated)
        return 1;
    double estimate = std::max(1u, expected);
    auto reached = generated ? longerThan(generated / estimate) : 1.0;
    auto goesOn = longerThan(length / estimate);
    // An answer beyond all that were seen tells nothing of its rest; it is taken to double at most as often as not.
    constexpr double leastKnown = 1e-4;
    if (reached < leastKnown)
        return length < 2 * generated ? 0.5 : 0.0;
    return std::min(1.0, goesOn / reached);
}

} // namespace wrenhinge
