#include "request/engine/EngineTrust.h"

#include <algorithm>

namespace wrenhinge {

bool EngineTrust::mayTry(Instant now) const
{
    if (isTrusted())
        return true;
    bool isTrying = m_try && now - m_triedAt < tryLasts;
    return now >= m_closedUntil && !isTrying;
}

void EngineTrust::tried(const RequestId& request, Instant now)
{
    if (isTrusted())
        return;
    m_try = request;
    m_triedAt = now;
}

void EngineTrust::noteBroken(PeerId gateway, const RequestId& request, Instant now)
{
    bool wasTrusted = isTrusted();
    ++m_broken;
    m_gateways.insert(gateway);
    if (isTrusted())
        return;
    // Ends of what was sent before it was closed say nothing new.
    if (!wasTrusted && m_try != request)
        return;
    m_try.reset();
    m_closedUntil = now + m_pause;
    m_pause = std::min(2 * m_pause, longestPause);
}

void EngineTrust::noteUnused(const RequestId& request)
{
    if (m_try == request)
        m_try.reset();
}

} // namespace wrenhinge
