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
    static constexpr double retriesPerSuccess = 0.1;
    static constexpr double minRetriesPerSecond = 2;
    static constexpr double maxBalance = 50;

    void onSuccess();
    /// Takes one retry from the budget. \returns whether there was one.
    bool tryWithdraw(Instant now);
    [[nodiscard]] double balance() const { return m_balance; }

private:
    double m_balance = minRetriesPerSecond;
    Instant m_filledAt;
};

} // namespace wrenhinge
