#include "request/engine/EngineCircuitBreaker.h"

#include <algorithm>

namespace wrenhinge {

bool EngineCircuitBreaker::allowsRequest(Instant now) const
{
    if (isClosed())
        return true;
    bool isTrying = m_try && now - m_triedAt < probeTimeout;
    return now >= m_closedUntil && !isTrying;
}

void EngineCircuitBreaker::recordSent(const RequestId& request, Instant now)
{
    if (isClosed())
        return;
    m_try = request;
    m_triedAt = now;
}

void EngineCircuitBreaker::recordFailure(PeerId gateway, const RequestId& request, Instant now)
{
    bool wasTrusted = isClosed();
    ++m_broken;
    m_gateways.insert(gateway);
    if (isClosed())
        return;
    // Ends of what was sent before it was closed say nothing new.
    if (!wasTrusted && m_try != request)
        return;
    m_try.reset();
    m_closedUntil = now + m_pause;
    m_pause = std::min(2 * m_pause, maxOpenTime);
}

void EngineCircuitBreaker::recordUnused(const RequestId& request)
{
    if (m_try == request)
        m_try.reset();
}

} // namespace wrenhinge
