/** \file
 * A timer whose wait is never reported once it has been cancelled or replaced.
 *
 * Asio's timer takes back only a wait that has not ended. One that has ended, but whose handler has not run yet, is reported as if
 * nothing had happened. A process that shares its core or parses a large document stands still for tens to hundreds of
 * milliseconds; what came meanwhile and the limit that it met are then handled one after the other, and the limit strikes though
 * what it waited for is there. One would notice connections that are closed at the moment at which their request is passed on.
 *
 * Belongs to one strand: every call, and the report, is made on it.
 */
#pragma once

#include "base/Time.h"
#include "connection/Asio.h"

#include <memory>

namespace wrenhinge {

class Timer {
public:
    /// After a time limit has ended, what has come by then is read for this long before it strikes. It needs one turn of the loop, and
    /// was late only because this process stood still.
    static constexpr Duration lastLook = 10ms;

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

    /// Like `start`, for a limit on what a peer sends: calls `f` only after what has come by the limit could be read.
    template <typename F> void limit(Duration delay, F f)
    {
        start(delay, [this, f = std::move(f)]() mutable { start(lastLook, std::move(f)); });
    }

    void cancel()
    {
        ++*m_currentWait;
        m_timer.cancel();
    }

private:
    boost::asio::steady_timer m_timer;
    std::shared_ptr<std::uint64_t> m_currentWait = std::make_shared<std::uint64_t>(0); ///< Shared, as a report may outlive the timer.
};

} // namespace wrenhinge
