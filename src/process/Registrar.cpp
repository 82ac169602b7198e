#include "process/Registrar.h"

#include "base/SystemClock.h"

namespace wrenhinge {

bool isForRegistrar(const Message& message)
{
    return std::holds_alternative<Announced>(message) || std::holds_alternative<Withdrawn>(message)
        || std::holds_alternative<RegistryPulse>(message) || std::holds_alternative<StageChange>(message);
}

Registrar::Registrar(Strand strand, PeerHub& hub, EventLog& log)
    : m_strand(std::move(strand))
    , m_hub(hub)
    , m_log(log)
    , m_timer(m_strand)
{
}

void Registrar::start(const std::vector<Announcement>& remembered)
{
    for (const auto& announcement : remembered)
        m_registry.announce(announcement, rememberedAge, currentInstant());
    pulse();
}

void Registrar::announce(const Announcement& announcement) { take(announcement, Duration::zero()); }

bool Registrar::withdraw(const std::string& id, std::optional<ReplicaStart> stated)
{
    auto run = stated ? ReplicaRun { id, *stated } : m_registry.newestRun(id);
    if (run)
        takeWithdrawal(*run);
    return run.has_value();
}

void Registrar::peerUp(const Hello& peer)
{
    if (peer.role == Role::Sidecar)
        return;
    boost::asio::post(m_strand, [this, id = peer.id] { tellEverything(id); });
}

void Registrar::receive(const Message& message)
{
    boost::asio::post(m_strand, [this, message] {
        if (const auto* announced = std::get_if<Announced>(&message)) {
            take(announced->announcement, announced->age);
        } else if (const auto* withdrawn = std::get_if<Withdrawn>(&message)) {
            takeWithdrawal(withdrawn->run());
        } else if (const auto* change = std::get_if<StageChange>(&message)) {
            changeStage(*change);
        } else if (const auto* pulse = std::get_if<RegistryPulse>(&message)) {
            m_registry.renew(*pulse, currentInstant());
        }
    });
}

void Registrar::take(const Announcement& announcement, Duration age)
{
    auto former = m_registry.newestRun(announcement.id);
    auto change = m_registry.announce(announcement, age, currentInstant());
    if (change == ReplicaRegistry::Change::Restarted)
        m_log.write({ EventCode::UpstreamRestarted, {}, toString(announcement.run()) + " after " + toString(*former) });
    else if (change != ReplicaRegistry::Change::Changed)
        return;
    bool isDraining = announcement.state == ReplicaState::Draining;
    m_log.write({ isDraining ? EventCode::UpstreamDraining : EventCode::UpstreamAnnounced, {},
        announcement.id + " of " + announcement.service + " at " + announcement.address });
    tellAll(Announced { announcement, age });
    ++m_changes[announcement.id];
    noteChange();
}

void Registrar::takeWithdrawal(const ReplicaRun& run)
{
    if (!m_registry.withdraw(run, currentInstant()))
        return;
    m_log.write({ EventCode::UpstreamDraining, {}, toString(run) + " has ended" });
    tellAll(Withdrawn { run.id, run.start });
    if (!m_registry.entries().contains(run.id))
        m_changes.erase(run.id);
    noteChange();
}

void Registrar::noteChange()
{
    if (!onChange)
        return;
    auto now = currentInstant();
    std::vector<Announcement> list;
    std::map<std::string, std::uint64_t> noted;
    for (const auto& [id, entry] : m_registry.entries()) {
        // After a restart a crashed one would be asked first.
        if (entry.isSilent(now))
            continue;
        list.push_back(entry.announcement);
        noted[id] = m_changes[id];
    }
    if (noted == m_noted)
        return;
    m_noted = std::move(noted);
    onChange(std::move(list));
}

void Registrar::changeStage(const StageChange& change)
{
    if (m_registry.changeStage(change, currentInstant()))
        tellAll(change);
}

void Registrar::tellAll(const Message& message)
{
    for (const auto& peer : m_hub.peers()) {
        if (peer.role != Role::Sidecar)
            m_hub.send(peer.id, message);
    }
}

void Registrar::tellEverything(PeerId peer)
{
    auto now = currentInstant();
    for (const auto& [id, entry] : m_registry.entries()) {
        m_hub.send(peer, Announced { entry.announcement, now - entry.heardAt });
        if (entry.isChanging(now))
            m_hub.send(peer, StageChange { id, *entry.changesTo, entry.changeEndsAt - now, entry.announcement.start });
    }
    for (const auto& [id, ended] : m_registry.withdrawn())
        m_hub.send(peer, Withdrawn { id, ended.start });
}

void Registrar::pulse()
{
    auto now = currentInstant();
    m_registry.forgetOld(now);
    noteChange();
    auto message = m_registry.pulse(now);
    for (const auto& peer : m_hub.peers())
        message.gateways += peer.role == Role::Gateway ? 1 : 0;
    tellAll(message);
    m_timer.expires_after(pulseEvery);
    m_timer.async_wait([this](ErrorCode ec) {
        if (!ec)
            pulse();
    });
}

} // namespace wrenhinge
