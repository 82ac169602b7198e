#include "request/sidecar/RetryBudget.h"

#include <algorithm>

namespace wrenhinge {

void RetryBudget::onSuccess() { m_balance = std::min(maxBalance, m_balance + retriesPerSuccess); }

bool RetryBudget::tryWithdraw(Instant now)
{
    auto refill = std::min(1.0, toSeconds(now - m_filledAt)) * minRetriesPerSecond;
    m_balance = std::min(maxBalance, m_balance + refill);
    m_filledAt = now;
    if (m_balance < 1)
        return false;
    m_balance -= 1;
    return true;
}

} // namespace wrenhinge
