#include "process/ControllerRole.h"

#include "base/SystemClock.h"

#include <algorithm>

namespace wrenhinge {

namespace {

    using Json = nlohmann::json;

    /// Delay before storage is reopened after a failed write. A full or failing disk must not end the process: it would fail again after
    /// its restart, and the announcements that it receives need no disk.
    constexpr Duration storageRetryInterval = 300ms;

    raft::Settings raftSettings(const Settings& settings, DiskId disk)
    {
        raft::Settings raft;
        const auto& controller = settings.controller;
        raft.isDynamic = !controller.seeds.empty();
        raft.zone = settings.zone;
        raft.toleratedFailures = controller.toleratedFailures;
        raft.self = raft.isDynamic ? settings.listen : settings.name;
        raft.isNewCluster = controller.isNewCluster;
        for (const auto& member : controller.members)
            raft.members.push_back(member.name);
        bool isFounder = std::find(controller.seeds.begin(), controller.seeds.end(), raft.self) != controller.seeds.end();
        // A controller without a disk can't found a cluster: after a restart it would not know its vote and could vote for another
        // candidate in the same term.
        bool keepsLog = disk != DiskId();
        if (raft.isDynamic && raft.isNewCluster && isFounder && keepsLog)
            raft.members = controller.seeds;
        else if (raft.isDynamic)
            raft.isNewCluster = false;
        // The list of founders is an entry of the log, which must be identical at all of them.
        std::sort(raft.members.begin(), raft.members.end());
        raft.disk = disk;
        raft.electionTimeout = controller.electionTimeout;
        raft.heartbeat = controller.heartbeat;
        raft.seed = randomIdentity();
        return raft;
    }

} // namespace

ControllerRole::ControllerRole(const Settings& settings, Runtime& runtime)
    : m_settings(settings)
    , m_runtime(runtime)
    , m_strand(boost::asio::make_strand(runtime.io()))
    , m_hub(runtime.io(),
          Hello { runtime.self(), Role::Controller, settings.controller.seeds.empty() ? settings.name : settings.listen, settings.site,
              settings.zone, "", {} },
          { [this](const Hello& peer) { onPeerUp(peer); },
              [this](PeerId peer) {
                  m_registrar.peerDown(peer);
                  m_quotaRelay.peerDown(peer);
                  m_limitRelay.peerDown(peer);
                  post(controller::PeerDown { peer });
              },
              [this](PeerId peer, Message&& message) { onMessage(peer, std::move(message)); },
              [this] { return m_runtime.log().stampSend(); }, [this](HybridTime stamp) { m_runtime.log().stampReceive(stamp); },
              runtime.refusals().linkHandler() })
    , m_registrar(m_strand, m_hub, runtime.log(), settings.announcements)
    , m_crashRelay(m_strand, m_hub, runtime.log(), m_registrar.registry())
    , m_quotaRelay(m_strand, m_hub)
    , m_limitRelay(m_strand, m_hub, m_registrar.registry())
    , m_streams(m_strand, m_hub)
    , m_pages(settings, runtime,
          { [this] {
               std::lock_guard lock(m_logicMutex);
               return m_logic && m_logic->raft().hasLeaderContact(currentInstant());
           },
              [this] { return m_hub.peers(); } })
{
}

ControllerRole::~ControllerRole()
{
    m_adminServer.stop();
    stopLoop();
}

Result<Json> ControllerRole::start()
{
    auto recovered = recoverLog();
    if (!recovered)
        return recovered.error();
    if (m_storage.truncatedBytes())
        m_runtime.log().write(
            { EventCode::LogTailCut, {}, std::to_string(m_storage.truncatedBytes()) + " bytes of an incomplete write truncated" });
    m_logic = std::make_unique<ControllerLogic>(raftSettings(m_settings, m_storage.disk()), std::move(recovered.value()), currentInstant());
    startRegistrar();
    startCrashRelay();
    m_quotaRelay.start();
    if (hasDisk())
        m_streams.openLog(m_settings.controller.data, m_runtime.log(), m_runtime.refusals());
    auto adminAddress = m_adminServer.start(m_settings.admin, [this](const AdminRequest& request) { return admin(request); });
    if (!adminAddress)
        return adminAddress.error();
    m_pages.setAdminAddress(adminAddress.value());
    m_hub.setAdminAddress(adminAddress.value());
    auto peers = m_hub.listen(m_settings.listen);
    if (!peers)
        return peers.error();
    for (const auto& seed : m_settings.controller.seeds)
        m_hub.dial(seed);
    // In each pair of controllers, the one whose name sorts first connects to the other.
    for (const auto& member : m_settings.controller.members) {
        if (m_settings.name < member.name)
            m_hub.dial(member.address);
    }
    m_thread = std::thread([this] { loop(); });
    return Json { { "admin", adminAddress.value() }, { "peers", peers.value() } };
}

/// Returns the state stored on disk; empty if the controller has no disk.
Result<raft::Recovered> ControllerRole::recoverLog()
{
    if (!hasDisk())
        return raft::Recovered {};
    return m_storage.open(m_settings.controller.data, DiskId(randomIdentity()));
}

/// Called before the process listens, so that the stored replicas are loaded before the first announcement arrives.
void ControllerRole::startRegistrar()
{
    std::vector<Announcement> restored;
    std::vector<StoredGatewayCount> gateways;
    if (isDynamic() && hasDisk()) {
        m_persistedReplicas.emplace(m_settings.controller.data, m_runtime.log(), m_runtime.refusals());
        m_registrar.onChange = [this](std::vector<Announcement> list) { m_persistedReplicas->save(std::move(list)); };
        restored = m_persistedReplicas->load();
        m_persistedGateways.emplace(m_settings.controller.data, m_runtime.log(), m_runtime.refusals());
        m_registrar.onGatewayCount = [this](std::uint32_t n) { m_persistedGateways->save({ StoredGatewayCount { n } }); };
        gateways = m_persistedGateways->load();
    }
    boost::asio::post(m_strand,
        [this, restored = std::move(restored), n = gateways.empty() ? 0 : gateways.front().gateways] { m_registrar.start(restored, n); });
}

void ControllerRole::startCrashRelay()
{
    std::vector<ReplicaCrash> restored;
    if (hasDisk()) {
        m_persistedCrashes.emplace(m_settings.controller.data, m_runtime.log(), m_runtime.refusals());
        m_crashRelay.onChange = [this](std::vector<ReplicaCrash> list) { m_persistedCrashes->save(std::move(list)); };
        restored = m_persistedCrashes->load();
    }
    m_crashRelay.start(std::move(restored));
}

void ControllerRole::drain()
{
    m_hub.stop();
    m_runtime.waitUntil([this] { return m_hub.peers().empty(); }, 1s,
        [this](bool) {
            stopLoop();
            m_runtime.log().write({ EventCode::ProcessStopped, {}, "stopped" });
            m_runtime.finish(0);
        });
}

// --- Links ------------------------------------------------------------------------------------------------------

void ControllerRole::onPeerUp(const Hello& peer)
{
    post(controller::PeerUp { peer });
    m_registrar.peerUp(peer);
    m_crashRelay.peerUp(peer);
    m_quotaRelay.peerUp(peer);
    m_limitRelay.peerUp(peer);
    if (!isDynamic())
        return;
    if (peer.role == Role::Controller)
        m_hub.broadcast(roster(), [](const Hello&) { return true; });
    else
        m_hub.send(peer.id, roster());
}

/// No setting lists all controllers. Each one sends its peers the addresses of the others, so that one reachable seed suffices.
ControllerRoster ControllerRole::roster() const
{
    ControllerRoster roster { { m_settings.listen } };
    for (const auto& peer : m_hub.peers()) {
        if (peer.role == Role::Controller)
            roster.addresses.push_back(peer.name);
    }
    return roster;
}

void ControllerRole::onMessage(PeerId peer, Message&& message)
{
    if (isForRegistrar(message))
        return m_registrar.receive(peer, message);
    if (const auto* crashes = std::get_if<CrashReport>(&message))
        return m_crashRelay.receive(peer, *crashes);
    if (auto* use = std::get_if<QuotaReport>(&message))
        return m_quotaRelay.receive(peer, std::move(*use));
    if (auto* limits = std::get_if<ReplicaRateLimits>(&message))
        return m_limitRelay.receive(peer, std::move(*limits));
    if (auto* usage = std::get_if<ReplicaUsageReport>(&message))
        return m_limitRelay.receive(peer, std::move(*usage));
    if (m_streams.receive(peer, message))
        return;
    if (const auto* load = std::get_if<EngineLoadReport>(&message)) {
        if (onEngineLoad)
            onEngineLoad(peer, *load);
        return;
    }
    if (const auto* roster = std::get_if<ControllerRoster>(&message)) {
        for (const auto& address : roster->addresses)
            m_hub.dial(address);
        return;
    }
    post(controller::PeerMessage { peer, std::move(message) });
}

// --- Event loop -------------------------------------------------------------------------------------------------

void ControllerRole::post(controller::Event event)
{
    {
        std::lock_guard lock(m_queueMutex);
        m_queue.push_back(std::move(event));
    }
    m_wake.notify_one();
}

void ControllerRole::loop()
{
    {
        std::lock_guard lock(m_logicMutex);
        auto effects = m_logic->start();
        if (!execute(effects) && !reopenStorage())
            return;
    }
    for (;;) {
        Instant wake;
        {
            std::lock_guard lock(m_logicMutex);
            wake = m_logic->nextWake();
        }
        std::vector<controller::Event> batch;
        {
            std::unique_lock lock(m_queueMutex);
            auto pause = std::max(Duration::zero(), wake - currentInstant());
            m_wake.wait_for(lock, pause, [this] { return m_isStopping || !m_queue.empty(); });
            if (m_isStopping)
                return;
            batch = std::exchange(m_queue, {});
        }
        std::lock_guard lock(m_logicMutex);
        auto now = currentInstant();
        if (now >= wake)
            batch.push_back(controller::Tick {});
        auto effects = m_logic->step(batch, now);
        m_leadingTerm = m_logic->raft().isLeader() ? m_logic->raft().term() : 0;
        if (!execute(effects) && !reopenStorage())
            return;
    }
}

/// Recreates the logic from the state on disk after a failed write. Nothing that depends on the unwritten records was sent, but the logic
/// has already applied them.
/// \returns false if the process is to stop.
bool ControllerRole::reopenStorage()
{
    for (bool isFirst = true;; isFirst = false) {
        {
            std::unique_lock lock(m_queueMutex);
            if (m_wake.wait_for(lock, storageRetryInterval, [this] { return m_isStopping; }))
                return false;
            m_queue.clear();
        }
        // The discarded events have waiting callers, and the callback of a proposal holds its whole text.
        failPendingReplies();
        auto recovered = recoverLog();
        if (isFirst || recovered)
            m_runtime.log().write({ EventCode::StorageReopened, {}, recovered ? "storage reopened" : recovered.error().message });
        if (!recovered)
            continue;
        m_logic
            = std::make_unique<ControllerLogic>(raftSettings(m_settings, m_storage.disk()), std::move(recovered.value()), currentInstant());
        auto effects = m_logic->start();
        if (!execute(effects))
            continue;
        for (const auto& peer : m_hub.peers())
            post(controller::PeerUp { peer });
        return true;
    }
}

/// Writes all records of a batch with one sync.
Result<void> ControllerRole::store(const ControllerLogic::Effects& effects)
{
    bool needsSync = false;
    for (const auto& effect : effects) {
        if (const auto* persist = std::get_if<raft::Persist>(&effect)) {
            m_storage.append(*persist);
            needsSync = true;
        } else if (const auto* save = std::get_if<raft::SaveSnapshot>(&effect)) {
            if (auto stored = m_storage.saveSnapshot(save->snapshot); !stored)
                return stored;
        }
    }
    if (needsSync)
        return m_storage.sync();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

/// Executes a batch's effects: first stores all records with one sync, then executes the rest in order.
bool ControllerRole::execute(ControllerLogic::Effects& effects)
{
    Result<void> stored = BOOST_OUTCOME_V2_NAMESPACE::success();
    if (hasDisk())
        stored = store(effects);
    if (!stored) {
        // State that was not stored must not be sent: stop before any message is sent.
        m_runtime.log().write({ EventCode::StorageReopened, {}, std::string(nameOf(stored.error().code)) + ": " + stored.error().message });
        failPendingReplies();
        return false;
    }
    for (auto& effect : effects) {
        if (auto* send = std::get_if<controller::Send>(&effect)) {
            m_hub.send(send->to, send->message);
        } else if (auto* note = std::get_if<LogEvent>(&effect)) {
            m_runtime.log().write(*note);
        } else if (auto* local = std::get_if<controller::LocalReply>(&effect)) {
            answer(local->ticket, std::move(local->reply));
        }
    }
    return true;
}

void ControllerRole::answer(std::uint64_t ticket, ProposeReply reply)
{
    ReplyCallback callback;
    {
        std::lock_guard lock(m_queueMutex);
        auto it = m_tickets.find(ticket);
        if (it == m_tickets.end())
            return;
        callback = std::move(it->second);
        m_tickets.erase(it);
    }
    callback(std::move(reply));
}

void ControllerRole::failPendingReplies()
{
    std::map<std::uint64_t, ReplyCallback> tickets;
    {
        std::lock_guard lock(m_queueMutex);
        tickets = std::exchange(m_tickets, {});
    }
    for (auto& [ticket, callback] : tickets) {
        ProposeReply reply;
        reply.code = ResultCode::ConfigUnavailable;
        reply.text = "writing to this controller's disk failed; try another controller";
        callback(std::move(reply));
    }
}

std::uint64_t ControllerRole::newTicket(ReplyCallback callback)
{
    std::lock_guard lock(m_queueMutex);
    m_tickets[++m_lastTicket] = std::move(callback);
    return m_lastTicket;
}

void ControllerRole::propose(Command command, ReplyCallback callback, bool sendsWholeText)
{
    post(controller::LocalPropose { newTicket(std::move(callback)), std::move(command), sendsWholeText });
}

void ControllerRole::readDocument(ReplyCallback callback) { post(controller::LocalRead { newTicket(std::move(callback)) }); }

void ControllerRole::stopLoop()
{
    {
        std::lock_guard lock(m_queueMutex);
        m_isStopping = true;
    }
    m_wake.notify_one();
    if (m_thread.joinable() && m_thread.get_id() != std::this_thread::get_id())
        m_thread.join();
}

} // namespace wrenhinge
