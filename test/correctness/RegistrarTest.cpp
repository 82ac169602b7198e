/** \file
 * What a controller tells a link that has come up, over loopback.
 */
#include "process/Registrar.h"
#include "connection/PeerHub.h"

#include <condition_variable>
#include <doctest/doctest.h>
#include <thread>

using namespace wrenhinge;

namespace {

/// The messages of one type that a process hears, in order.
template <typename T> class Heard {
public:
    void add(const Message& message)
    {
        const auto* heard = std::get_if<T>(&message);
        if (!heard)
            return;
        {
            std::lock_guard lock(m_mutex);
            m_list.push_back(*heard);
        }
        m_added.notify_all();
    }
    /// Waits until so many have come. \returns the last one.
    T await(std::size_t n)
    {
        std::unique_lock lock(m_mutex);
        m_added.wait(lock, [&] { return m_list.size() >= n; });
        return m_list.at(n - 1);
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_added;
    std::vector<T> m_list;
};

Hello hello(std::uint64_t id, Role role)
{
    return Hello { PeerId(id), role, role == Role::Gateway ? "gateway" : "controller", "", "", "", {} };
}

/// A controller's registrar, and a gateway or another controller that is linked to it before it starts.
class Link {
public:
    explicit Link(Duration countsAfter, Role role = Role::Gateway)
        : m_peer(m_io, hello(2, role), atPeer())
    {
        m_registrar = std::make_unique<Registrar>(boost::asio::make_strand(m_io), m_controller, m_log, AnnouncementTimes(), countsAfter);
        m_thread = std::thread([this] { m_io.run(); });
        m_peer.dial(m_controller.listen("127.0.0.1:0").value());
    }
    ~Link()
    {
        m_io.stop();
        m_thread.join();
    }
    void start(std::uint32_t restoredGateways = 0)
    {
        boost::asio::post(m_io, [this, restoredGateways] { m_registrar->start({}, restoredGateways); });
    }
    /// A replica announces itself to the controller.
    void announce(const Announcement& announcement)
    {
        boost::asio::post(m_io, [this, announcement] { m_registrar->announce(announcement); });
    }
    /// Another controller passes a replica's announcement on.
    void relay(const Announcement& announcement) { m_registrar->receive(PeerId(3), RelayedAnnouncement { announcement, {} }); }

    Heard<RegistryHeartbeat> heard;
    Heard<RelayedAnnouncement> announcements;
    Heard<RegistryAges> ages;

private:
    PeerHub::Handlers atController()
    {
        return { [this](const Hello& peer) { m_registrar->peerUp(peer); }, [](PeerId) {}, [](PeerId, Message&&) {},
            [] { return HybridTime {}; }, [](HybridTime) {} };
    }
    PeerHub::Handlers atPeer()
    {
        return { [](const Hello&) {}, [](PeerId) {},
            [this](PeerId, Message&& message) {
                heard.add(message);
                announcements.add(message);
                ages.add(message);
            },
            [] { return HybridTime {}; }, [](HybridTime) {} };
    }

    IoContext m_io { 1 };
    boost::asio::executor_work_guard<IoContext::executor_type> m_work = boost::asio::make_work_guard(m_io);
    LogSettings m_settings;
    EventLog m_log { m_settings, "test" };
    std::unique_ptr<Registrar> m_registrar;
    PeerHub m_controller { m_io, hello(1, Role::Controller), atController() };
    PeerHub m_peer;
    std::thread m_thread;
};

} // namespace

TEST_CASE("a link that comes up is told what its controller knows, but not how many gateways there are")
{
    // Guards against gateways that exceed the retry budget together after a loss of the whole site.
    Link link(Duration::zero());
    CHECK(link.heard.await(1).gateways == 0);
    link.start();
    CHECK(link.heard.await(2).gateways == 1);
    CHECK(link.heard.await(2).recentGateways == 1);
}

TEST_CASE("a controller that has just started says nothing of how many gateways there are")
{
    // Guards against gateways that exceed the retry budget together after a loss of a whole large site.
    Link link(Registrar::gatewayCountDelay);
    link.heard.await(1);
    link.start();
    CHECK(link.heard.await(2).gateways == 0);
}

TEST_CASE("a controller passes on what other controllers tell of known replicas and of those that drain, but not new ones")
{
    // Guards against gateways that receive each replica from each controller after a start of the whole site.
    Link link(Duration::zero());
    link.heard.await(1);
    Announcement direct { "direct", "s", "10.0.0.1:80", "z", "v1", 4 };
    Announcement other { "other", "s", "10.0.0.2:80", "z", "v1", 4 };
    Announcement leaving { "leaving", "s", "10.0.0.3:80", "z", "v1", 4, ReplicaState::Draining };
    link.announce(direct);
    CHECK(link.announcements.await(1).announcement.id == "direct");
    link.relay(other);
    link.relay(leaving);
    CHECK(link.announcements.await(2).announcement.id == "leaving");
    other.state = ReplicaState::Draining;
    other.sequence = 1;
    link.relay(other);
    CHECK(link.announcements.await(3).announcement.id == "other");
}

TEST_CASE("a controller that has just started tells how many gateways there were before")
{
    // Guards against gateways that exceed the limits of a large site together after a loss of all instances.
    Link link(Registrar::gatewayCountDelay);
    link.heard.await(1);
    link.start(361);
    CHECK(link.heard.await(2).gateways == 0);
    CHECK(link.heard.await(2).recentGateways == 361);
}

TEST_CASE("a controller sends another one the ages of all replicas")
{
    Link link(Duration::zero(), Role::Controller);
    CHECK(link.ages.await(1).known == 0);
    link.announce({ "direct", "s", "10.0.0.1:80", "z", "v1", 4 });
    link.announcements.await(1);
    link.start();
    CHECK(link.ages.await(2).known == 1);
    CHECK(link.ages.await(2).ages.size() == 1);
}
