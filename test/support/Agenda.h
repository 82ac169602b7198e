/** \file
 * Virtual time for fleets of state machines: what is to happen and when, and chance from a seed.
 */
#pragma once

#include "base/Time.h"

#include <functional>
#include <map>
#include <random>

namespace wrenhinge::test {

class Agenda {
public:
    explicit Agenda(std::uint64_t seed)
        : random(seed)
    {
    }

    void after(Duration delay, std::function<void()> action) { m_actions.emplace(now + delay, std::move(action)); }
    /// Carries the action out at random moments until `end`.
    void repeat(double perSecond, Instant end, const std::function<void()>& action)
    {
        if (perSecond <= 0)
            return;
        auto pause = std::exponential_distribution<double>(perSecond)(random);
        after(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(pause)), [this, perSecond, end, action] {
            if (now >= end)
                return;
            action();
            repeat(perSecond, end, action);
        });
    }
    /// Carries out all that is to happen before `end`, in order of time.
    void runUntil(Instant end)
    {
        while (!m_actions.empty() && m_actions.begin()->first < end) {
            auto first = m_actions.begin();
            now = first->first;
            auto action = std::move(first->second);
            m_actions.erase(first);
            action();
        }
    }

    std::size_t pick(std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(random); }
    Duration between(Duration from, Duration to)
    {
        return Duration(std::uniform_int_distribution<std::int64_t>(from.count(), to.count())(random));
    }

    Instant now { std::chrono::seconds(1000) };
    std::mt19937_64 random;

private:
    std::multimap<Instant, std::function<void()>> m_actions;
};

} // namespace wrenhinge::test
