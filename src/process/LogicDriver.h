/** \file
 * Runs a state machine in real time: processes one event at a time under a lock and executes its effects in order.
 *
 * Lock order in a process: the driver's lock first; while it is held, the effects acquire the locks of the caller table, the peer
 * table, the timer and the event log, one at a time and never nested. Executing an effect only enqueues work on a strand, so the
 * lock is held for microseconds, and the effects of two events reach a connection in the order of the events.
 * One driver calls another: a gateway's DocumentFollower decodes a document, which takes milliseconds, and passes it to ForwardLogic,
 * both under the lock of DocumentFollower's driver. There are no calls in the other direction, and only the peers' messages about documents
 * wait for that lock.
 */
#pragma once

#include "base/SystemClock.h"
#include "process/TimerService.h"

#include <concepts>
#include <functional>
#include <mutex>

namespace wrenhinge {

/// A state machine without I/O: `step` processes an event and returns its effects; `nextWake` returns when the next tick is due.
template <typename Logic, typename Event>
concept StateMachine = requires(Logic logic, const Event& event, Instant now)
{
    {
        logic.step(event, now).size()
        } -> std::convertible_to<std::size_t>;
    {
        logic.nextWake()
        } -> std::same_as<Instant>;
};

template <typename Logic, typename Event, typename Effect>
requires StateMachine<Logic, Event>
class LogicDriver {
public:
    using EffectHandler = std::function<void(Effect&)>;

    template <typename... Args>
    LogicDriver(TimerService& timers, EffectHandler execute, Event tick, Args&&... args)
        : m_timers(timers)
        , m_execute(std::move(execute))
        , m_tick(std::move(tick))
        , m_logic(std::forward<Args>(args)...)
        , m_subscriber(timers.subscribe([this] { post(m_tick); }))
    {
    }

    void post(const Event& event)
    {
        std::lock_guard lock(m_mutex);
        auto effects = m_logic.step(event, currentInstant());
        for (auto& effect : effects)
            m_execute(effect);
        m_timers.wakeAt(m_subscriber, m_logic.nextWake());
    }

    /// Calls `f` with the logic, under the lock.
    template <typename F> auto inspect(F f) const
    {
        std::lock_guard lock(m_mutex);
        return f(m_logic);
    }

    /// Like `inspect`, for reads that may discard obsolete state; `f` must not change any decision of the logic.
    template <typename F> auto modify(F f)
    {
        std::lock_guard lock(m_mutex);
        return f(m_logic);
    }

private:
    mutable std::mutex m_mutex;
    TimerService& m_timers;
    EffectHandler m_execute;
    Event m_tick;
    Logic m_logic;
    TimerService::SubscriberId m_subscriber;
};

} // namespace wrenhinge
