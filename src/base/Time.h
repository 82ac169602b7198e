/** \file
 * Time in the state machines: durations, and instants on the clock of one process.
 *
 * Every state machine receives the current instant with each event and never reads a clock itself, so that the same code
 * runs on the system clock in the daemon and on virtual time in tests. Instants of different processes are never
 * compared: their clocks need not agree, so messages contain durations ("5 ms from now").
 */
#pragma once

#include <chrono>
#include <cstdint>

namespace wrenhinge {

/// A span of time in microseconds.
using Duration = std::chrono::microseconds;

/// The clock of one process. It includes time while the machine is suspended (see SystemClock.h), so that a process finds
/// its leases expired when it resumes.
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
