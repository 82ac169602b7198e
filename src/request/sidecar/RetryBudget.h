/** \file
 * Bounds retries of failed work to a share of the successes.
 *
 * After an outage every gateway sees failures at once; if each request were tried three times, the load would triple
 * just when capacity is gone, and the system would stay down after the cause has ended. The budget lets retries be at
 * most a tenth of recent successes, plus a trickle so that a quiet gateway can retry at all.
 */
#pragma once

#include "base/Time.h"

namespace wrenhinge {

class RetryBudget {
public:
    static constexpr double shareOfSuccesses = 0.1;
    static constexpr double tricklePerSecond = 2;
    static constexpr double mostSaved = 50;

    void onSuccess();
    /// Takes one retry from the budget. \returns whether there was one.
    bool take(Instant now);
    [[nodiscard]] double saved() const { return m_saved; }

private:
    double m_saved = tricklePerSecond;
    Instant m_filledAt;
};

} // namespace wrenhinge
