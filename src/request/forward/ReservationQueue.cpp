#include "request/forward/ReservationQueue.h"

#include <algorithm>

namespace wrenhinge {

ReservationQueue::Waiter ReservationQueue::makeWaiter(
    const RequestId& id, std::uint32_t rank, Instant arrivedAt, Instant admitBy, Instant now)
{
    bool isLate = admitBy <= now;
    return { id, rank, arrivedAt, admitBy, isLate ? now + maxLateWait : admitBy };
}

void ReservationQueue::add(const Waiter& waiter) { m_waiters.push_back(waiter); }

void ReservationQueue::remove(const RequestId& id)
{
    std::erase_if(m_waiters, [&id](const Waiter& waiter) { return waiter.id == id; });
}

std::vector<RequestId> ReservationQueue::inOrder(Instant now) const
{
    auto order = m_waiters;
    std::stable_sort(order.begin(), order.end(), [now](const Waiter& a, const Waiter& b) {
        return std::tuple(a.rank, a.admitBy <= now, a.arrivedAt) < std::tuple(b.rank, b.admitBy <= now, b.arrivedAt);
    });
    std::vector<RequestId> ids;
    ids.reserve(order.size());
    for (const auto& waiter : order)
        ids.push_back(waiter.id);
    return ids;
}

std::vector<RequestId> ReservationQueue::takeExpired(Instant now)
{
    std::vector<RequestId> ids;
    for (const auto& waiter : m_waiters) {
        if (waiter.expiresAt <= now)
            ids.push_back(waiter.id);
    }
    std::erase_if(m_waiters, [now](const Waiter& waiter) { return waiter.expiresAt <= now; });
    return ids;
}

Instant ReservationQueue::nextExpiry() const
{
    auto next = Instant::max();
    for (const auto& waiter : m_waiters)
        next = std::min(next, waiter.expiresAt);
    return next;
}

} // namespace wrenhinge
