/** \file
 * A hybrid logical clock: timestamps close to wall-clock time that preserve causal order.
 *
 * Each event on the time line has one. The receipt of a message is always stamped later than its sending, even if the
 * receiver's wall clock lags, so that the merged time line of all processes never shows a reply before its request.
 */
#pragma once

#include <compare>
#include <cstdint>

namespace wrenhinge {

/// Wall-clock time in microseconds since 1970, and a counter that orders events with the same time.
struct HybridTime {
    std::uint64_t wallMicros = 0;
    std::uint32_t logical = 0;
    auto operator<=>(const HybridTime&) const = default;
};

class HybridClock {
public:
    /// Returns the timestamp of a local event or of a message to send.
    HybridTime tick(std::uint64_t wallMicros);
    /// Advances the clock past the timestamp of a received message. \returns the timestamp of its receipt.
    HybridTime receive(HybridTime remote, std::uint64_t wallMicros);

private:
    HybridTime m_last;
};

} // namespace wrenhinge
