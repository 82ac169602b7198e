#include "process/Registrar.h"

#include "base/SystemClock.h"

namespace wrenhinge {

namespace {

    bool isGateway(const Hello& peer) { return peer.role == Role::Gateway; }

    bool takesAges(const Hello& peer) { return peer.role == Role::Controller && knows<RegistryAges>(peer); }

} // namespace

bool isForRegistrar(const Message& message)
{
    return std::holds_alternative<RelayedAnnouncement>(message) || std::holds_alternative<ReplicaWithdrawn>(message)
        || std::holds_alternative<RegistryHeartbeat>(message) || std::holds_alternative<StageChange>(message)
        || std::holds_alternative<RegistryRequest>(message) || std::holds_alternative<RegistryList>(message)
        || std::holds_alternative<RegistryAges>(message);
}

Registrar::Registrar(Strand strand, PeerHub& hub, EventLog& log, AnnouncementTimes times, Duration countDelay)
    : m_strand(std::move(strand))
    , m_hub(hub)
    , m_log(log)
    , m_timer(m_strand)
    , m_queryTimer(m_strand)
    , m_gatewayCountDelay(countDelay)
    , m_registry(times)
{
}

void Registrar::start(const std::vector<Announcement>& restored, std::uint32_t restoredGateways)
{
    m_recentGateways.report(restoredGateways, currentInstant());
    m_notifiedGateways = restoredGateways;
    m_countsGatewaysFrom = currentInstant() + m_gatewayCountDelay;
    for (const auto& announcement : restored)
        m_registry.announce(announcement, m_registry.times().restoredAge(), currentInstant());
    sendHeartbeats();
}

void Registrar::announce(const Announcement& announcement) { handleAnnouncement(announcement, Duration::zero()); }

bool Registrar::withdraw(const std::string& id, std::optional<ReplicaStart> statedStart)
{
    auto run = statedStart ? ReplicaRun { id, *statedStart } : m_registry.newestRun(id);
    if (run)
        handleWithdrawal(*run);
    return run.has_value();
}

void Registrar::peerUp(const Hello& peer)
{
    if (peer.role == Role::Sidecar)
        return;
    // Without the number of connected gateways, which the next heartbeat contains if it is known.
    boost::asio::post(m_strand, [this, peer] {
        if (takesAges(peer))
            m_hub.send(peer.id, m_registry.ages(currentInstant()));
        else
            m_hub.send(peer.id, heartbeatFor(peer.role, 0));
    });
}

void Registrar::peerDown(PeerId peer)
{
    boost::asio::post(m_strand, [this, peer] { m_follower.disconnected(peer); });
}

void Registrar::receive(PeerId peer, const Message& message)
{
    boost::asio::post(m_strand, [this, peer, message] {
        if (const auto* announced = std::get_if<RelayedAnnouncement>(&message)) {
            handleRelayed(*announced);
        } else if (const auto* withdrawn = std::get_if<ReplicaWithdrawn>(&message)) {
            handleWithdrawal(withdrawn->run());
        } else if (const auto* change = std::get_if<StageChange>(&message)) {
            changeStage(*change);
        } else if (const auto* heartbeat = std::get_if<RegistryHeartbeat>(&message)) {
            m_registry.renew(*heartbeat, currentInstant());
            compare(peer, heartbeat->digest, heartbeat->known);
        } else if (const auto* ages = std::get_if<RegistryAges>(&message)) {
            m_registry.renew(*ages, currentInstant());
            compare(peer, ages->digest, ages->known);
        } else if (const auto* request = std::get_if<RegistryRequest>(&message)) {
            m_hub.send(peer, m_registry.listFor(*request, currentInstant()));
        } else if (const auto* list = std::get_if<RegistryList>(&message)) {
            handleList(peer, *list);
        }
    });
}

/// Entries of a list are forwarded one by one only if a replica must get no more work, since that must reach all gateways within the
/// latency of one message. Processes that do not know a replica find it by the digest within a second. If these were forwarded too, after a
/// start of all controllers each gateway would receive each replica once per controller.
void Registrar::handleList(PeerId peer, const RegistryList& list)
{
    m_follower.listReceived(peer);
    for (const auto& announced : list.known) {
        bool removesCapacity = announced.announcement.state == ReplicaState::Draining;
        if (apply(announced.announcement, announced.age) && removesCapacity)
            broadcast(announced);
    }
    for (const auto& withdrawn : list.ended)
        handleWithdrawal(withdrawn.run());
    for (const auto& change : list.changing)
        changeStage(change);
    notifyIfChanged();
    queryIfNeeded();
}

void Registrar::compare(PeerId peer, std::uint64_t digest, std::uint32_t known)
{
    m_follower.digestReceived(peer, digest, known, m_registry.digest());
    queryIfNeeded();
}

void Registrar::queryIfNeeded()
{
    auto now = currentInstant();
    if (auto peer = m_follower.nextPeerToQuery(m_registry.digest(), now))
        m_hub.send(*peer, m_registry.request());
    if (m_follower.nextWake() == Instant::max())
        return;
    m_queryTimer.expires_after(m_follower.nextWake() - now);
    m_queryTimer.async_wait([this](ErrorCode ec) {
        if (!ec)
            queryIfNeeded();
    });
}

void Registrar::handleAnnouncement(const Announcement& announcement, Duration age)
{
    if (!apply(announcement, age))
        return;
    broadcast(RelayedAnnouncement { announcement, age });
    notifyIfChanged();
}

/// The controller that a replica announces itself to tells all others. What another controller has told is passed on only if it takes
/// something away from gateways that don't reach that controller. They find a new replica by the digest. If new ones were passed on too,
/// each gateway would receive each replica from each controller after a start of the whole site.
void Registrar::handleRelayed(const RelayedAnnouncement& relayed)
{
    const auto& announcement = relayed.announcement;
    bool isNew = !m_registry.newestRun(announcement.id) && announcement.state == ReplicaState::Ready;
    if (!isNew)
        return handleAnnouncement(announcement, relayed.age);
    if (apply(announcement, relayed.age))
        notifyIfChanged();
}

/// \returns whether it changed the registry.
bool Registrar::apply(const Announcement& announcement, Duration age)
{
    auto former = m_registry.newestRun(announcement.id);
    auto change = m_registry.announce(announcement, age, currentInstant());
    if (change == ReplicaRegistry::Change::Restarted)
        m_log.write({ EventCode::UpstreamRestarted, {}, toString(announcement.run()) + " after " + toString(*former) });
    else if (change != ReplicaRegistry::Change::Changed)
        return false;
    bool isDraining = announcement.state == ReplicaState::Draining;
    m_log.write({ isDraining ? EventCode::UpstreamDraining : EventCode::UpstreamAnnounced, {},
        announcement.id + " of " + announcement.service + " at " + announcement.address });
    ++m_changeCounts[announcement.id];
    return true;
}

void Registrar::handleWithdrawal(const ReplicaRun& run)
{
    if (!m_registry.withdraw(run, currentInstant()))
        return;
    m_log.write({ EventCode::UpstreamDraining, {}, toString(run) + " has ended" });
    broadcast(ReplicaWithdrawn { run.id, run.start });
    if (!m_registry.entries().contains(run.id))
        m_changeCounts.erase(run.id);
    notifyIfChanged();
}

void Registrar::notifyIfChanged()
{
    if (!onChange)
        return;
    auto now = currentInstant();
    std::vector<Announcement> list;
    std::map<std::string, std::uint64_t> changeCounts;
    for (const auto& [id, entry] : m_registry.entries()) {
        // A silent replica may have crashed; restored after a restart, it would be among the first to receive requests.
        if (entry.isSilent(now))
            continue;
        list.push_back(entry.announcement);
        changeCounts[id] = m_changeCounts[id];
    }
    if (changeCounts == m_notified)
        return;
    m_notified = std::move(changeCounts);
    onChange(std::move(list));
}

void Registrar::changeStage(const StageChange& change)
{
    if (m_registry.changeStage(change, currentInstant()))
        broadcast(change);
}

void Registrar::broadcast(const Message& message)
{
    m_hub.broadcast(message, [](const Hello& peer) { return peer.role != Role::Sidecar; });
}

RegistryHeartbeat Registrar::heartbeatFor(Role role, std::uint32_t gateways) const
{
    auto scope = role == Role::Gateway ? ReplicaRegistry::HeartbeatScope::Stale : ReplicaRegistry::HeartbeatScope::All;
    auto message = m_registry.heartbeat(scope, currentInstant());
    message.gateways = gateways;
    message.recentGateways = m_recentGateways.known().value_or(0);
    return message;
}

/// \returns the number of connected gateways; zero while not all of them may be connected.
std::uint32_t Registrar::countGateways()
{
    if (currentInstant() < m_countsGatewaysFrom)
        return 0;
    auto gateways = static_cast<std::uint32_t>(m_hub.count(isGateway));
    m_recentGateways.report(gateways, currentInstant());
    if (auto recent = m_recentGateways.known().value_or(0); onGatewayCount && recent != m_notifiedGateways) {
        m_notifiedGateways = recent;
        onGatewayCount(recent);
    }
    return gateways;
}

void Registrar::sendHeartbeats()
{
    m_registry.removeExpired(currentInstant());
    notifyIfChanged();
    auto gateways = countGateways();
    m_hub.broadcast(heartbeatFor(Role::Gateway, gateways), isGateway);
    m_hub.broadcast(m_registry.ages(currentInstant()), takesAges);
    // A controller of a release that doesn't know the ages would take all that a heartbeat doesn't name for fresh.
    auto needsNames = [](const Hello& peer) { return peer.role == Role::Controller && !takesAges(peer); };
    if (m_hub.count(needsNames))
        m_hub.broadcast(heartbeatFor(Role::Controller, gateways), needsNames);
    m_timer.expires_after(heartbeatInterval);
    m_timer.async_wait([this](ErrorCode ec) {
        if (!ec)
            sendHeartbeats();
    });
}

} // namespace wrenhinge
