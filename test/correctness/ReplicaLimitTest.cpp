/** \file
 * Request rate limits that replicas state: which limits count, what all gateways together send, and what becomes of the rest.
 */
#include "ForwardBench.h"
#include "QuotaFleet.h"
#include "connection/RateLimitHeader.h"
#include "request/fleet/ReplicaLimits.h"
#include "request/sidecar/CallRateLimiter.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace wrenhinge;
using namespace wrenhinge::bench;

namespace {

const ReplicaRun replicaA { "a", {} };

StatedRateLimit states(double perSecond) { return { true, perSecond }; }

StatedRateLimit statedBy(const std::vector<std::string>& values)
{
    HeaderList headers { { "X", "1" } };
    for (const auto& value : values)
        headers.emplace_back("request-rate-limit", value);
    return readRateLimit(headers, rateLimitName);
}

/// Answers the call, with what the replica states of its limit.
void answer(Bench& bench, const Send& send, const StatedRateLimit& stated)
{
    AnswerMetadata metadata;
    metadata.status = 200;
    metadata.rateLimit = stated;
    bench.post(AnswerHead { send.id, send.attempt, metadata, {} });
    bench.post(AnswerBody { send.id, send.attempt, "body" });
    bench.post(AnswerEnd { send.id, send.attempt });
}

/// Sends requests for the time, each answered at once. \returns how many each replica got.
std::map<std::string, int> load(
    Bench& bench, Duration time, const std::map<std::string, StatedRateLimit>& limits, const std::string& path = "/often/x")
{
    constexpr Duration pause = 20ms;
    std::map<std::string, int> calls;
    for (auto end = bench.now + time; bench.now < end; bench.wait(pause)) {
        bench.submit(path);
        if (auto sends = bench.effects<Send>(); !sends.empty()) {
            ++calls[sends.front().replica.id];
            auto stated = limits.find(sends.front().replica.id);
            answer(bench, sends.front(), stated == limits.end() ? StatedRateLimit() : stated->second);
        } else {
            ++calls["refused"];
        }
    }
    return calls;
}

} // namespace

// --- What is stated ---------------------------------------------------------------------------------------------

TEST_CASE("a stated limit is a decimal number from zero, and of several the lowest counts")
{
    CHECK_FALSE(statedBy({}).isStated);
    CHECK(statedBy({ "1.5" }).perSecond == 1.5);
    CHECK(statedBy({ "0" }).perSecond == 0);
    CHECK(statedBy({ "2", "1.5" }).perSecond == 1.5);
    CHECK(statedBy({ "2, 1.5" }).perSecond == 1.5);
    CHECK(statedBy({ "1e300" }).perSecond == 1e6);
    for (const auto* bad : { "", "x", "-1", "nan", "inf", "1.5x", "1 5" }) {
        CHECK(statedBy({ bad }).isStated);
        CHECK_FALSE(statedBy({ bad }).perSecond);
    }
}

TEST_CASE("a limit is lifted by an answer without one, but not by one that was on its way before")
{
    ReplicaLimitTable table;
    auto t = bench::start;
    CHECK(table.observe(replicaA, states(1.5), t, t + 10ms));
    CHECK_FALSE(table.observe(replicaA, {}, t + 5ms, t + 20ms));
    CHECK_FALSE(table.observe(replicaA, states(2), t + 5ms, t + 20ms));
    CHECK_FALSE(table.observe(replicaA, { true, {} }, t + 30ms, t + 40ms));
    CHECK(table.limits().at(replicaA) == 1.5);
    CHECK(table.observe(replicaA, states(1.2), t + 5ms, t + 50ms));
    CHECK(table.observe(replicaA, {}, t + 60ms, t + 70ms));
    CHECK(table.limits().empty());
}

TEST_CASE("processes agree on a limit in whatever order they hear of its changes")
{
    auto t = bench::start;
    std::vector<ReplicaRateLimit> changes { { "a", {}, 1.5, 1 }, { "a", {}, {}, 2 }, { "a", {}, 3.0, 3 }, { "a", {}, 2.0, 3 },
        { "a", {}, {}, 3 } };
    std::sort(changes.begin(), changes.end(), [](const auto& l, const auto& r) { return l.perSecond < r.perSecond; });
    do {
        ReplicaLimitTable table;
        for (const auto& change : changes)
            table.take({ change }, t);
        CHECK(table.limits().at(replicaA) == 2);
    } while (std::next_permutation(changes.begin(), changes.end(),
        [](const auto& l, const auto& r) { return std::pair(l.perSecond, l.revision) < std::pair(r.perSecond, r.revision); }));
}

TEST_CASE("the limit of a replica's run ends with the run")
{
    auto t = bench::start;
    ReplicaRegistry registry;
    Announcement announcement;
    announcement.id = "a";
    announcement.start = ReplicaStart(5);
    registry.announce(announcement, {}, t);
    ReplicaLimitTable table;
    table.observe({ "a", ReplicaStart(5) }, states(1), t, t);
    table.observe({ "unknown", {} }, states(1), t, t);
    CHECK(table.dropEnded(registry, t).empty());
    announcement.start = ReplicaStart(6);
    registry.announce(announcement, {}, t);
    CHECK((table.dropEnded(registry, t) == std::vector<ReplicaRun> { { "a", ReplicaStart(5) } }));
    CHECK(table.dropEnded(registry, t + 61s).size() == 1);
    CHECK(table.all().empty());
}

// --- All gateways together --------------------------------------------------------------------------------------

TEST_CASE("gateways together send a replica no more than its limit, however many they are, and use it up")
{
    struct Case {
        int gateways;
        double perSecond;
        double demand;
    };
    for (auto [gateways, perSecond, demand] :
        { Case { 1, 1.5, 20 }, { 9, 1.2, 17 }, { 9, 1.5, 300 }, { 9, 20, 200 }, { 33, 10, 300 }, { 300, 1.2, 400 } }) {
        CAPTURE(gateways);
        CAPTURE(perSecond);
        quotas::Fleet fleet(gateways, 3, quotas::replicaLimit(perSecond));
        fleet.advance(1s);
        fleet.load(demand, 30s);
        CHECK(fleet.maxInWindow() <= 6 * perSecond + 5);
        CHECK(fleet.admittedSince(quotas::start + 5s) >= 26 * perSecond * 0.85);
    }
}

TEST_CASE("a replica's limit is used up by callers at few gateways too")
{
    quotas::Fleet fleet(33, 3, quotas::replicaLimit(2));
    fleet.advance(1s);
    fleet.load(20, 30s, [](std::mt19937& random) { return random() % 2; });
    CHECK(fleet.admittedSince(quotas::start + 5s) >= 26 * 2 * 0.7);
}

TEST_CASE("a replica's limit holds while gateways start, stand still or are cut off, and with all controllers away")
{
    quotas::Fleet fleet(9, 3, quotas::replicaLimit(1.5));
    fleet.advance(1s);
    fleet.load(40, 6s);
    SUBCASE("gateways restart in turn")
    {
        for (std::size_t g = 0; g < 9; ++g) {
            fleet.restartGateway(g);
            fleet.load(40, 500ms);
        }
    }
    SUBCASE("controllers restart in turn")
    {
        for (std::size_t c = 0; c < 3; ++c) {
            fleet.restartController(c);
            fleet.load(40, 1s);
        }
    }
    SUBCASE("one side of a partition") { fleet.partition(4, 1); }
    SUBCASE("no controllers") { fleet.partition(0, 3); }
    SUBCASE("a gateway stands still for seconds")
    {
        fleet.freeze(3, true);
        fleet.load(40, 5s);
        fleet.freeze(3, false);
    }
    fleet.load(40, 20s);
    fleet.heal();
    fleet.load(40, 10s);
    CHECK(fleet.maxInWindow() <= 6 * 1.5 + 5);
}

TEST_CASE("gateways report nothing more once no limit is in force")
{
    AccountQuotas counts;
    counts.setRules({ { "a", { QuotaRule::Unit::Requests, 1, 1, 0 } } }, bench::start);
    CHECK(counts.nextReport() == bench::start);
    counts.setRules({}, bench::start + 1s);
    CHECK(counts.nextReport() == Instant::max());
}

// --- At a gateway -----------------------------------------------------------------------------------------------

TEST_CASE("a gateway sends a replica with a limit little, and the rest to others of its service")
{
    Bench bench;
    bench.serve().replica("a").replica("b");
    load(bench, 1s, { { "a", states(1) } });
    auto calls = load(bench, 10s, { { "a", states(1) } });
    CHECK(calls["a"] >= 1);
    CHECK(calls["a"] <= 10 + 5);
    CHECK(calls["b"] >= 400);
    CHECK(calls["refused"] == 0);
}

TEST_CASE("once a replica states no limit any more, it gets its share again")
{
    Bench bench;
    bench.serve().replica("a").replica("b");
    load(bench, 5s, { { "a", states(1) } });
    load(bench, 10s, {});
    CHECK(load(bench, 5s, {})["a"] >= 50);
}

TEST_CASE("a request that no replica may take within its limit is refused at once as not run, with the time until one may")
{
    Bench bench;
    bench.serve().replica("a");
    load(bench, 4s, { { "a", states(0.5) } });
    bench.submit("/often/x");
    while (!bench.effects<Send>().empty()) {
        answer(bench, bench.only<Send>(), states(0.5));
        bench.submit("/often/x");
    }
    auto refuse = bench.only<Refuse>();
    CHECK(refuse.error.code == ResultCode::Overloaded);
    REQUIRE(refuse.error.retryAfter);
    CHECK(*refuse.error.retryAfter >= 50ms);
    CHECK(bench.only<Finished>().sends == 0);
}

TEST_CASE("a replica at its limit counts as healthy")
{
    Bench bench;
    bench.serve().replica("a").replica("b");
    load(bench, 5s, { { "a", states(1) } });
    const auto& load = bench.logic().replicas().loads().at(replicaA);
    CHECK(load.failureRate == 0);
    CHECK(load.backoffUntil == Instant());
}

TEST_CASE("a gateway keeps a limit that another one has observed, and reports its own calls and limits")
{
    Bench bench;
    bench.serve().replica("a").replica("b");
    bench.post(ReplicaLimitsReceived { { { "a", {}, 0.25, 1 } } });
    CHECK(load(bench, 2s, { { "a", states(0.25) } })["a"] <= 2);
    bench.post(ControllerConnected { PeerId(50) });
    auto report = bench.only<ReportReplicaLimits>();
    CHECK((report.controller == PeerId(50)));
    CHECK(report.limits.size() == 1);

    bench.post(RegistryHeartbeatReceived { PeerId(50), { {}, 1 } });
    bench.wait(1s);
    CHECK(bench.effects<RequestPermits>().size() == 1);
}

TEST_CASE("a replica that restarts under its id has no limit")
{
    Bench bench;
    bench.serve().replica("a").replica("b");
    bench.post(ReplicaLimitsReceived { { { "a", {}, 0.25, 1 } } });
    bench.restart("a");
    CHECK(load(bench, 2s, {})["a"] >= 20);
}

TEST_CASE("after a request was refused for want of a permit, less urgent ones wait for it")
{
    ReplicaLimits limits(1);
    auto t = bench::start;
    limits.take({ { "a", {}, 0.5, 1 } }, t);
    limits.permits().setGateways(1, t);
    int urgent = 0;
    int others = 0;
    for (int i = 0; i < 2000; ++i, t += 20ms) {
        for (auto [rank, count] : { std::pair(1u, &urgent), { 5u, &others } }) {
            if (!limits.mayCall(replicaA, rank, t))
                continue;
            limits.recordCall(replicaA, t);
            ++*count;
        }
    }
    CHECK(urgent >= 10);
    CHECK(others == 0);
}

TEST_CASE("a permit is for one call, and asking twice takes nothing twice")
{
    ReplicaLimits limits(1);
    auto t = bench::start;
    limits.take({ { "a", {}, 1.0, 1 } }, t);
    limits.permits().setGateways(1, t);
    while (!limits.mayCall(replicaA, 1, t))
        t += 20ms;
    auto before = limits.usage(replicaA, t)->remaining;
    CHECK(limits.mayCall(replicaA, 1, t));
    limits.recordCall(replicaA, t);
    CHECK(limits.usage(replicaA, t)->remaining == before);
    limits.recordCall(replicaA, t);
    CHECK(limits.usage(replicaA, t)->remaining == doctest::Approx(before - 1));
}

namespace {

constexpr PeerId controller { 50 };

/// A gateway with one replica, which has a limit, and with a controller that issues its permits.
struct LimitedService {
    LimitedService()
    {
        bench.serve().replica("a");
        bench.post(ReplicaLimitsReceived { { { "a", {}, 0.25, 1 } } });
        bench.post(RegistryHeartbeatReceived { controller, { {}, 1 } });
        grant(0);
    }
    /// Answers the gateway's next request for permits.
    void grant(std::uint32_t count)
    {
        bench.wait(PermitClient::promptRequestDelay);
        auto sentAt = bench.only<RequestPermits>().request.sentAt;
        bench.post(PermitsReceived { controller, { ++grants, sentAt, { { limitId(replicaA), count } } } });
    }
    Bench bench;
    std::int64_t grants = 0;
};

} // namespace

TEST_CASE("a request waits for a permit that is to be had instead of being refused")
{
    LimitedService service;
    auto id = service.bench.submit("/often/x");
    CHECK(service.bench.effects<Refuse>().empty());
    CHECK(service.bench.effects<Send>().empty());
    service.grant(1);
    CHECK((service.bench.only<Send>().id == id));
}

TEST_CASE("of the requests that wait for a permit the most urgent one goes first")
{
    LimitedService service;
    auto ranked = document(2);
    ranked.routes[0].rank = 1;
    ranked.routes[1].rank = 5;
    service.bench.post(DocumentReceived { ranked, true });
    service.bench.submit("/often/x");
    auto urgent = service.bench.submit("/once/x");
    service.grant(1);
    CHECK((service.bench.only<Send>().id == urgent));
}

TEST_CASE("a request that waits for a permit in vain is refused soon, and those after it at once")
{
    LimitedService service;
    service.bench.submit("/often/x");
    service.bench.wait(250ms);
    CHECK(service.bench.only<Refuse>().error.retryAfter);
    service.bench.submit("/often/x");
    CHECK(service.bench.only<Refuse>().error.retryAfter);
}

TEST_CASE("a caller that leaves while its request waits for a permit uses none")
{
    LimitedService service;
    auto id = service.bench.submit("/often/x");
    service.bench.post(CallerDisconnected { id });
    service.grant(1);
    CHECK(service.bench.effects<Send>().empty());
    service.bench.submit("/often/x");
    CHECK(service.bench.effects<Send>().size() == 1);
}

// --- At a sidecar -----------------------------------------------------------------------------------------------

TEST_CASE("a sidecar lets one call through for each that the limit allows, and says how long further ones wait")
{
    CallRateLimiter limiter;
    auto t = bench::start;
    CHECK(limiter.mayCall(t));
    CHECK(limiter.waitFor(5, t) == Duration::zero());
    CHECK(limiter.observe(states(2), t, t + 1ms));
    t += 1ms;
    CHECK_FALSE(limiter.mayCall(t));
    CHECK(limiter.waitFor(0, t) == 500ms);
    CHECK(limiter.waitFor(1, t) == 1s);
    t += 10s;
    CHECK(limiter.mayCall(t));
    limiter.recordCall(t);
    CHECK_FALSE(limiter.mayCall(t));
    limiter.undoCall(t);
    CHECK(limiter.mayCall(t));
    CHECK_FALSE(limiter.observe({}, bench::start, t));
    CHECK(limiter.observe({}, t, t + 1ms));
    CHECK(limiter.mayCall(t));
}

TEST_CASE("an upstream that states zero is still asked now and then whether it does")
{
    CallRateLimiter limiter;
    limiter.observe(states(0), bench::start, bench::start);
    CHECK(limiter.waitFor(0, bench::start) == 4s);
}
