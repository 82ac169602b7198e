/** \file
 * The decisions of a controller: the replicated log, the state it builds, and the watchers that follow it.
 *
 * A state machine without I/O. It takes events in batches, so that the proposals that came in while the disk was busy
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
        /// Another controller that leads gets the whole text, not a change of the version here, which it had overtaken several times.
        bool sendsWholeText = false;
    };
    /// A linearizable read from this process itself. The reply is a LocalReply; its code is Ok once the state held here is new
    /// enough to answer from.
    struct LocalRead {
        std::uint64_t ticket = 0;
    };
    struct Tick { };
    using Event = std::variant<PeerUp, PeerDown, PeerMessage, LocalPropose, LocalRead, Tick>;

    // Effects. Persist and SaveSnapshot must be durable before any later effect is carried out.
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
    /// Documents are in the log as changes; only a large one that is new altogether takes its whole size, up to a megabyte.
    static constexpr std::size_t compactAboveBytes = 4u << 20;
    /// A process that knows no configuration is answered at once only by a leader that a majority confirms; any other
    /// controller may be behind or cut off and lets it wait this long for a better answer.
    static constexpr Duration unconfirmedReplyDelay = 2s;

    struct Watcher {
        Hello peer;
        ConfigVersion sentVersion;
        ConfigVersion inForce;
        Instant inForceSince;
        bool awaitsFirstSnapshot = false; ///< Asked from nothing and has no answer yet.
        bool needsConfirmation = false; ///< Asked from nothing and no leader has confirmed its version yet.
        std::uint64_t ticket = 0; ///< The read that will confirm it; zero: none is under way.
        Instant askedAt;
    };

    ControllerLogic(raft::Settings, raft::Recovered, Instant now);

    Effects start();
    Effects step(std::span<const controller::Event>, Instant now);
    [[nodiscard]] Instant nextWake() const { return m_raft.nextWake(); }

    [[nodiscard]] const ControllerState& state() const { return m_state; }
    [[nodiscard]] const Raft& raft() const { return m_raft; }
    [[nodiscard]] const std::map<PeerId, Watcher>& watchers() const { return m_watchers; }
    /// The admin address of the present leader, if it is known and another process.
    [[nodiscard]] std::string leaderAdminAddress() const;

private:
    struct PendingProposal {
        std::uint64_t term = 0;
        PeerId peer;
        std::uint64_t proposal = 0;
        bool isLocal = false;
    };
    /// Who waits for a read round of this leader: a peer, or this process itself.
    struct ReadRequester {
        PeerId peer;
        std::uint64_t ticket = 0;
    };
    /// A read of this process that the leader confirmed for an index which is not applied here yet.
    struct PendingRead {
        std::uint64_t ticket = 0;
        std::uint64_t index = 0;
    };
    /// A document that waits until the one before it is applied: it is then made a change of that one.
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
    std::set<std::uint64_t> m_forwarded; ///< Tickets of this process's proposals and reads that the leader was asked for.
    std::map<std::uint64_t, std::vector<ReadRequester>> m_readRequesters; ///< By the read's ticket at the log.
    std::vector<PendingRead> m_pendingReads;
    DocumentSource m_documentSource;
    std::deque<QueuedDocument> m_documentQueue;
    Effects m_effects;
};

} // namespace wrenhinge
