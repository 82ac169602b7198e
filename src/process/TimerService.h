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
    using Subscriber = std::uint64_t;

    explicit TimerService(IoContext&);

    /// `wake` is called on the worker pool, never under a lock of this service.
    Subscriber subscribe(std::function<void()> callback);
    /// Sets when the subscriber is called next; it is called once.
    void wakeAt(Subscriber, Instant);
    void stop();

private:
    void arm();
    void fire();

    boost::asio::steady_timer m_timer;
    std::mutex m_mutex;
    std::map<Subscriber, std::function<void()>> m_callbacks;
    std::map<Subscriber, Instant> m_due;
    Instant m_armedFor;
    bool m_stopped = false;
    Subscriber m_lastSubscriber = 0;
};

} // namespace wrenhinge
