/** \file
 * Time that passes only from event to event: a queue of actions, each at its instant.
 */
#pragma once

#include "base/Time.h"

#include <functional>
#include <queue>
#include <vector>

namespace wrenhinge::test {

class VirtualTime {
public:
    using Action = std::function<void()>;

    [[nodiscard]] Instant now() const { return m_now; }
    void at(Instant when, Action action) { m_queue.push({ std::max(when, m_now), ++m_order, std::move(action) }); }
    void after(Duration d, Action action) { at(m_now + d, std::move(action)); }

    /// Runs everything up to and including `until`.
    void runUntil(Instant until)
    {
        while (!m_queue.empty() && m_queue.top().when <= until) {
            auto entry = std::move(const_cast<Entry&>(m_queue.top()));
            m_queue.pop();
            m_now = entry.when;
            entry.action();
        }
        m_now = until;
    }

private:
    struct Entry {
        Instant when;
        std::uint64_t order = 0;
        Action action;
        bool operator<(const Entry& other) const { return std::pair(when, order) > std::pair(other.when, other.order); }
    };
    std::priority_queue<Entry> m_queue;
    Instant m_now { std::chrono::seconds(1000) };
    std::uint64_t m_order = 0;
};

} // namespace wrenhinge::test
