/** \file
 * Which engines a gateway uses: balance, stability, zones, and what takes the place of engines that are gone.
 */
#include "request/engine/EngineSubset.h"
#include "request/fleet/ReplicaRegistry.h"
#include "request/forward/ForwardLogic.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace wrenhinge;

namespace {

constexpr Instant start { std::chrono::seconds(1000) };
constexpr int zones = 5;

std::string zoneOf(int n) { return "zone-" + std::to_string(n % zones); }

Announcement engine(int n, UpstreamKind kind)
{
    Announcement a;
    a.id = "i-" + std::to_string(n * 7919);
    a.service = "model";
    a.address = "10.0." + std::to_string(n / 250) + "." + std::to_string(1 + n % 250) + ":80";
    a.zone = zoneOf(n);
    a.slots = 64;
    a.kind = kind;
    return a;
}

/// A third of the engines read prompts.
UpstreamKind kindOf(int n) { return n / zones % 3 ? UpstreamKind::Decode : UpstreamKind::Prefill; }

ReplicaRegistry site(int engines)
{
    ReplicaRegistry registry;
    for (int n = 0; n < engines; ++n)
        registry.announce(engine(n, kindOf(n)), Duration::zero(), start);
    return registry;
}

EngineSubset chosenBy(int gateway, const ReplicaRegistry& registry, Instant now = start)
{
    EngineSubset subset("gateway-" + std::to_string(gateway), zoneOf(gateway));
    subset.choose(registry, now);
    return subset;
}

/// Of one stage, and in one zone if that is named.
std::size_t count(const EngineSubset& subset, const ReplicaRegistry& registry, UpstreamKind kind, const std::string& zone = {})
{
    return static_cast<std::size_t>(std::count_if(subset.ids().begin(), subset.ids().end(), [&](const std::string& id) {
        const auto& announcement = registry.entries().at(id).announcement;
        return announcement.kind == kind && (zone.empty() || announcement.zone == zone);
    }));
}

std::size_t added(const EngineSubset& before, const EngineSubset& after)
{
    return static_cast<std::size_t>(
        std::count_if(after.ids().begin(), after.ids().end(), [&before](const auto& id) { return !before.ids().contains(id); }));
}

} // namespace

TEST_CASE("a dozen engines are all used")
{
    auto registry = site(12);
    CHECK(chosenBy(1, registry).ids().size() == 12);
}

TEST_CASE("of many engines a bounded number of each stage is used, two thirds of them in the gateway's own zone")
{
    auto registry = site(180);
    auto subset = chosenBy(3, registry);
    CHECK(count(subset, registry, UpstreamKind::Prefill) == EngineSubset::prefillEngines);
    CHECK(count(subset, registry, UpstreamKind::Decode) == EngineSubset::decodeEngines);
    CHECK(count(subset, registry, UpstreamKind::Prefill, "zone-3") == 8);
    CHECK(count(subset, registry, UpstreamKind::Decode, "zone-3") == 16);
    CHECK(subset.isFull("model", UpstreamKind::Decode));
    CHECK_FALSE(subset.isFull("another", UpstreamKind::Decode));
}

TEST_CASE("a zone that lacks engines is made up for by the others")
{
    auto registry = site(180);
    for (int n = 3; n < 180; n += zones)
        registry.withdraw(engine(n, kindOf(n)).run(), start);
    auto subset = chosenBy(3, registry);
    CHECK(count(subset, registry, UpstreamKind::Prefill) == EngineSubset::prefillEngines);
    CHECK(count(subset, registry, UpstreamKind::Decode) == EngineSubset::decodeEngines);
}

TEST_CASE("each engine is used by about equally many gateways, at the size of today's sites and at the size to design for")
{
    for (auto [gateways, engines] : { std::pair(105, 180), std::pair(1400, 10000) }) {
        CAPTURE(gateways);
        auto registry = site(engines);
        std::map<std::string, int> users;
        std::size_t links = 0;
        for (int n = 0; n < gateways; ++n) {
            auto subset = chosenBy(n, registry);
            links += subset.ids().size();
            for (const auto& id : subset.ids())
                ++users[id];
        }
        auto mean = static_cast<double>(links) / engines;
        auto most = std::max_element(users.begin(), users.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
        // A random choice spreads by the root of its mean; one in 10,000 lies within four and a half of these.
        CHECK(most->second <= mean + 4.5 * std::sqrt(mean) + 1);
        CHECK(links == static_cast<std::size_t>(gateways) * (EngineSubset::prefillEngines + EngineSubset::decodeEngines));
    }
}

TEST_CASE("an engine that comes or goes changes at most one choice of a gateway")
{
    CHECK(rc::check("any engine of a site that goes, and comes back", [] {
        auto registry = site(180);
        auto gone = *rc::gen::inRange(0, 180);
        auto gateway = *rc::gen::inRange(0, 105);
        auto before = chosenBy(gateway, registry);
        auto announcement = engine(gone, kindOf(gone));
        registry.withdraw(announcement.run(), start);
        auto without = chosenBy(gateway, registry);
        RC_ASSERT(!without.ids().contains(announcement.id));
        RC_ASSERT(added(before, without) == (before.ids().contains(announcement.id) ? 1u : 0u));
        announcement.start = ReplicaStart(2);
        registry.announce(announcement, Duration::zero(), start);
        RC_ASSERT(chosenBy(gateway, registry).ids() == before.ids());
    }));
}

TEST_CASE("engines that drain or are silent make room for others at once")
{
    auto registry = site(180);
    auto before = chosenBy(1, registry);
    // Half of the engines, among them most of those that were chosen, are heard of no more.
    auto later = start + ReplicaRegistry::silentAfter + 1s;
    for (int n = 0; n < 180; n += 2)
        registry.renew(engine(n, kindOf(n)).run(), Duration::zero(), later);
    auto after = chosenBy(1, registry, later);
    CHECK(count(after, registry, UpstreamKind::Decode) == EngineSubset::decodeEngines);
    for (const auto& id : after.ids())
        CHECK_FALSE(registry.entries().at(id).isSilent(later));
    auto leaving = engine(2, kindOf(2));
    leaving.state = ReplicaState::Draining;
    leaving.sequence = 1;
    registry.announce(leaving, Duration::zero(), later);
    CHECK_FALSE(chosenBy(1, registry, later).ids().contains(leaving.id));
}

// --- At a gateway -----------------------------------------------------------------------------------------------

namespace {

using namespace wrenhinge::forward;

/// A gateway that hears of all engines, and the sidecars that it wants to be linked to.
class Gateway {
public:
    Gateway() { post(RegistryHeartbeat { {}, 1 }); }

    void post(const Event& event)
    {
        for (const auto& effect : m_logic.step(event, now)) {
            if (const auto* link = std::get_if<ConnectSidecar>(&effect))
                links.insert(link->engineAddress);
            else if (const auto* leave = std::get_if<DisconnectSidecar>(&effect))
                links.erase(leave->engineAddress);
        }
    }

    /// A second in which these engines are heard of.
    void second(int engines)
    {
        now += 1s;
        RegistryHeartbeat heartbeat;
        for (int n = 0; n < engines; ++n) {
            heartbeat.ages[engine(n, kindOf(n)).id] = Duration::zero();
            heartbeat.startOffsets.push_back(0);
        }
        heartbeat.gateways = 1;
        post(heartbeat);
    }

    Instant now = start;
    std::set<std::string> links;

private:
    ForwardLogic m_logic { { "zone-1", 1, { 0.2, 60, 10s }, "gateway-1" } };
};

} // namespace

TEST_CASE("a gateway links to the sidecars of the engines that it uses, and to no others for long")
{
    // Symptom: gateways of a large site are late at everything, with idle engines. Sequence: each of 105 gateways links to each of 180
    // sidecars, and is told of each change of room. Cause: what a gateway hears grew with the number of engines.
    Gateway gateway;
    for (int n = 0; n < 180; ++n)
        gateway.post(RelayedAnnouncement { engine(n, kindOf(n)), Duration::zero() });
    for (int i = 0; i < 20; ++i)
        gateway.second(180);
    CHECK(gateway.links.size() == EngineSubset::prefillEngines + EngineSubset::decodeEngines);
}

TEST_CASE("sidecars of engines that are gone without a word are not dialled for ever")
{
    // Symptom: a gateway dials addresses where nobody answers, once a second each, for as long as it runs. Sequence: engines are lost for
    // good and say nothing. Cause: an address was forgotten only when its engine withdrew itself.
    Gateway gateway;
    for (int n = 0; n < 12; ++n)
        gateway.post(RelayedAnnouncement { engine(n, kindOf(n)), Duration::zero() });
    CHECK(gateway.links.size() == 12);
    for (int i = 0; i < 25; ++i)
        gateway.second(10);
    CHECK(gateway.links.size() == 10);
}

TEST_CASE("a gateway that hears no controller keeps the engines that it uses")
{
    Gateway gateway;
    for (int n = 0; n < 12; ++n)
        gateway.post(RelayedAnnouncement { engine(n, kindOf(n)), Duration::zero() });
    for (int i = 0; i < 60; ++i) {
        gateway.now += 1s;
        gateway.post(Tick {});
    }
    CHECK(gateway.links.size() == 12);
}
