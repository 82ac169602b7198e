/** \file
 * A hybrid logical clock: timestamps near wall time that never contradict cause and effect.
 *
 * Each event on the time line carries one. A message's receipt is always stamped later than its sending, even when
 * the receiver's wall clock lags, so the merged time line of all processes never shows an answer before its question.
 */
#pragma once

#include <compare>
#include <cstdint>

namespace wrenhinge {

/// Wall time in microseconds since 1970, and a counter that orders events within it.
struct HybridTime {
    std::uint64_t wallMicros = 0;
    std::uint32_t logical = 0;
    auto operator<=>(const HybridTime&) const = default;
};

class HybridClock {
public:
    /// The stamp of a local event or a sending.
    HybridTime tick(std::uint64_t wallMicros);
    /// Takes note of a stamp that came with a message, then stamps its receipt.
    HybridTime receive(HybridTime remote, std::uint64_t wallMicros);

private:
    HybridTime m_last;
};

} // namespace wrenhinge
