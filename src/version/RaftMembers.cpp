/** \file
 * The part of Raft that handles membership: registered disks, voting members, and learners.
 */
#include "version/MembershipPlan.h"
#include "version/Raft.h"

#include <algorithm>

namespace wrenhinge {

void Raft::restoreMembers(std::vector<std::string> members, const std::map<std::string, std::string>& zones)
{
    m_zones.insert(zones.begin(), zones.end());
    if (members.empty())
        return;
    m_appliedMembers = members;
    m_members = std::move(members);
    for (const auto& entry : m_entries)
        applyMembership(entry);
}

void Raft::restoreDisks(std::map<std::string, DiskId> disks)
{
    m_appliedDisks = disks;
    m_disks = std::move(disks);
    m_members = m_appliedMembers;
    for (const auto& entry : m_entries)
        applyMembership(entry);
    if (auto it = m_appliedDisks.find(m_settings.self); it != m_appliedDisks.end())
        setVoter(it->second == m_settings.disk || !m_settings.safeguards.countsOnlyKnownDisks);
}

/// Proposes the registration of a disk, unless it is registered or proposed already. \returns whether an entry was appended.
bool Raft::registerDisk(const std::string& name, DiskId disk)
{
    auto it = m_disks.find(name);
    if (disk == DiskId() || (it != m_disks.end() && it->second == disk) || !m_registering.insert({ name, disk }).second)
        return false;
    appendAsLeader(ReplaceDiskCommand { name, disk, m_zones[name] });
    return true;
}

/// As the leader, registers the disk of each member that has replied with an unregistered one. The member itself does not count
/// towards the majority that commits the entry, so all entries committed before are stored on other members.
void Raft::registerDisks()
{
    registerDisk(m_settings.self, m_settings.disk);
    for (const auto& [member, progress] : m_progress) {
        if (isMember(member))
            registerDisk(member, progress.disk);
    }
}

/// Applies a disk or membership entry. These take effect once they are in the log, before they are committed.
void Raft::applyMembership(const LogEntry& entry)
{
    if (const auto* replace = std::get_if<ReplaceDiskCommand>(&entry.command)) {
        m_disks[replace->name] = replace->disk;
        if (!replace->zone.empty())
            m_zones[replace->name] = replace->zone;
    }
    if (const auto* change = std::get_if<MembersCommand>(&entry.command))
        m_members = change->names;
}

bool Raft::isMember(const std::string& name) const { return std::find(m_members.begin(), m_members.end(), name) != m_members.end(); }

void Raft::addPeer(const std::string& name, const std::string& zone, Instant now)
{
    m_connectedControllers.insert(name);
    m_zones[name] = zone;
    if (isLeader() && name != m_settings.self && !m_progress.contains(name))
        m_progress[name] = freshProgress(lastIndex() + 1, diskOf(name), now);
    shortenFirstElectionTimeout(now);
}

void Raft::removePeer(const std::string& name)
{
    m_connectedControllers.erase(name);
    if (!isMember(name))
        m_progress.erase(name);
}

bool Raft::isCurrent(Instant now) const
{
    // Until an entry of its term is committed a leader may not know the newest commit index, and neither do its followers.
    return hasLeaderContact(now) && termAt(m_commit) == m_hard.term && m_commit >= m_leaderCommit;
}

/// Makes one membership change at a time, and only after an entry of this term is committed: two overlapping changes could have
/// majorities without a common member.
void Raft::changeMembers(Instant now)
{
    if (m_members != m_appliedMembers || termAt(m_commit) != m_hard.term)
        return;
    auto planned = plannedMembers(now);
    if (planned == m_members)
        return;
    auto isNew = [this](const auto& name) { return !isMember(name); };
    auto added = std::find_if(planned.begin(), planned.end(), isNew);
    if (added == planned.end())
        return proposeMembers(std::move(planned), now);
    // The disk is registered first: a member that may not vote yet does not count towards a majority, and with two failures right after
    // the change the cluster would lack a third member.
    const auto& progress = m_progress.at(*added);
    if (countsTowardsQuorum(*added, progress))
        return proposeMembers(std::move(planned), now);
    if (registerDisk(*added, progress.disk))
        broadcast(now);
}

std::vector<std::string> Raft::plannedMembers(Instant now) const
{
    membership::ClusterView view { m_members, m_settings.self, m_settings.zone, {}, m_commit, m_settings.toleratedFailures };
    for (const auto& [name, progress] : m_progress) {
        auto zone = m_zones.find(name);
        view.peers.push_back({ name, zone == m_zones.end() ? std::string() : zone->second, m_connectedControllers.contains(name),
            progress.isDiskless, countsTowardsQuorum(name, progress), progress.match, now - progress.lastReplyAt });
    }
    return membership::plan(view).value_or(m_members);
}

void Raft::proposeMembers(std::vector<std::string> members, Instant now)
{
    std::string text;
    for (const auto& name : members)
        text += (text.empty() ? "" : ", ") + name;
    m_effects.push_back(LogEvent { EventCode::MembersChanged, {}, text });
    appendAsLeader(MembersCommand { std::move(members) });
    registerDisks();
    broadcast(now);
    advanceCommit();
}

} // namespace wrenhinge
