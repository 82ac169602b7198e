#include "request/engine/EngineCircuitBreaker.h"

#include <algorithm>

namespace wrenhinge {

bool EngineCircuitBreaker::allowsRequest(Instant now) const
{
    if (isClosed())
        return true;
    bool isProbing = m_probe && now - m_probeSentAt < probeTimeout;
    return now >= m_openUntil && !isProbing;
}

void EngineCircuitBreaker::recordSent(const RequestId& request, Instant now)
{
    if (isClosed())
        return;
    m_probe = request;
    m_probeSentAt = now;
}

void EngineCircuitBreaker::recordFailure(PeerId gateway, const RequestId& request, Instant now)
{
    bool wasClosed = isClosed();
    ++m_failures;
    m_gateways.insert(gateway);
    if (isClosed())
        return;
    // Failures of requests sent before the breaker opened say nothing new.
    if (!wasClosed && m_probe != request)
        return;
    m_probe.reset();
    m_openUntil = now + m_openTime;
    m_openTime = std::min(2 * m_openTime, maxOpenTime);
}

void EngineCircuitBreaker::recordUnused(const RequestId& request)
{
    if (m_probe == request)
        m_probe.reset();
}

} // namespace wrenhinge
