/** \file
 * Synchronization of replica registries between processes: heartbeats that list only stale entries, digests, and full lists.
 */
#include "message/Codec.h"
#include "request/fleet/RegistryFollower.h"
#include "request/fleet/ReplicaRegistry.h"
#include "request/forward/ForwardLogic.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace wrenhinge;

namespace {

constexpr Instant start { std::chrono::seconds(1000) };
constexpr auto stale = ReplicaRegistry::HeartbeatScope::Stale;
constexpr PeerId firstPeer { 1 };
constexpr PeerId secondPeer { 2 };

Announcement replica(int n, std::uint64_t sequence = 1, ReplicaStart began = {}, ReplicaState state = ReplicaState::Ready)
{
    Announcement a;
    a.id = "i-" + std::to_string(n);
    a.service = "s";
    a.address = "10.0.0." + std::to_string(n % 250 + 1) + ":80";
    a.zone = "z";
    a.slots = 4;
    a.state = state;
    a.sequence = sequence;
    a.start = began;
    return a;
}

ReplicaRegistry registryOf(int n)
{
    ReplicaRegistry registry;
    for (int i = 0; i < n; ++i)
        registry.announce(replica(i), 0s, start);
    return registry;
}

/// Applies a list that another process has sent.
void apply(ReplicaRegistry& registry, const RegistryList& list, Instant now)
{
    for (const auto& announced : list.known)
        registry.announce(announced.announcement, announced.age, now);
    for (const auto& withdrawn : list.ended)
        registry.withdraw(withdrawn.run(), now);
    for (const auto& change : list.changing)
        registry.changeStage(change, now);
}

} // namespace

TEST_CASE("a heartbeat lists only stale entries, and its size does not grow with the number of fresh ones")
{
    // Guards against processor time and traffic of idle processes that grow with replicas times links.
    auto few = registryOf(10);
    auto many = registryOf(10000);
    auto bytes = [](const ReplicaRegistry& registry) { return encode(registry.heartbeat(stale, start + 1s)).size(); };
    CHECK(bytes(many) <= bytes(few) + 8);
    many.renew({ "i-7", {} }, 0s, start + 5s);
    auto heartbeat = many.heartbeat(stale, start + 5s);
    CHECK(heartbeat.ages.size() == 9999);
    CHECK_FALSE(heartbeat.ages.contains("i-7"));
}

TEST_CASE("a process that knows the same replicas renews all entries that a heartbeat does not list")
{
    auto sender = registryOf(20);
    auto receiver = registryOf(20);
    for (int tick = 1; tick <= 30; ++tick) {
        auto now = start + tick * 1s;
        for (int i = 1; i < 20; ++i)
            sender.announce(replica(i, static_cast<std::uint64_t>(tick) + 1), 0s, now);
        receiver.renew(sender.heartbeat(stale, now), now);
        for (int i = 1; i < 20; ++i)
            CHECK_FALSE(receiver.entries().at("i-" + std::to_string(i)).isOverdue(now));
    }
    // Both detect the replica that has not announced itself again.
    CHECK(sender.entries().at("i-0").isSilent(start + 30s));
    CHECK(receiver.entries().at("i-0").isSilent(start + 30s));
}

TEST_CASE("a silent replica is detected within a second of its detection at the controller")
{
    auto sender = registryOf(2);
    auto receiver = registryOf(2);
    for (auto now = start; now < start + 20s; now += 1s) {
        sender.announce(replica(1, static_cast<std::uint64_t>(now.time_since_epoch().count())), 0s, now);
        receiver.renew(sender.heartbeat(stale, now), now);
        if (sender.entries().at("i-0").isSilent(now - 1s))
            CHECK(receiver.entries().at("i-0").isSilent(now));
    }
}

TEST_CASE("controllers that renew each other's entries detect a replica that has crashed")
{
    // Guards against gateways that send requests to replaced replicas, whose addresses belong to other replicas by then.
    auto a = registryOf(2);
    auto b = registryOf(2);
    auto gateway = registryOf(2);
    auto now = start;
    for (int i = 1; i <= 100; ++i) {
        now = start + i * 100ms;
        if (i % 12 == 0)
            a.announce(replica(1, static_cast<std::uint64_t>(i)), 0s, now);
        if (i % 10 == 3) {
            b.renew(a.heartbeat(ReplicaRegistry::HeartbeatScope::All, now), now);
            gateway.renew(a.heartbeat(stale, now), now);
        }
        if (i % 10 == 7) {
            a.renew(b.heartbeat(ReplicaRegistry::HeartbeatScope::All, now), now);
            gateway.renew(b.heartbeat(stale, now), now);
        }
        for (const auto* registry : { &a, &b, &gateway })
            CHECK_FALSE(registry->entries().at("i-1").isSilent(now));
    }
    for (const auto* registry : { &a, &b, &gateway }) {
        CHECK(registry->entries().at("i-0").isSilent(now));
        CHECK(registry->entries().at("i-0").lastHeardAt <= start + AnnouncementTimes().assumedAge());
    }
}

TEST_CASE("controllers tell each other the age of each replica in a byte, and detect a replica that has crashed")
{
    // Guards against traffic between controllers of 20 bytes a replica and second, and against ended runs that never become silent.
    auto a = registryOf(1000);
    auto b = registryOf(1000);
    auto now = start;
    for (int i = 1; i <= 200; ++i) {
        now = start + i * 100ms;
        if (i % 12 == 0) {
            for (int n = 1; n < 1000; ++n)
                a.announce(replica(n, static_cast<std::uint64_t>(i)), 0s, now);
        }
        if (i % 10 == 3)
            b.renew(a.ages(now), now);
        if (i % 10 == 7)
            a.renew(b.ages(now), now);
        for (const auto* registry : { &a, &b })
            CHECK_FALSE(registry->entries().at("i-999").isSilent(now));
    }
    CHECK(encode(a.ages(now)).size() < 1100);
    for (const auto* registry : { &a, &b }) {
        CHECK(registry->entries().at("i-0").isSilent(now));
        CHECK(registry->entries().at("i-0").lastHeardAt <= start + ReplicaRegistry::ageUnit);
    }
}

TEST_CASE("ages of other runs renew nothing")
{
    // Guards against ages that are taken for those of other replicas.
    auto sender = registryOf(3);
    auto receiver = registryOf(3);
    SUBCASE("a replica has restarted") { sender.announce(replica(0, 1, ReplicaStart(5)), 0s, start + 3s); }
    SUBCASE("a replica has ended") { sender.withdraw(replica(2).run(), start + 3s); }
    SUBCASE("a replica is new") { sender.announce(replica(3), 0s, start + 3s); }
    CHECK(sender.ages(start).runs != receiver.ages(start).runs);
    for (int n = 0; n < 3; ++n)
        sender.renew({ "i-" + std::to_string(n), {} }, 0s, start + 10s);
    receiver.renew(sender.ages(start + 10s), start + 10s);
    for (const auto& [id, entry] : receiver.entries())
        CHECK((entry.lastHeardAt == start));
}

TEST_CASE("ages are understood while replicas drain, and one too long for a byte renews nothing")
{
    auto sender = registryOf(2);
    auto receiver = registryOf(2);
    sender.announce(replica(0, 2, {}, ReplicaState::Draining), 0s, start + 30s);
    receiver.renew(sender.ages(start + 30s), start + 30s);
    CHECK((receiver.entries().at("i-0").lastHeardAt == start + 30s));
    CHECK((receiver.entries().at("i-1").lastHeardAt == start));
}

TEST_CASE("a process that knows other replicas renews only the entries that are listed")
{
    // Guards against requests to a replica that has ended.
    auto sender = registryOf(3);
    auto receiver = registryOf(3);
    sender.announce(replica(0, 1, ReplicaStart(5)), 0s, start + 3s);
    sender.renew({ "i-1", {} }, 0s, start + 10s);
    auto heartbeat = sender.heartbeat(stale, start + 10s);
    CHECK(heartbeat.digest != receiver.digest());
    receiver.renew(heartbeat, start + 10s);
    CHECK((receiver.entries().at("i-0").lastHeardAt == start));
    CHECK((receiver.entries().at("i-1").lastHeardAt == start));
    CHECK((receiver.entries().at("i-2").lastHeardAt == start));
}

TEST_CASE("a heartbeat of a release that sends no digest renews the entries that it lists, and no others")
{
    auto receiver = registryOf(2);
    receiver.renew(RegistryHeartbeat { { { "i-0", 0s } }, 1, {}, { 0 } }, start + 5s);
    CHECK((receiver.entries().at("i-0").lastHeardAt == start + 5s));
    CHECK((receiver.entries().at("i-1").lastHeardAt == start));
}

TEST_CASE("the digest changes with the state of replicas, and not with repeated announcements")
{
    auto registry = registryOf(5);
    auto before = registry.digest();
    registry.announce(replica(0, 9), 0s, start + 1s);
    CHECK(registry.digest() == before);
    SUBCASE("a replica drains") { registry.announce(replica(0, 10, {}, ReplicaState::Draining), 0s, start); }
    SUBCASE("a replica has restarted") { registry.announce(replica(0, 1, ReplicaStart(7)), 0s, start); }
    SUBCASE("a replica has ended") { registry.withdraw(replica(0).run(), start); }
    SUBCASE("a replica is added") { registry.announce(replica(5), 0s, start); }
    SUBCASE("a replica changes its stage") { registry.changeStage({ "i-0", UpstreamKind::Decode, 5s, {} }, start); }
    SUBCASE("a replica's entry expires")
    {
        for (int i = 1; i < 5; ++i)
            registry.renew({ "i-" + std::to_string(i), {} }, 0s, start + 50s);
        registry.removeExpired(start + 62s);
    }
    CHECK(registry.digest() != before);
}

TEST_CASE("an expired stage change leaves no difference between digests")
{
    auto registry = registryOf(1);
    auto before = registry.digest();
    registry.changeStage({ "i-0", UpstreamKind::Decode, 5s, {} }, start);
    registry.removeExpired(start + 6s);
    CHECK(registry.digest() == before);
}

TEST_CASE("after exchanging lists two processes know the same replicas, whatever they knew before")
{
    CHECK(rc::check("any two histories, and a list in each direction", [] {
        ReplicaRegistry a;
        ReplicaRegistry b;
        for (auto* registry : { &a, &b }) {
            auto events = *rc::gen::inRange(0, 20);
            for (int i = 0; i < events; ++i) {
                auto of = replica(*rc::gen::inRange(0, 4), *rc::gen::inRange<std::uint64_t>(1, 4),
                    ReplicaStart(*rc::gen::inRange<std::uint64_t>(1, 4)), *rc::gen::element(ReplicaState::Ready, ReplicaState::Draining));
                if (*rc::gen::inRange(0, 4))
                    registry->announce(of, 0s, start);
                else
                    registry->withdraw(of.run(), start);
            }
        }
        apply(a, b.list(start), start);
        apply(b, a.list(start), start);
        // Unlike those of a real replica, two announcements of one run with the same sequence number may differ here. Each process keeps
        // its own then.
        for (const auto& [id, entry] : a.entries())
            RC_ASSERT(b.find(entry.announcement.run()));
        RC_ASSERT(a.entries().size() == b.entries().size());
    }));
}

TEST_CASE("one peer is queried at a time, another one if it does not respond, and none whose list is empty")
{
    RegistryFollower follower;
    follower.digestReceived(firstPeer, 7, 0, 1);
    CHECK_FALSE(follower.nextPeerToQuery(1, start));
    follower.digestReceived(firstPeer, 7, 5, 1);
    follower.digestReceived(secondPeer, 7, 5, 1);
    CHECK((follower.nextPeerToQuery(1, start) == firstPeer));
    CHECK_FALSE(follower.nextPeerToQuery(1, start + 100ms));
    CHECK((follower.nextWake() == start + RegistryFollower::responseTimeout));
    SUBCASE("the response makes both agree")
    {
        follower.listReceived(firstPeer);
        CHECK_FALSE(follower.nextPeerToQuery(7, start + 200ms));
        CHECK((follower.nextWake() == Instant::max()));
    }
    SUBCASE("no response") { CHECK((follower.nextPeerToQuery(1, start + RegistryFollower::responseTimeout) == secondPeer)); }
    SUBCASE("the peer disconnects")
    {
        follower.disconnected(firstPeer);
        CHECK((follower.nextPeerToQuery(1, start + 100ms) == secondPeer));
    }
    SUBCASE("the digests still differ after the response: each peer is queried once a second")
    {
        follower.listReceived(firstPeer);
        CHECK((follower.nextPeerToQuery(3, start + 100ms) == secondPeer));
        follower.listReceived(secondPeer);
        CHECK_FALSE(follower.nextPeerToQuery(3, start + 900ms));
        CHECK((follower.nextPeerToQuery(3, start + RegistryFollower::retryInterval) == firstPeer));
    }
}

TEST_CASE("a gateway that starts with ten controllers requests the list from one of them, and from no other after that")
{
    // Guards against gateways that serve nothing in the second after a loss of all instances, with the processor busy.
    auto known = registryOf(185);
    ForwardLogic gateway({ "z", 1, { 0.2, 60, 10s }, "gateway" });
    auto requestsIn = [](const ForwardLogic::Effects& effects) {
        std::vector<PeerId> list;
        for (const auto& effect : effects) {
            if (const auto* ask = std::get_if<forward::FetchRegistry>(&effect))
                list.push_back(ask->controller);
        }
        return list;
    };
    std::vector<PeerId> all;
    for (std::uint64_t n = 1; n <= 10; ++n) {
        for (auto id : requestsIn(gateway.step(forward::RegistryHeartbeatReceived { PeerId(n), known.heartbeat(stale, start) }, start)))
            all.push_back(id);
    }
    REQUIRE(all.size() == 1);
    CHECK(requestsIn(gateway.step(forward::RegistryListReceived { all.front(), known.list(start) }, start + 50ms)).empty());
    CHECK(gateway.replicas().registry().digest() == known.digest());
    for (std::uint64_t n = 1; n <= 10; ++n)
        CHECK(requestsIn(gateway.step(forward::RegistryHeartbeatReceived { PeerId(n), known.heartbeat(stale, start + 1s) }, start + 1s))
                  .empty());
}
