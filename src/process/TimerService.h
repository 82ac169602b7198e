/** \file
 * A timer that is shared by all components of a process.
 *
 * Each subscriber has at most one deadline, at which its callback is called; setting a new deadline replaces the previous one. All
 * subscribers share one asio timer.
 */
#pragma once

#include "base/Time.h"
#include "connection/Asio.h"

#include <functional>
#include <map>
#include <mutex>

namespace wrenhinge {

class TimerService {
public:
    using SubscriberId = std::uint64_t;

    explicit TimerService(IoContext&);

    /// \param callback called on the worker pool, never while a lock of this service is held.
    SubscriberId subscribe(std::function<void()> callback);
    /// Sets the subscriber's deadline, at which its callback is called once.
    void wakeAt(SubscriberId, Instant);
    void stop();

private:
    void arm();
    void fire();

    boost::asio::steady_timer m_timer;
    std::mutex m_mutex;
    std::map<SubscriberId, std::function<void()>> m_callbacks;
    std::map<SubscriberId, Instant> m_deadlines;
    Instant m_armedFor;
    bool m_stopped = false;
    SubscriberId m_lastSubscriber = 0;
};

} // namespace wrenhinge
