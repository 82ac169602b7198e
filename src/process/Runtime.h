/** \file
 * What every role of the daemon stands on: the worker pool, the timer, the event log, the admin server, and the signals.
 */
#pragma once

#include "connection/Asio.h"
#include "process/AdminServer.h"
#include "process/EventLog.h"
#include "process/RefusalLog.h"
#include "process/Settings.h"
#include "process/TimerService.h"

#include <atomic>
#include <functional>
#include <thread>
#include <vector>

namespace wrenhinge {

class Runtime {
public:
    explicit Runtime(const Settings&);
    ~Runtime();
    Runtime(const Runtime&) = delete;
    Runtime& operator=(const Runtime&) = delete;

    IoContext& io() { return m_io; }
    TimerService& timers() { return m_timers; }
    EventLog& log() { return m_log; }
    /// What came in that can't be used, at any door of this process.
    RefusalLog& refusals() { return m_refusals; }
    /// This run of this process.
    [[nodiscard]] PeerId self() const { return m_self; }

    /// Runs the worker pool until `finish`. `onTerminate` is called at the first SIGTERM or SIGINT, `onReload` at SIGHUP; a
    /// second SIGTERM ends at once. \returns the exit code.
    int run(std::uint32_t workers, std::function<void()> onTerminate, std::function<void()> onReload);
    /// Ends `run` with this exit code.
    void finish(int exitCode);
    /// Calls `f` every few milliseconds until it returns true or `limit` has passed.
    void waitUntil(std::function<bool()> f, Duration limit, std::function<void(bool reached)> then);

private:
    void pollUntil(std::function<bool()> f, Instant end, std::function<void(bool reached)> then);
    void awaitSignal(std::function<void()> onTerminate, std::function<void()> onReload);

    IoContext m_io;
    TimerService m_timers;
    EventLog m_log;
    RefusalLog m_refusals { m_log };
    PeerId m_self;
    boost::asio::signal_set m_signals;
    bool m_isTerminating = false;
    std::atomic<int> m_exitCode = 0;
};

/// A random 64-bit number that is not zero, from the system.
std::uint64_t randomIdentity();

} // namespace wrenhinge
