/** \file
 * How processes come to know the same replicas: heartbeats that name only what was not renewed, digests, and lists.
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
constexpr PeerId second { 2 };

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

/// What a process learns from another one's answer.
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

TEST_CASE("a heartbeat names only what was not renewed, and its size does not grow with the replicas that are")
{
    // Symptom: processes that have nothing to do take processor time and bytes that grow with replicas times links. Sequence: each
    // controller tells each link the age of each replica once a second. Cause: what has not changed was told again.
    auto few = registryOf(10);
    auto many = registryOf(10000);
    auto bytes = [](const ReplicaRegistry& registry) { return encode(registry.heartbeat(stale, start + 1s)).size(); };
    CHECK(bytes(many) <= bytes(few) + 8);
    many.renew({ "i-7", {} }, 0s, start + 5s);
    auto heartbeat = many.heartbeat(stale, start + 5s);
    CHECK(heartbeat.ages.size() == 9999);
    CHECK_FALSE(heartbeat.ages.contains("i-7"));
}

TEST_CASE("who knows the same replicas renews all that a heartbeat does not name")
{
    auto sender = registryOf(20);
    auto receiver = registryOf(20);
    for (int second = 1; second <= 30; ++second) {
        auto now = start + second * 1s;
        for (int i = 1; i < 20; ++i)
            sender.announce(replica(i, static_cast<std::uint64_t>(second) + 1), 0s, now);
        receiver.renew(sender.heartbeat(stale, now), now);
        for (int i = 1; i < 20; ++i)
            CHECK_FALSE(receiver.entries().at("i-" + std::to_string(i)).isOverdue(now));
    }
    // The one that crashed after the first second is found out at both.
    CHECK(sender.entries().at("i-0").isSilent(start + 30s));
    CHECK(receiver.entries().at("i-0").isSilent(start + 30s));
}

TEST_CASE("a replica that falls silent is found out within a second of when its controller finds out")
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

TEST_CASE("controllers that renew each other's replicas find out the one that has crashed")
{
    // Symptom: after replicas were replaced, gateways send to the former ones, whose addresses are other replicas' by then: 98 calls of 150
    // requests in 10 s were answered as misdirected. Sequence: a replica ends without a word; two controllers go on with heartbeats to each
    // other. Cause: a run that a heartbeat did not name counted as heard of 0.8 s ago, at both in turn, for ever.
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
        CHECK(registry->entries().at("i-0").lastHeardAt <= start + ReplicaRegistry::assumedAge);
    }
}

TEST_CASE("who does not know the same replicas renews those alone that are named")
{
    // Symptom: a replica that has ended is sent to. Sequence: a controller has heard of its newer run, or of its end; this process has not,
    // and takes a heartbeat to mean the run that it knows. Cause: what is not named says nothing to who knows something else.
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

TEST_CASE("a heartbeat of a release that sends no digest renews what it names, and nothing else")
{
    auto receiver = registryOf(2);
    receiver.renew(RegistryHeartbeat { { { "i-0", 0s } }, 1, {}, { 0 } }, start + 5s);
    CHECK((receiver.entries().at("i-0").lastHeardAt == start + 5s));
    CHECK((receiver.entries().at("i-1").lastHeardAt == start));
}

TEST_CASE("the digest tells apart what is news, and nothing else")
{
    auto registry = registryOf(5);
    auto before = registry.digest();
    registry.announce(replica(0, 9), 0s, start + 1s);
    CHECK(registry.digest() == before);
    SUBCASE("a replica drains") { registry.announce(replica(0, 10, {}, ReplicaState::Draining), 0s, start); }
    SUBCASE("a replica has started again") { registry.announce(replica(0, 1, ReplicaStart(7)), 0s, start); }
    SUBCASE("a replica has ended") { registry.withdraw(replica(0).run(), start); }
    SUBCASE("a replica comes") { registry.announce(replica(5), 0s, start); }
    SUBCASE("a replica changes its stage") { registry.changeStage({ "i-0", UpstreamKind::Decode, 5s, {} }, start); }
    SUBCASE("a replica is forgotten")
    {
        for (int i = 1; i < 5; ++i)
            registry.renew({ "i-" + std::to_string(i), {} }, 0s, start + 50s);
        registry.removeExpired(start + 62s);
    }
    CHECK(registry.digest() != before);
}

TEST_CASE("a change of stage that is over leaves no difference between processes")
{
    auto registry = registryOf(1);
    auto before = registry.digest();
    registry.changeStage({ "i-0", UpstreamKind::Decode, 5s, {} }, start);
    registry.removeExpired(start + 6s);
    CHECK(registry.digest() == before);
}

TEST_CASE("a list makes a process know what its sender knows, whatever either had heard")
{
    CHECK(rc::check("two histories, and a list each way", [] {
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
        // Two announcements of one run with the same number may differ here, as no replica's do; then each keeps its own.
        for (const auto& [id, entry] : a.entries())
            RC_ASSERT(b.find(entry.announcement.run()));
        RC_ASSERT(a.entries().size() == b.entries().size());
    }));
}

TEST_CASE("one process is asked at a time, another one when it does not answer, and none that knows nothing")
{
    RegistryFollower follower;
    follower.digestReceived(firstPeer, 7, 0);
    CHECK_FALSE(follower.nextPeerToQuery(1, start));
    follower.digestReceived(firstPeer, 7, 5);
    follower.digestReceived(second, 7, 5);
    CHECK((follower.nextPeerToQuery(1, start) == firstPeer));
    CHECK_FALSE(follower.nextPeerToQuery(1, start + 100ms));
    CHECK((follower.nextWake() == start + RegistryFollower::responseTimeout));
    SUBCASE("the answer makes both agree")
    {
        follower.listReceived(firstPeer);
        CHECK_FALSE(follower.nextPeerToQuery(7, start + 200ms));
        CHECK((follower.nextWake() == Instant::max()));
    }
    SUBCASE("no answer") { CHECK((follower.nextPeerToQuery(1, start + RegistryFollower::responseTimeout) == second)); }
    SUBCASE("its link ends")
    {
        follower.disconnected(firstPeer);
        CHECK((follower.nextPeerToQuery(1, start + 100ms) == second));
    }
    SUBCASE("the answer leaves a difference: each is asked once a second")
    {
        follower.listReceived(firstPeer);
        CHECK((follower.nextPeerToQuery(3, start + 100ms) == second));
        follower.listReceived(second);
        CHECK_FALSE(follower.nextPeerToQuery(3, start + 900ms));
        CHECK((follower.nextPeerToQuery(3, start + RegistryFollower::retryInterval) == firstPeer));
    }
}

TEST_CASE("a gateway that starts beside ten controllers asks one of them for the list, and then none")
{
    // Symptom: gateways serve nothing in the second after a loss of all instances, with the processor busy. Sequence: ten controllers tell
    // a gateway that has linked to them 185 replicas each, one message a replica. Cause: what one had told was told by all others too.
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
