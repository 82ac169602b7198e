/** \file
 * How much of something is used a second, over the last few seconds.
 */
#pragma once

#include "base/Time.h"

#include <cmath>

namespace wrenhinge {

/// What was used fades with age: after `memory` to a third.
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

    /// The part of a steady use that the rate shows when it has been watched for so long.
    [[nodiscard]] double convergenceAfter(Duration time) const { return 1 - std::exp(-toSeconds(time) / toSeconds(m_timeConstant)); }

private:
    [[nodiscard]] double decayed(Instant now) const { return m_sum * std::exp(-toSeconds(now - m_at) / toSeconds(m_timeConstant)); }

    Duration m_timeConstant;
    double m_sum = 0;
    Instant m_at;
};

} // namespace wrenhinge
