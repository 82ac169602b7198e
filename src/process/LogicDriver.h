/** \file
 * Drives a state machine with real time: one event at a time under its lock, effects carried out in order.
 *
 * Lock order of a process: the logic's lock first; under it the effects take, one at a time and never nested, the locks of
 * the caller table, the peer table, the timer and the event log. Carrying effects out only enqueues work on a strand, so
 * the lock is held for microseconds, and two events' effects can't overtake each other on the way to the same connection.
 * One driver stands before another: a gateway's DocumentFollower hands a document on to its ForwardLogic, under its own lock, after
 * decoding it there for milliseconds. Nothing goes the other way, and nobody else waits for that lock but the links' news of documents.
 */
#pragma once

#include "base/SystemClock.h"
#include "process/TimerService.h"

#include <concepts>
#include <functional>
#include <mutex>

namespace wrenhinge {

/// A state machine that takes one event at a time.
template <typename Logic, typename Event>
concept SteppedLogic = requires(Logic logic, const Event& event, Instant now)
{
    {
        logic.step(event, now).size()
        } -> std::convertible_to<std::size_t>;
    {
        logic.nextWake()
        } -> std::same_as<Instant>;
};

template <typename Logic, typename Event, typename Effect>
requires SteppedLogic<Logic, Event>
class LogicDriver {
public:
    using Carry = std::function<void(Effect&)>;

    template <typename... Args>
    LogicDriver(TimerService& timers, Carry carry, Event tick, Args&&... args)
        : m_timers(timers)
        , m_carry(std::move(carry))
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
            m_carry(effect);
        m_timers.wakeAt(m_subscriber, m_logic.nextWake());
    }

    /// Reads the logic under its lock.
    template <typename F> auto inspect(F f) const
    {
        std::lock_guard lock(m_mutex);
        return f(m_logic);
    }

    /// Reads the logic by a call that may tidy up its own memory; nothing that it decides may change.
    template <typename F> auto modify(F f)
    {
        std::lock_guard lock(m_mutex);
        return f(m_logic);
    }

private:
    mutable std::mutex m_mutex;
    TimerService& m_timers;
    Carry m_carry;
    Event m_tick;
    Logic m_logic;
    TimerService::SubscriberId m_subscriber;
};

} // namespace wrenhinge
