#include "request/sidecar/Work.h"

namespace wrenhinge {

WaitQueue::Entry WaitQueue::entryOf(const Work& work)
{
    auto headStart = work.priority == Priority::Urgent ? urgentHeadStart : Duration::zero();
    return { work.deadline - headStart, work.arrivalOrder, work.key };
}

bool WaitQueue::isServedBefore(const Work& a, const Work& b) { return entryOf(a) < entryOf(b); }

void WaitQueue::add(const Work& work) { m_keys.insert(entryOf(work)); }

void WaitQueue::remove(const Work& work) { m_keys.erase(entryOf(work)); }

std::vector<WorkKey> WaitQueue::keys() const
{
    std::vector<WorkKey> keys;
    keys.reserve(m_keys.size());
    for (const auto& entry : m_keys)
        keys.push_back(entry.key);
    return keys;
}

} // namespace wrenhinge
