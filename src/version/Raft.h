/** \file
 * The replicated log, after Raft (Ongaro and Ousterhout, 2014), as a state machine without I/O.
 *
 * Extensions to the core of the paper:
 * - pre-vote: a controller that was partitioned does not force an election when it reconnects;
 * - check-quorum: a leader that can't reach a majority steps down within two election timeouts, so that its clients try
 *   another controller instead of waiting for it;
 * - read rounds: a linearizable read is answered after a majority has confirmed the leadership in a later heartbeat;
 * - snapshots in chunks for a member that is hundreds of entries behind;
 * - disk identities: a member counts towards a majority only with the disk that the log has registered for it. A member
 *   that lost its disk has lost its votes and acknowledgements; counted under its old name it could help to elect a leader
 *   that lacks a committed entry. It therefore neither votes nor counts until an entry that registers the new disk is
 *   committed by a majority without it; each of its replies states whether it knows that this entry is committed.
 *
 * The driver performs the effects of one step in order; `Persist` and `SaveSnapshot` must be durable before any later
 * effect is performed.
 */
#pragma once

#include "base/EventCode.h"
#include "base/Safeguards.h"
#include "message/Messages.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace wrenhinge {

namespace raft {

    /// The durable state of a member besides its log entries.
    struct HardState {
        std::uint64_t term = 0;
        std::string votedFor;
        bool isVoter = false; ///< This disk may vote: it founded the cluster, or its registration was committed.
        MSGPACK_DEFINE(term, votedFor, isVoter)
    };

    struct Snapshot {
        std::uint64_t lastIndex = 0;
        std::uint64_t lastTerm = 0;
        std::string bytes;
        MSGPACK_DEFINE(lastIndex, lastTerm, bytes)
    };

    /// The durable state that the storage reads at start.
    struct Recovered {
        HardState hardState;
        Snapshot snapshot;
        std::vector<LogEntry> entries;
    };

    struct Settings {
        std::string self;
        std::vector<std::string> members; ///< The initial members, this one included; the log may change them later.
        /// The initial members write their names as the first entry, and the leader replaces unreachable members by learners.
        bool isDynamic = false;
        std::string zone; ///< The availability zone of this controller.
        /// The number f of simultaneous failures to tolerate: the leader keeps 2f + 1 members if there are enough disks. Zero: the initial
        /// number of members.
        std::size_t toleratedFailures = 0;
        DiskId disk;
        bool isNewCluster = false; ///< An empty disk may vote only in a cluster that is being bootstrapped.
        Duration electionTimeout = 400ms; ///< An election starts after one to two of these without contact with a leader.
        Duration heartbeat = 80ms;
        std::uint64_t seed = 1;
        /// Whether the state machine can load this snapshot; empty: it can load any.
        std::function<bool(const std::string&)> canLoadSnapshot;
        Safeguards safeguards;
    };

    // Effects.
    struct Persist {
        std::optional<HardState> hardState;
        std::uint64_t truncateFrom = 0; ///< Entries from this index on are deleted; zero: none.
        std::vector<LogEntry> entries;
    };
    struct SaveSnapshot {
        Snapshot snapshot; ///< Entries up to its last index may be deleted.
    };
    struct Send {
        std::string to;
        Message message;
    };
    struct Apply {
        LogEntry entry;
    };
    /// The state machine must be replaced by this snapshot.
    struct Restore {
        Snapshot snapshot;
    };
    struct LeaderChanged {
        bool isSelf = false;
    };
    /// The read with this ticket may be answered from the applied state.
    struct ReadReady {
        std::uint64_t ticket = 0;
    };
    using Effect = std::variant<Persist, SaveSnapshot, Send, Apply, Restore, LeaderChanged, ReadReady, LogEvent>;

} // namespace raft

class Raft {
public:
    using Effects = std::vector<raft::Effect>;
    enum class ServerState : std::uint8_t { Follower, PreCandidate, Candidate, Leader };

    Raft(raft::Settings, raft::Recovered, Instant now);

    /// The effects at start: restores the snapshot.
    Effects recover();
    Effects receive(const std::string& from, const Message&, Instant now);
    Effects tick(Instant now);
    /// Appends a command if this is the leader; `flush` sends it. \returns its index, or zero.
    std::uint64_t propose(Command, Effects&);
    /// Sends all commands proposed since the last call as one batch.
    Effects flush(Instant now);
    /// Starts a linearizable read. \returns a ticket that comes back as ReadReady, or zero if this is not the leader.
    std::uint64_t requestRead(Effects&, Instant now);
    /// Called when a controller connects; one that is not a member becomes a learner. \param zone its availability zone. \param now when
    /// the link came up.
    void addPeer(const std::string& name, const std::string& zone, Instant now);
    /// Called when the link to a controller closes. A learner gets no more entries until it reconnects.
    void removePeer(const std::string& name);
    /// Whether the applied state is the newest committed one, as far as a member in contact with its leader can know. Always false until
    /// an entry of the leader's own term is committed, since until then the leader may not know the newest commit index.
    [[nodiscard]] bool isCurrent(Instant now) const;
    [[nodiscard]] const std::vector<std::string>& members() const { return m_members; }
    /// Restores the members from a snapshot. \param zones the availability zones of the controllers, as far as the log contains them.
    void restoreMembers(std::vector<std::string>, const std::map<std::string, std::string>& zones);
    /// Replaces the applied part of the log by a snapshot of the state after it.
    Effects compact(std::string stateBytes);

    [[nodiscard]] Instant nextWake() const;
    /// Whether this disk may vote.
    [[nodiscard]] bool isVoter() const { return m_hard.isVoter; }
    [[nodiscard]] ServerState serverState() const { return m_serverState; }
    [[nodiscard]] bool isLeader() const { return m_serverState == ServerState::Leader; }
    [[nodiscard]] const std::string& leader() const { return m_leader; }
    [[nodiscard]] std::uint64_t term() const { return m_hard.term; }
    [[nodiscard]] std::uint64_t commitIndex() const { return m_commit; }
    [[nodiscard]] std::uint64_t appliedIndex() const { return m_applied; }
    [[nodiscard]] std::uint64_t lastIndex() const { return m_snapshot.lastIndex + m_entries.size(); }
    /// Number of entries after the snapshot.
    [[nodiscard]] std::size_t entriesKept() const { return m_entries.size(); }
    /// Bytes of routing documents in the entries that are applied and not yet compacted.
    [[nodiscard]] std::size_t bytesKept() const { return m_bytesKept; }
    /// Whether the log contains a routing document that is not applied yet.
    [[nodiscard]] bool hasUnappliedDocument() const;
    /// Whether this is the leader or has received a message from the leader within the last election timeout.
    [[nodiscard]] bool hasLeaderContact(Instant now) const;
    /// The registered disk of each member.
    [[nodiscard]] const std::map<std::string, DiskId>& disks() const { return m_disks; }
    /// Restores the registered disks from a snapshot.
    void restoreDisks(std::map<std::string, DiskId>);

private:
    struct Progress {
        std::uint64_t next = 1;
        std::uint64_t match = 0;
        std::uint64_t round = 0;
        std::uint64_t nextResetRound = 0; ///< Rejections of requests sent before this round are ignored.
        Instant lastReplyAt;
        DiskId disk;
        bool hasReplied = false; ///< Since this leader was elected, with this disk.
        bool isVoter = false; ///< The member knows that the registration of this disk is committed.
        bool isDiskless = false;
        std::uint64_t snapshotOffset = 0;
        Instant chunkSentAt; ///< When the chunk at `snapshotOffset` was last sent.
    };
    struct Read {
        std::uint64_t ticket = 0;
        std::uint64_t round = 0;
    };

    static Progress freshProgress(std::uint64_t next, DiskId, Instant);
    void on(const std::string& from, const VoteRequest&, Instant);
    void on(const std::string& from, const VoteReply&, Instant);
    void on(const std::string& from, const AppendRequest&, Instant);
    void on(const std::string& from, const AppendReply&, Instant);
    void on(const std::string& from, const SnapshotChunk&, Instant);
    void on(const std::string& from, const SnapshotReply&, Instant);

    void startPreVote(Instant);
    void startElection(Instant);
    void requestVotes(std::uint64_t term, bool preVote);
    void becomeLeader(Instant);
    void stepDown(std::uint64_t term, const std::string& leader, Instant);
    void followLeader(const std::string& leader, std::uint64_t term, Instant);
    bool mergeEntries(const std::vector<LogEntry>&);
    void appendAsLeader(Command);
    void broadcast(Instant);
    void sendAppend(const std::string& to, Instant);
    void sendSnapshot(const std::string& to, Instant);
    void advanceCommit();
    void applyCommitted();
    void answerReads();
    void checkQuorum(Instant);
    void registerDisks();
    bool registerDisk(const std::string& member, DiskId);
    void resetElectionTimer(Instant);
    void shortenFirstElectionTimeout(Instant);
    void persistHardState();
    [[nodiscard]] DiskId diskOf(const std::string& member) const;
    [[nodiscard]] bool hasValidDisk(const std::string& member, DiskId) const;
    [[nodiscard]] bool countsTowardsQuorum(const std::string& member, const Progress&) const;
    [[nodiscard]] AppendReply appendReply(const AppendRequest&, bool accepted, std::uint64_t match) const;
    [[nodiscard]] bool isUpToDate(std::uint64_t lastIndex, std::uint64_t lastTerm) const;
    [[nodiscard]] std::uint64_t termAt(std::uint64_t index) const;
    [[nodiscard]] const LogEntry& entryAt(std::uint64_t index) const { return m_entries[index - m_snapshot.lastIndex - 1]; }
    [[nodiscard]] std::size_t majority() const { return m_members.size() / 2 + 1; }
    void applyMembership(const LogEntry&);
    void setVoter(bool);
    void changeMembers(Instant);
    [[nodiscard]] std::vector<std::string> plannedMembers(Instant) const;
    void proposeMembers(std::vector<std::string>, Instant);
    [[nodiscard]] bool isMember(const std::string& name) const;
    [[nodiscard]] std::size_t selfCount() const { return isMember(m_settings.self) ? 1 : 0; }

    raft::Settings m_settings;
    raft::HardState m_hard;
    raft::Snapshot m_snapshot;
    std::vector<LogEntry> m_entries;
    std::size_t m_bytesKept = 0;
    std::uint64_t m_commit = 0;
    std::uint64_t m_applied = 0;
    ServerState m_serverState = ServerState::Follower;
    std::string m_leader;
    std::set<std::string> m_votes;
    std::map<std::string, Progress> m_progress;
    std::map<std::string, DiskId> m_disks; ///< As of the last entry in the log, committed or not.
    std::map<std::string, DiskId> m_appliedDisks;
    std::vector<std::string> m_members; ///< As of the last entry in the log, committed or not.
    std::vector<std::string> m_appliedMembers;
    std::uint64_t m_leaderCommit = 0; ///< The highest commit index that this leader has sent.
    std::set<std::pair<std::string, DiskId>> m_registering;
    std::set<std::string> m_connectedControllers; ///< The connected controllers, members or not.
    /// The availability zones of the controllers, as they report them or as the log contains them. Zones only decide which controller is
    /// preferred, so an entry that is deleted later does no harm.
    std::map<std::string, std::string> m_zones;
    std::vector<Read> m_reads;
    std::uint64_t m_lastTicket = 0;
    std::uint64_t m_round = 0;
    raft::Snapshot m_incoming;
    std::uint64_t m_incomingTerm = 0; ///< The term of the leader that sends `m_incoming`.
    Instant m_electionDue;
    Instant m_leaderContactAt;
    bool m_isFirstElection = true; ///< Since its start this member has neither had contact with a leader nor started an election.
    Instant m_heartbeatDue;
    bool m_needsFlush = false;
    std::mt19937_64 m_random;
    Effects m_effects;
};

} // namespace wrenhinge
