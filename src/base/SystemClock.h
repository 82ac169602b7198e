/** \file
 * Reads the machine's clocks for the drivers; the decision logic never calls these.
 */
#pragma once

#include "base/Time.h"

namespace wrenhinge {

/// Now, on a clock that goes on while the machine sleeps (CLOCK_BOOTTIME): on the usual monotonic clock a process that was
/// suspended for an hour would still believe in its leases when it wakes.
Instant currentInstant();

/// Microseconds since 1970, for logs and the time line only.
std::uint64_t currentWallMicros();

} // namespace wrenhinge
