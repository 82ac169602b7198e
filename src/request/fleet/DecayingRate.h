/** \file
 * Exponentially weighted average rate.
 */
#pragma once

#include "base/Time.h"

#include <cmath>

namespace wrenhinge {

/// Average usage per second. Each amount decays exponentially, to about a third (1/e) after `timeConstant`.
class DecayingRate {
public:
    explicit DecayingRate(Duration timeConstant)
        : m_timeConstant(timeConstant)
    {
    }

    void add(double amount, Instant now)
    {
        m_sum = decayed(now) + amount;
        m_at = now;
    }
    [[nodiscard]] double perSecond(Instant now) const { return decayed(now) / toSeconds(m_timeConstant); }

    /// The fraction of a steady usage that `perSecond` has reached this long after the first amount.
    [[nodiscard]] double convergenceAfter(Duration time) const { return 1 - std::exp(-toSeconds(time) / toSeconds(m_timeConstant)); }

private:
    [[nodiscard]] double decayed(Instant now) const { return m_sum * std::exp(-toSeconds(now - m_at) / toSeconds(m_timeConstant)); }

    Duration m_timeConstant;
    double m_sum = 0;
    Instant m_at;
};

} // namespace wrenhinge
