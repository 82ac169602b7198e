/** \file
 * How much of something is used a second, over the last few seconds.
 */
#pragma once

#include "base/Time.h"

#include <cmath>

namespace wrenhinge {

/// What was used fades with age: after `memory` to a third.
class UseRate {
public:
    explicit UseRate(Duration memory)
        : m_memory(memory)
    {
    }

    void add(double amount, Instant now)
    {
        m_sum = faded(now) + amount;
        m_at = now;
    }
    [[nodiscard]] double perSecond(Instant now) const { return faded(now) / toSeconds(m_memory); }

    /// The part of a steady use that the rate shows when it has been watched for so long.
    [[nodiscard]] double shownAfter(Duration time) const { return 1 - std::exp(-toSeconds(time) / toSeconds(m_memory)); }

private:
    [[nodiscard]] double faded(Instant now) const { return m_sum * std::exp(-toSeconds(now - m_at) / toSeconds(m_memory)); }

    Duration m_memory;
    double m_sum = 0;
    Instant m_at;
};

} // namespace wrenhinge
