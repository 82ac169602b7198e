#include "base/SystemClock.h"

#include <ctime>

namespace wrenhinge {

Instant currentInstant()
{
    timespec t {};
    clock_gettime(CLOCK_BOOTTIME, &t);
    return Instant(std::chrono::seconds(t.tv_sec) + std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(t.tv_nsec)));
}

std::uint64_t currentWallMicros()
{
    timespec t {};
    clock_gettime(CLOCK_REALTIME, &t);
    return static_cast<std::uint64_t>(t.tv_sec) * 1000000 + static_cast<std::uint64_t>(t.tv_nsec) / 1000;
}

} // namespace wrenhinge
