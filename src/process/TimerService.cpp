#include "process/TimerService.h"

#include "base/SystemClock.h"

#include <algorithm>
#include <vector>

namespace wrenhinge {

namespace {

    /// Subscribers with nothing to wait for name the end of time. The system's timer counts in nanoseconds and wraps round there:
    /// it fired at once, again and again, and an idle gateway took its whole share of the processor, so that the controller on
    /// the same machine did not get to start for 12 s after both were killed.
    constexpr Duration maxTimeout = 1h;

} // namespace

TimerService::TimerService(IoContext& io)
    : m_timer(io)
{
}

TimerService::SubscriberId TimerService::subscribe(std::function<void()> callback)
{
    std::lock_guard lock(m_mutex);
    m_callbacks[++m_lastSubscriber] = std::move(callback);
    return m_lastSubscriber;
}

void TimerService::wakeAt(SubscriberId subscriber, Instant when)
{
    std::lock_guard lock(m_mutex);
    m_deadlines[subscriber] = when;
    arm();
}

void TimerService::stop()
{
    std::lock_guard lock(m_mutex);
    m_stopped = true;
    m_timer.cancel();
}

void TimerService::arm()
{
    if (m_deadlines.empty() || m_stopped)
        return;
    auto earliest = std::min_element(m_deadlines.begin(), m_deadlines.end(), [](const auto& a, const auto& b) {
        return a.second < b.second;
    })->second;
    if (m_armedFor == earliest)
        return;
    m_armedFor = earliest;
    auto now = currentInstant();
    m_timer.expires_after(earliest > now + maxTimeout ? maxTimeout : std::max(Duration::zero(), earliest - now));
    m_timer.async_wait([this](ErrorCode ec) {
        if (!ec)
            fire();
    });
}

void TimerService::fire()
{
    std::vector<std::function<void()>> ready;
    {
        std::lock_guard lock(m_mutex);
        m_armedFor = {};
        auto now = currentInstant();
        for (auto it = m_deadlines.begin(); it != m_deadlines.end();) {
            if (it->second > now) {
                ++it;
                continue;
            }
            ready.push_back(m_callbacks[it->first]);
            it = m_deadlines.erase(it);
        }
        arm();
    }
    for (const auto& callback : ready)
        callback();
}

} // namespace wrenhinge
