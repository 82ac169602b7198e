#include "base/HybridClock.h"

#include <algorithm>

namespace wrenhinge {

HybridTime HybridClock::tick(std::uint64_t wallMicros)
{
    if (wallMicros > m_last.wallMicros)
        m_last = { wallMicros, 0 };
    else
        ++m_last.logical;
    return m_last;
}

HybridTime HybridClock::receive(HybridTime remote, std::uint64_t wallMicros)
{
    m_last = std::max(m_last, remote);
    return tick(wallMicros);
}

} // namespace wrenhinge
