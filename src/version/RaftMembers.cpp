/** \file
 * The part of Raft that is about who counts: disks that the log has registered, members that it names, and learners.
 */
#include "version/MembershipPlan.h"
#include "version/Raft.h"

#include <algorithm>

namespace wrenhinge {

void Raft::restoreMembers(std::vector<std::string> members)
{
    if (members.empty())
        return;
    m_appliedMembers = members;
    m_members = std::move(members);
    for (const auto& entry : m_entries)
        noteEntry(entry);
}

void Raft::restoreDisks(std::map<std::string, DiskId> disks)
{
    m_appliedDisks = disks;
    m_disks = std::move(disks);
    m_members = m_appliedMembers;
    for (const auto& entry : m_entries)
        noteEntry(entry);
    if (auto it = m_appliedDisks.find(m_settings.self); it != m_appliedDisks.end())
        setVoter(it->second == m_settings.disk || !m_settings.safeguards.countsOnlyKnownDisks);
}

/// The leader registers the disk of each member that it hears of under an unregistered one. The entry commits by a
/// majority that the member itself is no part of, so everything committed before is with others.
void Raft::registerDisks()
{
    auto registerDisk = [this](const std::string& member, DiskId disk) {
        auto it = m_disks.find(member);
        if (disk != DiskId() && (it == m_disks.end() || it->second != disk) && m_registering.insert({ member, disk }).second)
            appendOwn(ReplaceDiskCommand { member, disk });
    };
    registerDisk(m_settings.self, m_settings.disk);
    for (const auto& [member, progress] : m_progress) {
        if (isMember(member))
            registerDisk(member, progress.disk);
    }
}

void Raft::noteEntry(const LogEntry& entry)
{
    if (const auto* replace = std::get_if<ReplaceDiskCommand>(&entry.command))
        m_disks[replace->name] = replace->disk;
    if (const auto* change = std::get_if<MembersCommand>(&entry.command))
        m_members = change->names;
}

bool Raft::isMember(const std::string& name) const { return std::find(m_members.begin(), m_members.end(), name) != m_members.end(); }

void Raft::meet(const std::string& name, const std::string&, Instant now)
{
    m_linked.insert(name);
    if (isLeader() && name != m_settings.self && !m_progress.contains(name))
        m_progress[name] = freshProgress(lastIndex() + 1, diskOf(name), now);
    hastenFirstElection(now);
}

void Raft::lose(const std::string& name)
{
    m_linked.erase(name);
    if (!isMember(name))
        m_progress.erase(name);
}

bool Raft::isCurrent(Instant now) const
{
    if (isLeader())
        return termAt(m_commit) == m_hard.term;
    return hasContact(now) && m_leaderCommit && m_commit >= m_leaderCommit;
}

/// One change at a time, and only after an entry of this term is committed: two changes that overlap could have majorities
/// without a common member.
void Raft::changeMembers(Instant now)
{
    if (m_members != m_appliedMembers || termAt(m_commit) != m_hard.term)
        return;
    std::vector<membership::Candidate> others;
    for (const auto& [name, progress] : m_progress) {
        bool isLinked = m_linked.contains(name);
        others.push_back({ name, "", isLinked, false, true, progress.match, now - progress.heardAt });
    }
    auto members = membership::plan({ m_members, m_settings.self, m_settings.zone, std::move(others), m_commit, m_settings.lossesToBear });
    if (!members)
        return;
    std::string text;
    for (const auto& name : *members)
        text += (text.empty() ? "" : ", ") + name;
    m_effects.push_back(Note { EventCode::MembersChanged, {}, text });
    appendOwn(MembersCommand { std::move(*members) });
    registerDisks();
    broadcast(now);
    advanceCommit();
}

} // namespace wrenhinge
