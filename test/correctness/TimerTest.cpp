/** \file
 * The timer service: who is called, and who is left alone. The timer of one connection: what is not reported any more.
 */
#include "connection/Timer.h"
#include "base/SystemClock.h"
#include "process/TimerService.h"

#include <doctest/doctest.h>
#include <thread>

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

TEST_CASE("a wait that has ended but was cancelled or replaced before its report is not reported")
{
    // Symptom: a connection is closed though what it waited for has come. Sequence: the process stands still, a wait ends, and
    // another handler that is ready too cancels it. Cause: Asio reports a wait that has ended, whatever is called after that.
    IoContext io;
    auto work = boost::asio::make_work_guard(io);
    auto strand = boost::asio::make_strand(io);
    boost::asio::steady_timer first(strand, 1ms);
    int reports = 0;
    auto timer = std::make_unique<Timer>(strand);
    bool isReplaced = false;
    SUBCASE("cancelled")
    {
        first.async_wait([&](ErrorCode) { timer->cancel(); });
    }
    SUBCASE("replaced")
    {
        isReplaced = true;
        first.async_wait([&](ErrorCode) { timer->start(1ms, [&] { reports += 10; }); });
    }
    SUBCASE("destroyed")
    {
        first.async_wait([&](ErrorCode) { timer.reset(); });
    }
    timer->start(2ms, [&] { ++reports; });
    std::this_thread::sleep_for(10ms);
    while (io.poll()) { }
    while (isReplaced && !reports)
        io.run_one();
    CHECK(reports == (isReplaced ? 10 : 0));
}
