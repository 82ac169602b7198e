#include "request/engine/AnswerLengths.h"

#include <algorithm>
#include <cmath>

namespace wrenhinge {

namespace {

    /// The prior distribution before any answer has ended: log-normal around an accurate estimate, with this standard deviation of the
    /// logarithm, and weighted like this many answers. The first answers to end are the short ones, so a few of them must not dominate.
    constexpr double priorSpread = 0.5;
    constexpr double priorWeight = 20;
    /// Factor applied to the counts with each new answer, so that about the last two hundred answers count.
    constexpr double decay = 0.995;

    double normalShareAbove(double deviations) { return 0.5 * std::erfc(deviations / std::sqrt(2.0)); }

} // namespace

AnswerLengths::AnswerLengths()
{
    auto shareAbove = [](std::size_t bin) {
        double log2Ratio = static_cast<double>(bin) / binsPerOctave - octaves;
        return normalShareAbove(log2Ratio * std::log(2.0) / priorSpread);
    };
    for (std::size_t bin = 0; bin < bins; ++bin)
        m_counts.at(bin) = priorWeight * (shareAbove(bin) - shareAbove(bin + 1));
    updateShares();
}

/// The position of a ratio on the bin axis, in bins.
double AnswerLengths::positionOf(double ratio)
{
    return std::clamp((std::log2(ratio) + octaves) * binsPerOctave, 0.0, static_cast<double>(bins));
}

void AnswerLengths::record(std::uint32_t expected, std::uint32_t generated)
{
    if (!expected || !generated)
        return;
    for (auto& count : m_counts)
        count *= decay;
    auto position = positionOf(static_cast<double>(generated) / expected);
    m_counts.at(std::min<std::size_t>(static_cast<std::size_t>(position), bins - 1)) += 1;
    updateShares();
}

void AnswerLengths::updateShares()
{
    double above = 0;
    m_above.back() = 0;
    for (std::size_t bin = bins; bin-- > 0;)
        m_above.at(bin) = above += m_counts.at(bin);
    for (auto& share : m_above)
        share /= above;
}

/// Interpolates linearly within a bin.
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
    auto reachesLength = longerThan(length / estimate);
    // Nothing is known about answers longer than all observed ones. Assume a probability of 0.5 until the length has doubled, then zero.
    constexpr double minObservedShare = 1e-4;
    if (reached < minObservedShare)
        return length < 2 * generated ? 0.5 : 0.0;
    return std::min(1.0, reachesLength / reached);
}

} // namespace wrenhinge
