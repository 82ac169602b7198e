/** \file
 * Time as the decision logic sees it: a duration and an instant on the clock of one process.
 *
 * Every state machine receives the instant with its event and never reads a clock itself, so the same object
 * runs on the machine's clock in the daemon and on virtual time in tests. Instants of two processes are never
 * compared; messages carry durations ("5 ms from now"), since clocks need not agree.
 */
#pragma once

#include <chrono>
#include <cstdint>

namespace wrenhinge {

/// A span of time in microseconds.
using Duration = std::chrono::microseconds;

/// The clock of one process. It goes on while the machine sleeps (see SystemClock), so that a process that was
/// suspended finds its leases expired on waking.
struct ProcessClock {
    using rep = std::int64_t;
    using period = std::micro;
    using duration = Duration;
    using time_point = std::chrono::time_point<ProcessClock, Duration>;
    static constexpr bool is_steady = true;
};

/// A point in time on one process's clock.
using Instant = ProcessClock::time_point;

using std::chrono::duration_cast;
using namespace std::chrono_literals;

/// Seconds as a floating-point number, for formulas and reports.
inline double toSeconds(Duration d) { return std::chrono::duration<double>(d).count(); }

/// The nearest duration to a floating-point number of seconds.
inline Duration fromSeconds(double s) { return Duration(static_cast<std::int64_t>(s * 1e6)); }

} // namespace wrenhinge
