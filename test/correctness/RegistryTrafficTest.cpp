/** \file
 * What controllers and a gateway send each other to know the same replicas, and how it grows with the site.
 */
#include "message/Codec.h"
#include "request/forward/ForwardLogic.h"

#include <doctest/doctest.h>

#include <functional>
#include <map>
#include <random>

using namespace wrenhinge;

namespace {

constexpr Instant start { std::chrono::seconds(1000) };
constexpr AnnouncementTimes times(3s);

/// Controllers that all pass each change on, and a gateway that is linked to all of them. Messages over a link take up to 20 ms and keep
/// their order.
class Site {
public:
    explicit Site(int replicas, std::size_t controllers = 10)
        : m_controllers(controllers, ReplicaRegistry(times))
        , m_arrivals(controllers, start)
    {
        for (int i = 0; i < replicas; ++i) {
            m_replicas.push_back(announcement(i));
            for (auto& controller : m_controllers)
                controller.announce(m_replicas.back(), 0s, start);
        }
        for (std::size_t c = 0; c < controllers; ++c)
            scheduleHeartbeat(c, start + 1s * static_cast<int>(c) / static_cast<int>(controllers));
        for (int i = 0; i < replicas; ++i)
            scheduleAnnouncement(i, start + times.interval() * i / replicas);
    }

    void run(Duration time)
    {
        auto end = now + time;
        while (!m_agenda.empty() && m_agenda.begin()->first <= end) {
            auto node = m_agenda.extract(m_agenda.begin());
            now = node.key();
            node.mapped()();
        }
        now = end;
    }
    /// The replica changes its state. \param reachesGateway whether the gateway is told.
    void change(int i, bool reachesGateway = true)
    {
        auto& replica = m_replicas[static_cast<std::size_t>(i)];
        replica.state = replica.state == ReplicaState::Ready ? ReplicaState::Draining : ReplicaState::Ready;
        ++replica.sequence;
        auto first = m_random() % m_controllers.size();
        for (std::size_t c = 0; c < m_controllers.size(); ++c) {
            m_agenda.emplace(now + (c == first ? 0ms : delay()), [this, c, replica, reachesGateway] {
                m_controllers[c].announce(replica, 0s, now);
                if (reachesGateway)
                    send(c, RelayedAnnouncement { replica, 0s });
            });
        }
    }
    /// Changes so many replicas a second, at random moments.
    void change(double perSecond, Duration time)
    {
        std::exponential_distribution<double> pause(perSecond);
        for (auto end = now + time; now < end; run(fromSeconds(pause(m_random))))
            change(static_cast<int>(m_random() % m_replicas.size()));
    }

    [[nodiscard]] std::size_t wholeList() const { return encode(m_controllers.front().list(now)).size(); }
    [[nodiscard]] bool agrees() const { return m_gateway.replicas().registry().digest() == m_controllers.front().digest(); }

    Instant now = start;
    std::size_t lists = 0; ///< That the gateway has requested.
    std::size_t bytes = 0; ///< Of the requests and the lists.

private:
    static Announcement announcement(int i)
    {
        Announcement a;
        a.id = "i-" + std::to_string(5000000 + i);
        a.service = "service";
        a.address = "10.1." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1) + ":8009";
        a.zone = "zone-1";
        a.softwareVersion = "v1";
        a.slots = 64;
        a.sequence = 1;
        return a;
    }

    Duration delay() { return std::chrono::microseconds(500 + m_random() % 19500); }

    template <typename E> void send(std::size_t from, E event)
    {
        auto at = m_arrivals[from] = std::max(m_arrivals[from], now + delay());
        m_agenda.emplace(at, [this, event] { step(event); });
    }

    void step(const forward::Event& event)
    {
        for (const auto& effect : m_gateway.step(event, now)) {
            const auto* fetch = std::get_if<forward::FetchRegistry>(&effect);
            if (!fetch)
                continue;
            ++lists;
            bytes += encode(fetch->request).size();
            m_agenda.emplace(now + delay(), [this, fetch = *fetch] {
                auto c = static_cast<std::size_t>(fetch.controller.value() - 1);
                auto list = m_controllers[c].listFor(fetch.request, now);
                bytes += encode(list).size();
                send(c, forward::RegistryListReceived { fetch.controller, std::move(list) });
            });
        }
    }

    void scheduleHeartbeat(std::size_t c, Instant at)
    {
        m_agenda.emplace(at, [this, c] {
            auto heartbeat = m_controllers[c].heartbeat(ReplicaRegistry::HeartbeatScope::Stale, now);
            send(c, forward::RegistryHeartbeatReceived { PeerId(c + 1), std::move(heartbeat) });
            scheduleHeartbeat(c, now + 1s);
        });
    }

    void scheduleAnnouncement(int i, Instant at)
    {
        m_agenda.emplace(at, [this, i] {
            for (auto& controller : m_controllers)
                controller.renew(m_replicas[static_cast<std::size_t>(i)].run(), 0s, now);
            scheduleAnnouncement(i, now + times.interval());
        });
    }

    std::mt19937_64 m_random { 1 };
    std::multimap<Instant, std::function<void()>> m_agenda;
    std::vector<Announcement> m_replicas;
    std::vector<ReplicaRegistry> m_controllers;
    std::vector<Instant> m_arrivals; ///< When the last message from each controller arrives.
    ForwardLogic m_gateway { { "zone-1", 1, { 0.2, 60, 10s }, "gateway", {}, times } };
};

/// The bytes a second of requests and lists at one gateway, after its start.
double listTraffic(int replicas, double changesPerSecond)
{
    Site site(replicas);
    site.run(5s);
    site.bytes = 0;
    site.change(changesPerSecond, 60s);
    return static_cast<double>(site.bytes) / 60;
}

/// What a node may spend on control.
constexpr double controlBytesPerSecond = 3000;

} // namespace

TEST_CASE("changes that all controllers pass on make a gateway request hardly any list")
{
    // Guards against whole lists from each controller after each change.
    CHECK(listTraffic(655, 3) < controlBytesPerSecond / 10);
    CHECK(listTraffic(655, 30) < controlBytesPerSecond);
}

TEST_CASE("what a gateway requests after changes does not grow with the number of replicas")
{
    CHECK(listTraffic(1310, 30) < 1.1 * controlBytesPerSecond);
    CHECK(listTraffic(10000, 3) < controlBytesPerSecond / 10);
}

TEST_CASE("a change that a gateway was not told is repaired soon, with a small part of the list")
{
    Site site(655);
    site.run(5s);
    REQUIRE(site.agrees());
    site.bytes = 0;
    site.change(17, false);
    site.run(2500ms);
    CHECK(site.agrees());
    CHECK(site.lists > 0);
    CHECK(static_cast<double>(site.bytes) < controlBytesPerSecond);
}

TEST_CASE("a gateway that starts beside changes knows all replicas soon, from little more than one whole list")
{
    Site site(655);
    site.change(30, 1s);
    site.run(200ms);
    CHECK(site.agrees());
    CHECK(site.bytes * 4 < site.wholeList() * 5);
}
