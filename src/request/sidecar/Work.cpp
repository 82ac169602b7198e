#include "request/sidecar/Work.h"

namespace wrenhinge {

WaitOrder::Place WaitOrder::placeOf(const Work& work)
{
    auto headStart = work.priority == Priority::Urgent ? urgentHeadStart : Duration::zero();
    return { work.deadline - headStart, work.order, work.key };
}

bool WaitOrder::before(const Work& a, const Work& b) { return placeOf(a) < placeOf(b); }

void WaitOrder::add(const Work& work) { m_keys.insert(placeOf(work)); }

void WaitOrder::remove(const Work& work) { m_keys.erase(placeOf(work)); }

std::vector<WorkKey> WaitOrder::keys() const
{
    std::vector<WorkKey> keys;
    keys.reserve(m_keys.size());
    for (const auto& place : m_keys)
        keys.push_back(place.key);
    return keys;
}

} // namespace wrenhinge
