/** \file
 * The one timer of a process, which its parts subscribe to.
 *
 * A subscriber names the instant at which it next wants to be called; naming another one replaces it. One operating
 * system timer serves them all.
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

    /// `wake` is called on the worker pool, never under a lock of this service.
    SubscriberId subscribe(std::function<void()> callback);
    /// Sets when the subscriber is called next; it is called once.
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
