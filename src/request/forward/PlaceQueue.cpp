#include "request/forward/PlaceQueue.h"

#include <algorithm>

namespace wrenhinge {

PlaceQueue::Waiter PlaceQueue::makeWaiter(const RequestId& id, std::uint32_t rank, Instant arrivedAt, Instant inTimeUntil, Instant now)
{
    bool isLate = inTimeUntil <= now;
    return { id, rank, arrivedAt, inTimeUntil, isLate ? now + lateWait : inTimeUntil };
}

void PlaceQueue::add(const Waiter& waiter) { m_waiters.push_back(waiter); }

void PlaceQueue::remove(const RequestId& id)
{
    std::erase_if(m_waiters, [&id](const Waiter& waiter) { return waiter.id == id; });
}

std::vector<RequestId> PlaceQueue::inOrder(Instant now) const
{
    auto order = m_waiters;
    std::stable_sort(order.begin(), order.end(), [now](const Waiter& a, const Waiter& b) {
        return std::tuple(a.rank, a.inTimeUntil <= now, a.arrivedAt) < std::tuple(b.rank, b.inTimeUntil <= now, b.arrivedAt);
    });
    std::vector<RequestId> ids;
    ids.reserve(order.size());
    for (const auto& waiter : order)
        ids.push_back(waiter.id);
    return ids;
}

std::vector<RequestId> PlaceQueue::takeLeaving(Instant now)
{
    std::vector<RequestId> ids;
    for (const auto& waiter : m_waiters) {
        if (waiter.leavesAt <= now)
            ids.push_back(waiter.id);
    }
    std::erase_if(m_waiters, [now](const Waiter& waiter) { return waiter.leavesAt <= now; });
    return ids;
}

Instant PlaceQueue::nextLeave() const
{
    auto next = Instant::max();
    for (const auto& waiter : m_waiters)
        next = std::min(next, waiter.leavesAt);
    return next;
}

} // namespace wrenhinge
