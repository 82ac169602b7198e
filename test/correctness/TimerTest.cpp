/** \file
 * The timer service: who is called, and who is left alone.
 */
#include "base/SystemClock.h"
#include "process/TimerService.h"

#include <doctest/doctest.h>

using namespace wrenhinge;

TEST_CASE("a subscriber that waits for nothing is not called")
{
    // Symptom: an idle gateway takes all the processor time that it is given, and a controller on the same machine does not get
    // to start. Sequence: the last request ends, and the logic's next wake-up is the end of time. Cause: the system's timer
    // counts in nanoseconds and wrapped round, so that it fired at once, again and again.
    IoContext io;
    TimerService timers(io);
    int idleCalls = 0;
    bool isDone = false;
    auto idle = timers.subscribe([&] { ++idleCalls; });
    auto busy = timers.subscribe([&] { isDone = true; });
    timers.wakeAt(idle, Instant::max());
    timers.wakeAt(busy, currentInstant() + 30ms);
    while (!isDone)
        io.run_one();
    CHECK(idleCalls == 0);
    timers.wakeAt(idle, Instant::max());
    io.poll();
    CHECK(idleCalls == 0);
    timers.wakeAt(idle, currentInstant());
    while (!idleCalls)
        io.run_one();
    timers.stop();
}
