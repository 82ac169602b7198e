/** \file
 * The subset of engines that a gateway uses: balance, stability, zones, and the replacement of lost engines.
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

/// A third of the engines are prefill engines.
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

/// The number of engines of one stage in the subset; only those in `zone`, if given.
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

TEST_CASE("at a site of twelve engines all are used")
{
    auto registry = site(12);
    CHECK(chosenBy(1, registry).ids().size() == 12);
}

TEST_CASE("at a large site a bounded number of engines of each stage is used, two thirds of them in the gateway's own zone")
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

TEST_CASE("if the own zone has too few engines, more are used in other zones")
{
    auto registry = site(180);
    for (int n = 3; n < 180; n += zones)
        registry.withdraw(engine(n, kindOf(n)).run(), start);
    auto subset = chosenBy(3, registry);
    CHECK(count(subset, registry, UpstreamKind::Prefill) == EngineSubset::prefillEngines);
    CHECK(count(subset, registry, UpstreamKind::Decode) == EngineSubset::decodeEngines);
}

TEST_CASE("each engine is used by about equally many gateways, at the current and at the maximum planned site size")
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
        auto mostUsed = std::max_element(users.begin(), users.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
        // The standard deviation of a random choice is the square root of its mean. The largest of 10,000 is within 4.5 deviations.
        CHECK(mostUsed->second <= mean + 4.5 * std::sqrt(mean) + 1);
        CHECK(links == static_cast<std::size_t>(gateways) * (EngineSubset::prefillEngines + EngineSubset::decodeEngines));
    }
}

TEST_CASE("an engine that joins or leaves changes at most one engine of a gateway's subset")
{
    CHECK(rc::check("any engine of a site that leaves and returns", [] {
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

TEST_CASE("draining and silent engines are replaced at once")
{
    auto registry = site(180);
    auto before = chosenBy(1, registry);
    // Half of the engines become silent, including most of the chosen ones.
    auto later = start + AnnouncementTimes().silentAfter() + 1s;
    for (int n = 0; n < 180; n += 2)
        registry.renew(engine(n, kindOf(n)).run(), Duration::zero(), later);
    auto after = chosenBy(1, registry, later);
    CHECK(count(after, registry, UpstreamKind::Decode) == EngineSubset::decodeEngines);
    for (const auto& id : after.ids())
        CHECK_FALSE(registry.entries().at(id).isSilent(later));
    auto draining = engine(2, kindOf(2));
    draining.state = ReplicaState::Draining;
    draining.sequence = 1;
    registry.announce(draining, Duration::zero(), later);
    CHECK_FALSE(chosenBy(1, registry, later).ids().contains(draining.id));
}

// --- At a gateway -----------------------------------------------------------------------------------------------

namespace {

using namespace wrenhinge::forward;

/// A gateway that receives the announcements of all engines, and the sidecars that it wants links to.
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

    /// Advances one second, with a heartbeat for the first `engines` engines.
    void advanceSecond(int engines)
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

TEST_CASE("a gateway keeps links only to the sidecars of the engines that it uses")
{
    // Guards against a load that grows with the number of engines.
    Gateway gateway;
    for (int n = 0; n < 180; ++n)
        gateway.post(RelayedAnnouncement { engine(n, kindOf(n)), Duration::zero() });
    for (int i = 0; i < 20; ++i)
        gateway.advanceSecond(180);
    CHECK(gateway.links.size() == EngineSubset::prefillEngines + EngineSubset::decodeEngines);
}

TEST_CASE("a gateway stops dialling the sidecars of engines that were lost without withdrawing")
{
    // Guards against dialling the addresses of permanently lost engines once a second each, for as long as the gateway runs.
    Gateway gateway;
    for (int n = 0; n < 12; ++n)
        gateway.post(RelayedAnnouncement { engine(n, kindOf(n)), Duration::zero() });
    CHECK(gateway.links.size() == 12);
    for (int i = 0; i < 25; ++i)
        gateway.advanceSecond(10);
    CHECK(gateway.links.size() == 10);
}

TEST_CASE("a gateway without contact to any controller keeps its subset of engines")
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
