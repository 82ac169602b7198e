#include "request/sidecar/CallRateLimiter.h"

#include <algorithm>
#include <limits>

namespace wrenhinge {

namespace {

    constexpr double burst = 1;

} // namespace

bool CallRateLimiter::observe(const StatedRateLimit& stated, Instant calledAt, Instant now)
{
    auto perSecond = stated.perSecond;
    if (perSecond)
        perSecond = std::max(minRequestsPerSecond, *perSecond);
    bool isUnreadable = stated.isStated && !perSecond;
    if (isUnreadable || perSecond == m_perSecond)
        return false;
    constexpr auto unlimited = std::numeric_limits<double>::infinity();
    bool isHigher = perSecond.value_or(unlimited) > m_perSecond.value_or(unlimited);
    if (isHigher && calledAt <= m_changedAt)
        return false;
    m_level = m_perSecond ? level(now) : 0;
    m_filledAt = now;
    m_perSecond = perSecond;
    m_changedAt = now;
    return true;
}

double CallRateLimiter::level(Instant now) const
{
    auto elapsed = toSeconds(std::max(Duration::zero(), now - m_filledAt));
    return std::min(burst, m_level + m_perSecond.value_or(0) * elapsed);
}

void CallRateLimiter::add(double calls, Instant now)
{
    if (!m_perSecond)
        return;
    m_level = std::min(burst, level(now) + calls);
    m_filledAt = now;
}

Duration CallRateLimiter::waitFor(std::size_t ahead, Instant now) const
{
    auto rest = std::max(Duration::zero(), m_restsUntil - now);
    if (!m_perSecond)
        return rest;
    auto missing = static_cast<double>(ahead) + 1 - level(now);
    return std::max(rest, fromSeconds(missing / *m_perSecond));
}

} // namespace wrenhinge
