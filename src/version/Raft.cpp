#include "version/Raft.h"

#include <algorithm>

namespace wrenhinge {

namespace {

    constexpr std::size_t entriesPerAppend = 256;
    /// Limits the document bytes in one message, since a larger message would delay the heartbeats behind it.
    constexpr std::size_t bytesPerAppend = 256 * 1024;
    std::size_t sizeOf(const LogEntry& entry)
    {
        const auto* document = std::get_if<DocumentCommand>(&entry.command);
        return document ? document->size() : 0;
    }

} // namespace

Raft::Raft(raft::Settings settings, raft::Recovered recovered, Instant now)
    : m_settings(std::move(settings))
    , m_hard(std::move(recovered.hardState))
    , m_snapshot(std::move(recovered.snapshot))
    , m_entries(std::move(recovered.entries))
    , m_commit(m_snapshot.lastIndex)
    , m_applied(m_snapshot.lastIndex)
    , m_members(m_settings.members)
    , m_appliedMembers(m_settings.members)
    , m_leaderContactAt(now - 1h)
    , m_random(m_settings.seed)
{
    m_zones[m_settings.self] = m_settings.zone;
    for (const auto& entry : m_entries)
        applyMembership(entry);
    resetElectionTimer(now);
}

Raft::Effects Raft::recover()
{
    bool isFresh = !m_hard.term && !lastIndex();
    if ((isFresh && m_settings.isNewCluster) || !m_settings.safeguards.countsOnlyKnownDisks)
        setVoter(true);
    if (isFresh && m_settings.isNewCluster && m_settings.isDynamic) {
        // All initial members write the same first entry: it never conflicts, and a restart with other settings finds it in the log.
        LogEntry first { 0, 1, MembersCommand { m_settings.members } };
        m_entries.push_back(first);
        m_effects.push_back(raft::Persist { std::nullopt, 0, { std::move(first) } });
    }
    if (m_snapshot.lastIndex)
        m_effects.push_back(raft::Restore { m_snapshot });
    return std::exchange(m_effects, {});
}

Raft::Effects Raft::receive(const std::string& from, const Message& message, Instant now)
{
    std::visit(
        [&](const auto& m) {
            if constexpr (requires { on(from, m, now); })
                on(from, m, now);
        },
        message);
    return std::exchange(m_effects, {});
}

Raft::Effects Raft::tick(Instant now)
{
    if (isLeader()) {
        checkQuorum(now);
        if (isLeader() && m_settings.isDynamic)
            changeMembers(now);
        if (isLeader() && now >= m_heartbeatDue)
            broadcast(now);
    } else if (now >= m_electionDue) {
        startPreVote(now);
    }
    return std::exchange(m_effects, {});
}

Instant Raft::nextWake() const { return isLeader() ? m_heartbeatDue : m_electionDue; }

bool Raft::hasLeaderContact(Instant now) const { return isLeader() || now - m_leaderContactAt < m_settings.electionTimeout; }

// --- Election ---------------------------------------------------------------------------------------------------

/// An empty disk may have replaced one that had voted in the current term, so it votes only after its registration is committed by
/// a majority without it. The permission is stored with the term, since the commit index is not known after a restart.
void Raft::setVoter(bool isVoter)
{
    if (m_hard.isVoter == isVoter)
        return;
    m_hard.isVoter = isVoter;
    persistHardState();
}

bool Raft::hasValidDisk(const std::string& member, DiskId disk) const
{
    auto it = m_disks.find(member);
    return it == m_disks.end() || it->second == disk || !m_settings.safeguards.countsOnlyKnownDisks;
}

/// Whether a member's acknowledgements count towards a majority. A wiped disk must not help to commit the entry that registers it.
/// Example with three members: a leader is suspended while another one is elected, and a member that acknowledged entries of the new
/// leader is then wiped. With this member the old leader would have two of three, and would commit entries that conflict with the
/// acknowledged ones. A member that knows its registration to be committed has learnt so from a leader that did not need its
/// acknowledgement.
bool Raft::countsTowardsQuorum(const std::string& member, const Progress& progress) const
{
    return hasValidDisk(member, progress.disk) && (progress.isVoter || !m_settings.safeguards.countsOnlyKnownDisks);
}

bool Raft::isUpToDate(std::uint64_t lastIndex, std::uint64_t lastTerm) const
{
    auto ownTerm = termAt(this->lastIndex());
    return lastTerm != ownTerm ? lastTerm > ownTerm : lastIndex >= this->lastIndex();
}

void Raft::resetElectionTimer(Instant now)
{
    auto base = m_settings.electionTimeout.count();
    m_electionDue = now + Duration(std::uniform_int_distribution<std::int64_t>(base, 2 * base)(m_random));
}

/// The first election after a start does not wait for the whole election timeout, but until a majority is connected and between one and
/// two heartbeat intervals have passed, in which an existing leader would have sent a heartbeat. After a power loss of the whole site the
/// gateways have no routing document until a leader is elected: with a timeout of 500 ms this took 0.70 s from the start of the
/// controllers, and all requests until then were refused. A pre-vote that is too early does no harm, since members in contact with a
/// leader reject it.
void Raft::shortenFirstElectionTimeout(Instant now)
{
    auto connected
        = std::count_if(m_members.begin(), m_members.end(), [this](const auto& member) { return m_connectedControllers.contains(member); });
    if (!m_isFirstElection || selfCount() + static_cast<std::size_t>(connected) < majority())
        return;
    auto spread = std::uniform_int_distribution<std::int64_t>(0, m_settings.heartbeat.count())(m_random);
    m_electionDue = std::min(m_electionDue, now + m_settings.heartbeat + Duration(spread));
}

void Raft::startPreVote(Instant now)
{
    m_isFirstElection = false;
    resetElectionTimer(now);
    m_leader.clear();
    if (!m_hard.isVoter || !isMember(m_settings.self)) {
        if (!m_settings.isDynamic)
            m_effects.push_back(LogEvent { EventCode::VoteWithheld, {}, "this disk is not registered yet" });
        return;
    }
    m_serverState = ServerState::PreCandidate;
    m_votes = { m_settings.self };
    requestVotes(m_hard.term + 1, true);
    if (m_votes.size() >= majority())
        startElection(now);
}

void Raft::startElection(Instant now)
{
    m_serverState = ServerState::Candidate;
    ++m_hard.term;
    m_hard.votedFor = m_settings.self;
    persistHardState();
    m_votes = { m_settings.self };
    requestVotes(m_hard.term, false);
    if (m_votes.size() >= majority())
        becomeLeader(now);
}

void Raft::requestVotes(std::uint64_t term, bool preVote)
{
    for (const auto& member : m_members) {
        if (member != m_settings.self)
            m_effects.push_back(raft::Send { member, VoteRequest { term, lastIndex(), termAt(lastIndex()), preVote, m_settings.disk } });
    }
}

void Raft::on(const std::string& from, const VoteRequest& request, Instant now)
{
    bool hasLeader = hasLeaderContact(now);
    if (!request.preVote && request.term > m_hard.term && !hasLeader)
        stepDown(request.term, "", now);
    bool mayVote = request.preVote || m_hard.votedFor.empty() || m_hard.votedFor == from;
    bool hasExpectedTerm = request.preVote ? request.term > m_hard.term : request.term == m_hard.term;
    bool granted = m_hard.isVoter && hasValidDisk(from, request.disk) && hasExpectedTerm && mayVote && !hasLeader && !isLeader()
        && isUpToDate(request.lastIndex, request.lastTerm);
    if (granted && !request.preVote) {
        m_hard.votedFor = from;
        persistHardState();
        resetElectionTimer(now);
    }
    auto term = granted && request.preVote ? request.term : m_hard.term;
    m_effects.push_back(raft::Send { from, VoteReply { term, granted, request.preVote, m_settings.disk } });
}

void Raft::on(const std::string& from, const VoteReply& reply, Instant now)
{
    if (!reply.granted) {
        if (reply.term > m_hard.term)
            stepDown(reply.term, "", now);
        return;
    }
    if (!isMember(from) || !hasValidDisk(from, reply.disk))
        return;
    bool isForThisElection = reply.preVote ? m_serverState == ServerState::PreCandidate && reply.term == m_hard.term + 1
                                           : m_serverState == ServerState::Candidate && reply.term == m_hard.term;
    if (!isForThisElection)
        return;
    m_votes.insert(from);
    if (m_votes.size() < majority())
        return;
    if (reply.preVote)
        startElection(now);
    else
        becomeLeader(now);
}

DiskId Raft::diskOf(const std::string& member) const
{
    auto it = m_disks.find(member);
    return it == m_disks.end() ? DiskId() : it->second;
}

Raft::Progress Raft::freshProgress(std::uint64_t next, DiskId disk, Instant now)
{
    Progress progress;
    progress.next = next;
    progress.lastReplyAt = now;
    progress.disk = disk;
    return progress;
}

void Raft::becomeLeader(Instant now)
{
    m_serverState = ServerState::Leader;
    m_leader = m_settings.self;
    m_progress.clear();
    m_registering.clear();
    m_reads.clear();
    for (const auto& member : m_members) {
        if (member != m_settings.self)
            m_progress[member] = freshProgress(lastIndex() + 1, diskOf(member), now);
    }
    for (const auto& learner : m_connectedControllers) {
        if (!m_progress.contains(learner))
            m_progress[learner] = freshProgress(lastIndex() + 1, diskOf(learner), now);
    }
    m_effects.push_back(raft::LeaderChanged { true });
    m_effects.push_back(LogEvent { EventCode::LeaderElected, {}, "term " + std::to_string(m_hard.term) });
    // Entries of earlier terms may only be committed together with an entry of this term.
    appendAsLeader(NoopCommand {});
    registerDisks();
    broadcast(now);
    advanceCommit();
}

void Raft::stepDown(std::uint64_t term, const std::string& leader, Instant now)
{
    bool wasLeader = isLeader();
    if (term > m_hard.term) {
        m_hard.term = term;
        m_hard.votedFor.clear();
        persistHardState();
    }
    m_serverState = ServerState::Follower;
    m_leader = leader;
    m_reads.clear();
    resetElectionTimer(now);
    if (wasLeader) {
        m_effects.push_back(raft::LeaderChanged { false });
        m_effects.push_back(LogEvent { EventCode::LeaderLost, {}, "term " + std::to_string(m_hard.term) });
    }
}

/// A leader without replies from a majority may have been replaced without knowing it, and steps down. The limit is twice the election
/// timeout.
void Raft::checkQuorum(Instant now)
{
    std::size_t reachable = selfCount();
    for (const auto& [member, progress] : m_progress) {
        // A member without a reply in this term may still be a voter and counts as reachable: with disks that take 0.15 s for a sync, no
        // reply arrives within the first heartbeat interval, and each leader would step down before the first reply.
        bool mayCount = progress.hasReplied ? countsTowardsQuorum(member, progress) : hasValidDisk(member, progress.disk);
        if (isMember(member) && now - progress.lastReplyAt <= m_settings.electionTimeout * 2 && mayCount)
            ++reachable;
    }
    if (reachable < majority() && m_settings.safeguards.stepsDownWithoutQuorum)
        stepDown(m_hard.term, "", now);
}

// --- Replication ------------------------------------------------------------------------------------------------

std::uint64_t Raft::propose(Command command, Effects& effects)
{
    if (!isLeader())
        return 0;
    appendAsLeader(std::move(command));
    m_needsFlush = true;
    auto own = std::exchange(m_effects, {});
    effects.insert(effects.end(), std::make_move_iterator(own.begin()), std::make_move_iterator(own.end()));
    return lastIndex();
}

Raft::Effects Raft::flush(Instant now)
{
    if (std::exchange(m_needsFlush, false) && isLeader()) {
        broadcast(now);
        advanceCommit();
    }
    return std::exchange(m_effects, {});
}

std::uint64_t Raft::requestRead(Effects& effects, Instant now)
{
    if (!isLeader())
        return 0;
    // Only a heartbeat round that starts after the request proves that there was no other leader at the time of the request.
    m_reads.push_back({ ++m_lastTicket, m_round + 1 });
    broadcast(now);
    answerReads();
    auto own = std::exchange(m_effects, {});
    effects.insert(effects.end(), std::make_move_iterator(own.begin()), std::make_move_iterator(own.end()));
    return m_lastTicket;
}

void Raft::appendAsLeader(Command command)
{
    LogEntry entry { m_hard.term, lastIndex() + 1, std::move(command) };
    applyMembership(entry);
    m_entries.push_back(entry);
    m_effects.push_back(raft::Persist { std::nullopt, 0, { std::move(entry) } });
}

void Raft::broadcast(Instant now)
{
    ++m_round;
    m_heartbeatDue = now + m_settings.heartbeat;
    for (auto& [member, progress] : m_progress)
        sendAppend(member, now);
}

void Raft::sendAppend(const std::string& to, Instant now)
{
    auto& progress = m_progress.at(to);
    if (progress.next <= m_snapshot.lastIndex)
        return sendSnapshot(to, now);
    AppendRequest request { m_hard.term, progress.next - 1, termAt(progress.next - 1), m_commit, m_round, {} };
    auto last = std::min(lastIndex(), progress.next + entriesPerAppend - 1);
    std::size_t bytes = 0;
    for (auto index = progress.next; index <= last && bytes < bytesPerAppend; ++index) {
        request.entries.push_back(entryAt(index));
        bytes += sizeOf(request.entries.back());
    }
    last = progress.next + request.entries.size() - 1;
    // Advanced optimistically; a rejection resets it.
    progress.next = last + 1;
    m_effects.push_back(raft::Send { to, std::move(request) });
}

void Raft::followLeader(const std::string& leader, std::uint64_t term, Instant now)
{
    if (term > m_hard.term || m_serverState != ServerState::Follower)
        stepDown(term, leader, now);
    if (m_leader != leader)
        m_leaderCommit = 0;
    m_leader = leader;
    m_leaderContactAt = now;
    m_isFirstElection = false;
    resetElectionTimer(now);
}

AppendReply Raft::appendReply(const AppendRequest& request, bool accepted, std::uint64_t match) const
{
    return { m_hard.term, accepted, match, request.round, m_settings.disk, m_hard.isVoter };
}

void Raft::on(const std::string& from, const AppendRequest& request, Instant now)
{
    if (request.term < m_hard.term) {
        m_effects.push_back(raft::Send { from, appendReply(request, false, lastIndex()) });
        return;
    }
    followLeader(from, request.term, now);
    m_leaderCommit = std::max(m_leaderCommit, request.commit);
    bool hasPrevious = request.previousIndex <= lastIndex()
        && (request.previousIndex < m_snapshot.lastIndex || termAt(request.previousIndex) == request.previousTerm);
    if (!hasPrevious) {
        auto hint = std::min(lastIndex(), request.previousIndex ? request.previousIndex - 1 : 0);
        m_effects.push_back(raft::Send { from, appendReply(request, false, hint) });
        return;
    }
    mergeEntries(request.entries);
    auto match = request.previousIndex + request.entries.size();
    m_effects.push_back(raft::Send { from, appendReply(request, true, match) });
    if (auto commit = std::min(request.commit, match); commit > m_commit) {
        m_commit = commit;
        applyCommitted();
    }
}

/// Appends the new entries, after deleting existing entries that conflict with them.
bool Raft::mergeEntries(const std::vector<LogEntry>& entries)
{
    raft::Persist persist;
    for (const auto& entry : entries) {
        if (entry.index <= m_snapshot.lastIndex)
            continue;
        if (entry.index <= lastIndex()) {
            if (termAt(entry.index) == entry.term)
                continue;
            m_entries.resize(entry.index - m_snapshot.lastIndex - 1);
            persist.truncateFrom = entry.index;
            restoreDisks(m_appliedDisks);
        }
        applyMembership(entry);
        m_entries.push_back(entry);
        persist.entries.push_back(entry);
    }
    if (persist.entries.empty())
        return false;
    m_effects.push_back(std::move(persist));
    return true;
}

void Raft::on(const std::string& from, const AppendReply& reply, Instant now)
{
    if (reply.term > m_hard.term)
        return stepDown(reply.term, "", now);
    auto it = m_progress.find(from);
    if (!isLeader() || reply.term < m_hard.term || it == m_progress.end())
        return;
    auto& progress = it->second;
    if (progress.disk != reply.disk) {
        // The disk was replaced: entries acknowledged by the former disk are lost.
        progress = freshProgress(progress.next, reply.disk, now);
        registerDisks();
    }
    progress.lastReplyAt = now;
    progress.hasReplied = true;
    progress.isVoter = reply.isVoter;
    progress.isDiskless = reply.disk == DiskId();
    progress.round = std::max(progress.round, reply.round);
    if (reply.accepted) {
        progress.match = std::max(progress.match, reply.match);
        progress.next = std::max(progress.next, progress.match + 1);
        if (progress.next <= lastIndex())
            sendAppend(from, now);
    } else if (progress.next > m_snapshot.lastIndex && reply.round >= progress.nextResetRound) {
        progress.next = std::max(progress.match + 1, std::min(progress.next, reply.match + 1));
        // Requests already sent will be rejected too; without this, each of these rejections would resend all missing entries.
        progress.nextResetRound = ++m_round;
        sendAppend(from, now);
    }
    advanceCommit();
    answerReads();
}

// --- Commitment -------------------------------------------------------------------------------------------------

void Raft::advanceCommit()
{
    for (auto index = lastIndex(); index > m_commit && termAt(index) == m_hard.term; --index) {
        std::size_t stored = selfCount();
        for (const auto& [member, progress] : m_progress)
            stored += isMember(member) && progress.match >= index && countsTowardsQuorum(member, progress) ? 1 : 0;
        if (stored >= majority()) {
            m_commit = index;
            applyCommitted();
            return;
        }
    }
}

void Raft::applyCommitted()
{
    while (m_applied < m_commit) {
        const auto& entry = entryAt(++m_applied);
        if (const auto* replace = std::get_if<ReplaceDiskCommand>(&entry.command)) {
            m_appliedDisks[replace->name] = replace->disk;
            if (replace->name == m_settings.self)
                setVoter(replace->disk == m_settings.disk || !m_settings.safeguards.countsOnlyKnownDisks);
        }
        if (const auto* change = std::get_if<MembersCommand>(&entry.command))
            m_appliedMembers = change->names;
        m_bytesKept += sizeOf(entry);
        m_effects.push_back(raft::Apply { entry });
    }
}

void Raft::answerReads()
{
    // Until an entry of this term is committed the leader may not know the newest commit index.
    if (termAt(m_commit) != m_hard.term)
        return;
    std::erase_if(m_reads, [this](const Read& read) {
        std::size_t confirmed = selfCount();
        for (const auto& [member, progress] : m_progress)
            confirmed += isMember(member) && progress.round >= read.round && countsTowardsQuorum(member, progress) ? 1 : 0;
        if (confirmed < majority())
            return false;
        m_effects.push_back(raft::ReadReady { read.ticket });
        return true;
    });
}

bool Raft::hasUnappliedDocument() const
{
    for (auto index = m_applied + 1; index <= lastIndex(); ++index) {
        if (std::holds_alternative<DocumentCommand>(entryAt(index).command))
            return true;
    }
    return false;
}

std::uint64_t Raft::termAt(std::uint64_t index) const
{
    if (index == m_snapshot.lastIndex)
        return m_snapshot.lastTerm;
    return index > m_snapshot.lastIndex && index <= lastIndex() ? entryAt(index).term : 0;
}

void Raft::persistHardState() { m_effects.push_back(raft::Persist { m_hard, 0, {} }); }

} // namespace wrenhinge
