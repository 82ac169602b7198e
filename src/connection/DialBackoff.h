/** \file
 * The delay before an address is dialled again.
 *
 * A process that restarts should be connected quickly, so the first delays are short. They grow with each failure. A link that ends soon
 * after it was established counts as a failure too: a process of another release accepts the link, refuses the first message and closes,
 * which would otherwise repeat twenty times a second for each pair of such processes.
 */
#pragma once

#include "base/Time.h"

#include <algorithm>

namespace wrenhinge {

class DialBackoff {
public:
    static constexpr Duration firstRetry = 50ms;
    static constexpr Duration longestRetry = 1s;
    /// A link that lasted this long was a success: both sides have exchanged their first messages.
    static constexpr Duration settledAfter = 2s;

    /// The delay is drawn at random between half of this and all of it.
    [[nodiscard]] Duration ceiling() const { return std::min<Duration>(longestRetry, firstRetry * (1 << std::min(m_failures, 5))); }
    void connectFailed() { ++m_failures; }
    void linkEnded(Duration lasted) { m_failures = lasted < settledAfter ? m_failures + 1 : 1; }
    void linkedOtherwise() { m_failures = 0; }

private:
    int m_failures = 0;
};

} // namespace wrenhinge
