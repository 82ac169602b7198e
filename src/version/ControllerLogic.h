/** \file
 * The logic of a controller: the replicated log, the state machine that applies it, and the watchers that receive its changes.
 *
 * A state machine without I/O. It processes events in batches, so that all proposals received while the disk was busy
 * share one write and one round of messages.
 */
#pragma once

#include "message/PeerEvents.h"
#include "version/ControllerState.h"
#include "version/DocumentSource.h"
#include "version/Raft.h"

#include <map>
#include <set>
#include <span>

namespace wrenhinge {

namespace controller {

    // Events.
    using wrenhinge::PeerDown;
    using wrenhinge::PeerMessage;
    using wrenhinge::PeerUp;
    /// A proposal from this process itself, such as the admin server's. The reply is a LocalReply.
    struct LocalPropose {
        std::uint64_t ticket = 0;
        Command command;
        /// If another controller leads, it is sent the whole text instead of a change against the version held here, because that version
        /// was older than the leader's in several attempts.
        bool sendsWholeText = false;
    };
    /// A linearizable read from this process itself. The reply is a LocalReply; its code is Ok once the state of this controller is
    /// new enough to answer the read.
    struct LocalRead {
        std::uint64_t ticket = 0;
    };
    struct Tick { };
    using Event = std::variant<PeerUp, PeerDown, PeerMessage, LocalPropose, LocalRead, Tick>;

    // Effects. Persist and SaveSnapshot must be durable before any later effect is performed.
    struct Send {
        PeerId to;
        Message message;
    };
    struct LocalReply {
        std::uint64_t ticket = 0;
        ProposeReply reply;
    };
    using Effect = std::variant<raft::Persist, raft::SaveSnapshot, Send, LocalReply, LogEvent>;

} // namespace controller

class ControllerLogic {
public:
    using Effects = std::vector<controller::Effect>;

    /// The log is compacted when it holds more entries than this, or more bytes of routing documents.
    static constexpr std::size_t compactAboveEntries = 4096;
    /// The log contains documents as changes; only one that differs entirely from its predecessor takes its whole size, up to a megabyte.
    static constexpr std::size_t compactAboveBytes = 4u << 20;
    /// A process without a configuration gets an immediate answer only from a leader that a majority has confirmed. Any other
    /// controller may be behind or partitioned, and delays its answer by this time so that the leader can answer first.
    static constexpr Duration unconfirmedReplyDelay = 2s;

    struct Watcher {
        Hello peer;
        ConfigVersion sentVersion;
        ConfigVersion inForce;
        Instant inForceSince;
        bool awaitsFirstSnapshot = false; ///< The watcher has no configuration and was not answered yet.
        bool needsConfirmation = false; ///< The watcher started without a configuration, and no leader has confirmed its version yet.
        std::uint64_t ticket = 0; ///< The read that will confirm it; zero: none is in progress.
        Instant askedAt;
    };

    ControllerLogic(raft::Settings, raft::Recovered, Instant now);

    Effects start();
    Effects step(std::span<const controller::Event>, Instant now);
    [[nodiscard]] Instant nextWake() const { return m_raft.nextWake(); }

    [[nodiscard]] const ControllerState& state() const { return m_state; }
    [[nodiscard]] const Raft& raft() const { return m_raft; }
    [[nodiscard]] const std::map<PeerId, Watcher>& watchers() const { return m_watchers; }
    /// The admin address of the current leader, if it is known and another process.
    [[nodiscard]] std::string leaderAdminAddress() const;

private:
    /// A proposal whose entry is not applied yet, and its proposer.
    struct PendingProposal {
        std::uint64_t term = 0;
        PeerId peer;
        std::uint64_t proposal = 0;
        bool isLocal = false;
    };
    /// The requester of a read at this leader: a peer, or this process itself.
    struct ReadRequester {
        PeerId peer;
        std::uint64_t ticket = 0;
    };
    /// A read of this process that the leader has confirmed at an index that may not be applied here yet.
    struct PendingRead {
        std::uint64_t ticket = 0;
        std::uint64_t index = 0;
    };
    /// A document that is proposed, as a change of the previous document, once that one is applied.
    struct QueuedDocument {
        DocumentCommand command;
        PendingProposal pending;
    };

    void on(const controller::PeerUp&, Instant);
    void on(const controller::PeerDown&, Instant);
    void on(const controller::PeerMessage&, Instant);
    void on(const controller::LocalPropose&, Instant);
    void on(const controller::LocalRead&, Instant);
    void on(const controller::Tick&, Instant);
    void onReadIndex(PeerId, const ReadIndex&, Instant);
    void onReadIndexReply(const ReadIndexReply&);
    void confirmReads(std::uint64_t ticket);
    void rejectReads();
    void answerPendingReads();
    void offerDocument(Instant);
    void proposeDocument(DocumentCommand, PendingProposal, Instant);
    void appendDocument(DocumentCommand, PendingProposal, Instant);
    void proposeQueuedDocuments(Instant);
    void append(Command, PendingProposal, Instant);
    [[nodiscard]] PeerId leaderPeer() const;
    void propose(Command, PendingProposal, Instant);
    void onWatch(PeerId, const Watch&, Instant);
    void onInForce(PeerId, const ConfigApplied&, Instant);
    void confirmWatchers(Instant);
    void onReadReady(std::uint64_t ticket);
    void sendMissingChanges(Watcher&);
    void sendMissingChangesToAll(Instant);
    void handleRaftEffects(Raft::Effects, Instant);
    void onApplied(const LogEntry&, Instant);
    void rejectPendingProposals();
    void reply(const PendingProposal&, ProposeReply);
    [[nodiscard]] ProposeReply notLeader() const;
    [[nodiscard]] const Hello* controllerAt(PeerId) const;

    raft::Settings m_settings;
    Raft m_raft;
    ControllerState m_state;
    std::map<PeerId, Hello> m_peers;
    std::map<std::string, PeerId> m_byName;
    std::map<PeerId, Watcher> m_watchers;
    std::map<std::uint64_t, PendingProposal> m_pendingProposals; ///< By log index.
    std::set<std::uint64_t> m_forwarded; ///< Tickets of proposals and reads of this process that were forwarded to the leader.
    std::map<std::uint64_t, std::vector<ReadRequester>> m_readRequesters; ///< By the ticket of the read in Raft.
    std::vector<PendingRead> m_pendingReads;
    DocumentSource m_documentSource;
    std::deque<QueuedDocument> m_documentQueue;
    Effects m_effects;
};

} // namespace wrenhinge
