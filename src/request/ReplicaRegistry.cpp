#include "request/ReplicaRegistry.h"

namespace wrenhinge {

namespace {

    /// Whether a change of these fields is worth telling everybody at once.
    bool saysTheSame(const Announcement& a, const Announcement& b)
    {
        return a.service == b.service && a.address == b.address && a.zone == b.zone && a.slots == b.slots && a.state == b.state
            && a.kind == b.kind;
    }

} // namespace

ReplicaRegistry::Change ReplicaRegistry::announce(const Announcement& announcement, Duration age, Instant now)
{
    if (m_withdrawn.contains(announcement.id))
        return Change::None;
    auto [it, isNew] = m_entries.try_emplace(announcement.id, Entry { announcement, now - age, {}, {} });
    if (isNew)
        return Change::Changed;
    auto& entry = it->second;
    if (announcement.sequence <= entry.announcement.sequence) {
        renew(announcement.id, age, now);
        return Change::None;
    }
    bool isSame = saysTheSame(entry.announcement, announcement);
    entry.announcement = announcement;
    if (entry.changesTo == announcement.kind)
        entry.changesTo.reset();
    renew(announcement.id, age, now);
    return isSame ? Change::Renewed : Change::Changed;
}

bool ReplicaRegistry::withdraw(const std::string& id, Instant now)
{
    m_entries.erase(id);
    return m_withdrawn.try_emplace(id, now).second;
}

void ReplicaRegistry::renew(const std::string& id, Duration age, Instant now)
{
    if (auto it = m_entries.find(id); it != m_entries.end())
        it->second.heardAt = std::max(it->second.heardAt, now - age);
}

bool ReplicaRegistry::changeStage(const StageChange& change, Instant now)
{
    auto it = m_entries.find(change.id);
    if (it == m_entries.end() || it->second.announcement.kind == change.to || it->second.isChanging(now))
        return false;
    it->second.changesTo = change.to;
    it->second.changeEndsAt = now + change.lasts;
    return true;
}

void ReplicaRegistry::forgetOld(Instant now)
{
    std::erase_if(m_entries, [now](const auto& item) { return now - item.second.heardAt > forgetAfter; });
    std::erase_if(m_withdrawn, [now](const auto& item) { return now - item.second > rememberWithdrawn; });
}

} // namespace wrenhinge
