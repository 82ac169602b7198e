/** \file
 * Reads the system clocks. Only the I/O code calls these; the state machines get the time with each event.
 */
#pragma once

#include "base/Time.h"

namespace wrenhinge {

/// The current time on CLOCK_BOOTTIME, which includes time while the machine is suspended. By the usual monotonic clock, a
/// process that was suspended for an hour would take its expired leases for valid when it resumes.
Instant currentInstant();

/// Microseconds since 1970, for logs, the time line and the age of files only.
std::uint64_t currentWallMicros();

} // namespace wrenhinge
