#include "version/ControllerLogic.h"

#include <algorithm>

namespace wrenhinge {

namespace {

    /// Documents that wait at the leader for the one before them. Operators have a handful under way at once.
    constexpr std::size_t maxQueuedDocuments = 16;

    raft::Settings withSnapshotCheck(raft::Settings settings)
    {
        settings.canLoadSnapshot = ControllerState::canLoad;
        return settings;
    }

} // namespace

ControllerLogic::ControllerLogic(raft::Settings settings, raft::Recovered recovered, Instant now)
    : m_settings(withSnapshotCheck(std::move(settings)))
    , m_raft(m_settings, std::move(recovered), now)
    , m_state(m_settings.safeguards)
{
}

ControllerLogic::Effects ControllerLogic::start()
{
    handleRaftEffects(m_raft.recover(), Instant());
    return std::exchange(m_effects, {});
}

ControllerLogic::Effects ControllerLogic::step(std::span<const controller::Event> events, Instant now)
{
    for (const auto& event : events)
        std::visit([this, now](const auto& e) { on(e, now); }, event);
    handleRaftEffects(m_raft.flush(now), now);
    bool isLong = m_raft.entriesKept() > compactAboveEntries && m_raft.appliedIndex() + compactAboveEntries / 2 > m_raft.lastIndex();
    if (isLong || m_raft.bytesKept() > compactAboveBytes)
        handleRaftEffects(m_raft.compact(m_state.save()), now);
    proposeQueuedDocuments(now);
    answerPendingReads();
    offerDocument(now);
    return std::exchange(m_effects, {});
}

// --- Events -----------------------------------------------------------------------------------------------------

void ControllerLogic::on(const controller::PeerUp& event, Instant now)
{
    m_peers[event.peer.id] = event.peer;
    if (controllerAt(event.peer.id)) {
        m_byName[event.peer.name] = event.peer.id;
        if (m_settings.isDynamic)
            m_raft.addPeer(event.peer.name, event.peer.zone, now);
    }
    if (event.peer.role == Role::Gateway)
        m_documentSource.addPeer(event.peer.id);
}

void ControllerLogic::on(const controller::PeerDown& event, Instant)
{
    m_watchers.erase(event.peer);
    m_documentSource.removePeer(event.peer);
    if (const auto* member = controllerAt(event.peer)) {
        if (auto named = m_byName.find(member->name); named != m_byName.end() && named->second == event.peer)
            m_byName.erase(named);
        if (m_settings.isDynamic && !m_byName.contains(member->name))
            m_raft.removePeer(member->name);
        // What it was asked may be lost with the link; whoever asked tries again.
        for (auto ticket : std::exchange(m_forwarded, {}))
            reply({ 0, {}, ticket, true }, notLeader());
    }
    m_peers.erase(event.peer);
}

/// The Hello of a peer that is a member of the controllers' group, or nullptr.
const Hello* ControllerLogic::controllerAt(PeerId peer) const
{
    auto it = m_peers.find(peer);
    if (it == m_peers.end() || it->second.role != Role::Controller)
        return nullptr;
    if (m_settings.isDynamic)
        return &it->second;
    const auto& members = m_settings.members;
    bool isMember = std::find(members.begin(), members.end(), it->second.name) != members.end();
    return isMember ? &it->second : nullptr;
}

void ControllerLogic::on(const controller::PeerMessage& event, Instant now)
{
    if (const auto* propose = std::get_if<Propose>(&event.message)) {
        this->propose(propose->command, { 0, event.peer, propose->proposal, false }, now);
    } else if (const auto* watch = std::get_if<Watch>(&event.message)) {
        onWatch(event.peer, *watch, now);
    } else if (const auto* inForce = std::get_if<ConfigApplied>(&event.message)) {
        onInForce(event.peer, *inForce, now);
    } else if (const auto* answer = std::get_if<ProposeReply>(&event.message)) {
        if (m_forwarded.erase(answer->proposal))
            reply({ 0, {}, answer->proposal, true }, *answer);
    } else if (const auto* read = std::get_if<ReadIndex>(&event.message)) {
        onReadIndex(event.peer, *read, now);
    } else if (const auto* confirmed = std::get_if<ReadIndexReply>(&event.message)) {
        if (m_forwarded.erase(confirmed->ticket))
            onReadIndexReply(*confirmed);
    } else if (const auto* request = std::get_if<DocumentRequest>(&event.message)) {
        if (auto part = m_documentSource.answer(*request, m_state.document(), now))
            m_effects.push_back(controller::Send { event.peer, std::move(*part) });
    } else if (const auto* member = controllerAt(event.peer)) {
        handleRaftEffects(m_raft.receive(member->name, event.message, now), now);
    }
}

void ControllerLogic::on(const controller::LocalPropose& event, Instant now)
{
    const auto* document = std::get_if<DocumentCommand>(&event.command);
    if (auto leader = leaderPeer(); document && leader != PeerId()) {
        m_forwarded.insert(event.ticket);
        auto command = event.sendsWholeText ? *document : m_state.document().commandFor(document->version, document->text);
        m_effects.push_back(controller::Send { leader, Propose { event.ticket, std::move(command) } });
        return;
    }
    propose(event.command, { 0, {}, event.ticket, true }, now);
}

/// The link to another controller that leads, or zero.
PeerId ControllerLogic::leaderPeer() const
{
    auto it = m_byName.find(m_raft.leader());
    return m_raft.isLeader() || it == m_byName.end() ? PeerId() : it->second;
}

void ControllerLogic::on(const controller::Tick&, Instant now)
{
    handleRaftEffects(m_raft.tick(now), now);
    confirmWatchers(now);
    sendMissingChangesToAll(now);
}

void ControllerLogic::propose(Command command, PendingProposal pending, Instant now)
{
    if (!m_raft.isLeader())
        return reply(pending, notLeader());
    if (auto* document = std::get_if<DocumentCommand>(&command))
        return proposeDocument(std::move(*document), pending, now);
    append(std::move(command), pending, now);
}

/// One document at a time is on its way through the log, so that each is a change of the one before it, which everybody holds.
void ControllerLogic::proposeDocument(DocumentCommand command, PendingProposal pending, Instant now)
{
    const auto& document = m_state.document();
    if (m_documentQueue.size() >= maxQueuedDocuments)
        return reply(pending, notLeader());
    if (m_raft.hasUnappliedDocument() || !m_documentQueue.empty()) {
        // By the time its turn comes the version that it is a change of is a former one: refused then, all that wait would be sent again.
        auto text = command.base && command.base == document.version() ? applyChange(document.text(), command.change) : std::nullopt;
        if (text)
            command = { command.version, std::move(*text), 0, {} };
        m_documentQueue.push_back({ std::move(command), pending });
        return;
    }
    appendDocument(std::move(command), pending, now);
}

void ControllerLogic::appendDocument(DocumentCommand command, PendingProposal pending, Instant now)
{
    const auto& document = m_state.document();
    if (command.base && command.version > document.version() && command.base != document.version()) {
        ProposeReply answer;
        answer.code = ResultCode::ConfigUnavailable;
        answer.text = "the change was made against another version than the leader's";
        return reply(pending, std::move(answer));
    }
    if (!command.base || command.version <= document.version())
        command = document.commandFor(command.version, command.text);
    append(std::move(command), pending, now);
}

void ControllerLogic::proposeQueuedDocuments(Instant now)
{
    while (!m_documentQueue.empty() && !m_raft.hasUnappliedDocument()) {
        auto next = std::move(m_documentQueue.front());
        m_documentQueue.pop_front();
        appendDocument(std::move(next.command), next.pending, now);
    }
    handleRaftEffects(m_raft.flush(now), now);
}

void ControllerLogic::append(Command command, PendingProposal pending, Instant now)
{
    Raft::Effects effects;
    auto index = m_raft.propose(std::move(command), effects);
    pending.term = m_raft.term();
    m_pendingProposals[index] = pending;
    handleRaftEffects(std::move(effects), now);
}

ProposeReply ControllerLogic::notLeader() const
{
    ProposeReply reply;
    reply.code = ResultCode::ConfigUnavailable;
    reply.text = "this controller does not lead; ask the leader, or wait for an election";
    if (auto it = m_byName.find(m_raft.leader()); it != m_byName.end())
        reply.leader = it->second;
    return reply;
}

void ControllerLogic::reply(const PendingProposal& pending, ProposeReply reply)
{
    reply.proposal = pending.proposal;
    if (pending.isLocal)
        m_effects.push_back(controller::LocalReply { pending.proposal, std::move(reply) });
    else
        m_effects.push_back(controller::Send { pending.peer, std::move(reply) });
}

/// Leadership is gone: what was proposed may or may not be committed by the next leader. The proposers ask again; every
/// command is idempotent.
void ControllerLogic::rejectPendingProposals()
{
    for (const auto& [index, pending] : std::exchange(m_pendingProposals, {}))
        reply(pending, notLeader());
    for (const auto& queued : std::exchange(m_documentQueue, {}))
        reply(queued.pending, notLeader());
}

// --- Linearizable reads and the routing document ------------------------------------------------------------------

void ControllerLogic::on(const controller::LocalRead& event, Instant now)
{
    if (m_raft.isLeader())
        return onReadIndex({}, { event.ticket }, now);
    if (auto leader = leaderPeer(); leader != PeerId()) {
        m_forwarded.insert(event.ticket);
        m_effects.push_back(controller::Send { leader, ReadIndex { event.ticket } });
    } else {
        onReadIndexReply({ event.ticket, false, 0 });
    }
}

void ControllerLogic::onReadIndex(PeerId peer, const ReadIndex& read, Instant now)
{
    if (!m_raft.isLeader()) {
        m_effects.push_back(controller::Send { peer, ReadIndexReply { read.ticket, false, 0 } });
        return;
    }
    Raft::Effects effects;
    auto ticket = m_raft.requestRead(effects, now);
    m_readRequesters[ticket].push_back({ peer, read.ticket });
    handleRaftEffects(std::move(effects), now);
}

void ControllerLogic::onReadIndexReply(const ReadIndexReply& answer)
{
    if (answer.isConfirmed)
        m_pendingReads.push_back({ answer.ticket, answer.index });
    else
        reply({ 0, {}, answer.ticket, true }, notLeader());
}

void ControllerLogic::confirmReads(std::uint64_t ticket)
{
    auto it = m_readRequesters.find(ticket);
    if (it == m_readRequesters.end())
        return;
    auto index = m_raft.commitIndex();
    for (const auto& reader : it->second) {
        if (reader.peer == PeerId())
            m_pendingReads.push_back({ reader.ticket, index });
        else
            m_effects.push_back(controller::Send { reader.peer, ReadIndexReply { reader.ticket, true, index } });
    }
    m_readRequesters.erase(it);
}

void ControllerLogic::rejectReads()
{
    for (const auto& [ticket, readers] : std::exchange(m_readRequesters, {})) {
        for (const auto& reader : readers) {
            if (reader.peer == PeerId())
                reply({ 0, {}, reader.ticket, true }, notLeader());
            else
                m_effects.push_back(controller::Send { reader.peer, ReadIndexReply { reader.ticket, false, 0 } });
        }
    }
}

void ControllerLogic::answerPendingReads()
{
    std::erase_if(m_pendingReads, [this](const PendingRead& read) {
        if (m_raft.appliedIndex() < read.index)
            return false;
        ProposeReply answer;
        answer.number = m_state.document().version();
        answer.text = m_state.document().text();
        reply({ 0, {}, read.ticket, true }, std::move(answer));
        return true;
    });
}

void ControllerLogic::offerDocument(Instant now)
{
    for (const auto& [to, offer] : m_documentSource.offers(m_state.document(), m_raft.isCurrent(now), now))
        m_effects.push_back(controller::Send { to, offer });
}

// --- Watchers ---------------------------------------------------------------------------------------------------

void ControllerLogic::onWatch(PeerId peer, const Watch& watch, Instant now)
{
    auto& watcher = m_watchers[peer];
    watcher.peer = m_peers[peer];
    watcher.peer.id = peer;
    watcher.sentVersion = watch.version;
    watcher.askedAt = now;
    // A process that knows nothing takes whatever we say for the newest, and may have known better before its restart.
    watcher.awaitsFirstSnapshot = watcher.needsConfirmation = watch.version == ConfigVersion();
    watcher.ticket = 0;
    if (watcher.awaitsFirstSnapshot)
        confirmWatchers(now);
    else
        sendMissingChanges(watcher);
}

/// As the leader, has a majority confirm that our version is the newest, for those who asked from nothing.
void ControllerLogic::confirmWatchers(Instant now)
{
    auto needsRead = [](const auto& item) { return item.second.needsConfirmation && !item.second.ticket; };
    if (!m_raft.isLeader() || std::none_of(m_watchers.begin(), m_watchers.end(), needsRead))
        return;
    // One read answers all who asked before it.
    Raft::Effects effects;
    auto ticket = m_raft.requestRead(effects, now);
    for (auto& [peer, watcher] : m_watchers) {
        if (watcher.needsConfirmation && !watcher.ticket)
            watcher.ticket = ticket;
    }
    handleRaftEffects(std::move(effects), now);
}

void ControllerLogic::onReadReady(std::uint64_t ticket)
{
    for (auto& [peer, watcher] : m_watchers) {
        if (watcher.ticket != ticket)
            continue;
        watcher.awaitsFirstSnapshot = watcher.needsConfirmation = false;
        watcher.ticket = 0;
        auto snapshot = m_state.configuration().snapshot();
        snapshot.confirmed = true;
        m_effects.push_back(controller::Send { peer, std::move(snapshot) });
        watcher.sentVersion = m_state.configuration().version();
    }
}

void ControllerLogic::onInForce(PeerId peer, const ConfigApplied& message, Instant now)
{
    auto it = m_watchers.find(peer);
    if (it == m_watchers.end())
        return;
    auto& watcher = it->second;
    if (message.version > watcher.inForce) {
        watcher.inForce = message.version;
        watcher.inForceSince = now;
    }
}

void ControllerLogic::sendMissingChanges(Watcher& watcher)
{
    const auto& configuration = m_state.configuration();
    if (watcher.sentVersion >= configuration.version())
        return;
    auto to = watcher.peer.id;
    const auto& history = m_state.history();
    auto it
        = std::find_if(history.begin(), history.end(), [&](const ConfigChange& change) { return change.previous == watcher.sentVersion; });
    if (watcher.sentVersion == ConfigVersion() || it == history.end()) {
        m_effects.push_back(controller::Send { to, configuration.snapshot() });
    } else {
        for (; it != history.end(); ++it) {
            const auto& command = it->command;
            m_effects.push_back(
                controller::Send { to, ConfigDelta { it->previous, it->version, command.number, command.puts, command.removes } });
        }
    }
    watcher.sentVersion = configuration.version();
}

void ControllerLogic::sendMissingChangesToAll(Instant now)
{
    for (auto& [peer, watcher] : m_watchers) {
        if (watcher.awaitsFirstSnapshot && now - watcher.askedAt < unconfirmedReplyDelay)
            continue;
        watcher.awaitsFirstSnapshot = false;
        sendMissingChanges(watcher);
    }
}

// --- The log ----------------------------------------------------------------------------------------------------

void ControllerLogic::handleRaftEffects(Raft::Effects effects, Instant now)
{
    for (auto& effect : effects) {
        if (auto* persist = std::get_if<raft::Persist>(&effect)) {
            m_effects.push_back(std::move(*persist));
        } else if (auto* save = std::get_if<raft::SaveSnapshot>(&effect)) {
            m_effects.push_back(std::move(*save));
        } else if (auto* send = std::get_if<raft::Send>(&effect)) {
            if (auto it = m_byName.find(send->to); it != m_byName.end())
                m_effects.push_back(controller::Send { it->second, std::move(send->message) });
        } else if (auto* apply = std::get_if<raft::Apply>(&effect)) {
            onApplied(apply->entry, now);
        } else if (auto* restore = std::get_if<raft::Restore>(&effect)) {
            if (!m_state.load(restore->snapshot.bytes))
                internalError("a snapshot that passed its checksum can't be read");
            m_raft.restoreMembers(m_state.members(), m_state.zones());
            m_raft.restoreDisks(m_state.disks());
        } else if (auto* changed = std::get_if<raft::LeaderChanged>(&effect)) {
            for (auto& [peer, watcher] : m_watchers)
                watcher.ticket = 0;
            rejectReads();
            if (!changed->isSelf)
                rejectPendingProposals();
        } else if (auto* ready = std::get_if<raft::ReadReady>(&effect)) {
            onReadReady(ready->ticket);
            confirmReads(ready->ticket);
        } else if (auto* note = std::get_if<LogEvent>(&effect)) {
            m_effects.push_back(std::move(*note));
        }
    }
}

void ControllerLogic::onApplied(const LogEntry& entry, Instant now)
{
    auto before = m_state.configuration().version();
    auto answer = m_state.apply(entry);
    if (std::holds_alternative<ConfigCommand>(entry.command)) {
        bool accepted = answer.code == ResultCode::Ok;
        m_effects.push_back(LogEvent { accepted ? EventCode::ConfigAccepted : EventCode::ConfigRefused, {},
            accepted ? "version " + std::to_string(answer.number) : answer.text });
    }
    if (const auto* document = std::get_if<DocumentCommand>(&entry.command); document && answer.number == document->version)
        m_effects.push_back(LogEvent { EventCode::DocumentInForce, {}, "version " + std::to_string(document->version) });
    if (std::holds_alternative<ReplaceDiskCommand>(entry.command))
        m_effects.push_back(LogEvent { EventCode::DiskReplaced, {}, std::get<ReplaceDiskCommand>(entry.command).name });
    if (auto it = m_pendingProposals.find(entry.index); it != m_pendingProposals.end()) {
        // Another leader's entry may have taken the place of the one that was proposed here.
        reply(it->second, it->second.term == entry.term ? std::move(answer) : notLeader());
        m_pendingProposals.erase(it);
    }
    if (m_state.configuration().version() != before)
        sendMissingChangesToAll(now);
}

std::string ControllerLogic::leaderAdminAddress() const
{
    auto it = m_byName.find(m_raft.leader());
    if (it == m_byName.end())
        return {};
    auto found = m_peers.find(it->second);
    return found == m_peers.end() ? std::string() : found->second.adminAddress;
}

} // namespace wrenhinge
