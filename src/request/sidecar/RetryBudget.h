/** \file
 * Limits retries of failed work to a share of the successes.
 *
 * In an outage every gateway sees failures at the same time. If each request were tried three times, the load would triple
 * while capacity is reduced, and the system would stay overloaded after the cause has ended. The budget allows retries for
 * at most a tenth of recent successes, plus a small constant rate so that a gateway with little traffic can retry at all.
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
    /// Withdraws one retry from the budget. \returns false if the budget is used up.
    bool tryWithdraw(Instant now);
    [[nodiscard]] double balance() const { return m_balance; }

private:
    double m_balance = minRetriesPerSecond;
    Instant m_filledAt;
};

} // namespace wrenhinge
