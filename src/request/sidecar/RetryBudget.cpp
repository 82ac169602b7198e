#include "request/sidecar/RetryBudget.h"

#include <algorithm>

namespace wrenhinge {

void RetryBudget::onSuccess() { m_saved = std::min(mostSaved, m_saved + shareOfSuccesses); }

bool RetryBudget::take(Instant now)
{
    auto trickle = std::min(1.0, toSeconds(now - m_filledAt)) * tricklePerSecond;
    m_saved = std::min(mostSaved, m_saved + trickle);
    m_filledAt = now;
    if (m_saved < 1)
        return false;
    m_saved -= 1;
    return true;
}

} // namespace wrenhinge
