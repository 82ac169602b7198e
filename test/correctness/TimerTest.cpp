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
    // Guards against an idle gateway that uses all processor time, so that a controller on its machine can't start.
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
    // Guards against closing a connection although the data that it waited for has arrived.
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
