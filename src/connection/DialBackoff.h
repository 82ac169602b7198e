/** \file
 * How long to wait before an address is dialled again.
 *
 * A process that starts again should be linked at once, so the first waits are short. They grow with each failure; and a link that
 * ends soon after it was made counts as one too: a process of another release takes the link, refuses the first message and closes,
 * and dialling it again at once would repeat that twenty times a second, for each pair of such processes.
 */
#pragma once

#include "base/Time.h"

#include <algorithm>

namespace wrenhinge {

class DialBackoff {
public:
    static constexpr Duration firstRetry = 50ms;
    static constexpr Duration longestRetry = 1s;
    /// A link that lasted for this long was a good one: both sides have said what they say at first.
    static constexpr Duration settledAfter = 2s;

    /// Wait between half of this and all of it, drawn anew each time.
    [[nodiscard]] Duration ceiling() const { return std::min<Duration>(longestRetry, firstRetry * (1 << std::min(m_failures, 5))); }
    void connectFailed() { ++m_failures; }
    void linkEnded(Duration lasted) { m_failures = lasted < settledAfter ? m_failures + 1 : 1; }
    void linkedOtherwise() { m_failures = 0; }

private:
    int m_failures = 0;
};

} // namespace wrenhinge
