/** \file
 * A timer whose handler never runs once its wait was cancelled or replaced.
 *
 * Cancelling Asio's timer has no effect on a wait that has ended but whose handler has not run yet. A process that shares its core or
 * parses a large document may not run for hundreds of milliseconds. Received bytes and an expired timeout are then handled one after the
 * other, and the timeout would take effect although the bytes that it waited for have arrived: connections would be closed at the moment
 * at which their request is passed on.
 *
 * Belongs to one strand: all functions are called on it, and handlers run on it.
 */
#pragma once

#include "base/Time.h"
#include "connection/Asio.h"

#include <memory>

namespace wrenhinge {

class Timer {
public:
    /// Delay between the end of a time limit and its handler, in which bytes that have arrived are read. One turn of the event loop is
    /// enough.
    static constexpr Duration finalReadTime = 10ms;

    /// \param executor the strand on which waits are reported.
    explicit Timer(const boost::asio::any_io_executor& executor)
        : m_timer(executor)
    {
    }
    ~Timer() { cancel(); }
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

    /// Calls `f` after `delay`, unless this timer is started again, cancelled or destroyed before.
    template <typename F> void start(Duration delay, F f)
    {
        auto wait = ++*m_currentWait;
        m_timer.expires_after(delay);
        m_timer.async_wait([currentWait = m_currentWait, wait, f = std::move(f)](ErrorCode ec) mutable {
            if (!ec && *currentWait == wait)
                f();
        });
    }

    /// Like `start`, for a limit on the time until a peer sends something: bytes that have arrived by then are read before `f` is called.
    template <typename F> void limit(Duration delay, F f)
    {
        start(delay, [this, f = std::move(f)]() mutable { start(finalReadTime, std::move(f)); });
    }

    void cancel()
    {
        ++*m_currentWait;
        m_timer.cancel();
    }

private:
    boost::asio::steady_timer m_timer;
    std::shared_ptr<std::uint64_t> m_currentWait = std::make_shared<std::uint64_t>(0); ///< Shared, as a handler may outlive the timer.
};

} // namespace wrenhinge
