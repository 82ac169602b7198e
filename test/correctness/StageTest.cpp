/** \file
 * Stage changes of engines: the gateways' load reports, the plan, and the orders, which two controllers must never send alternately.
 */
#include "request/engine/EngineLoad.h"
#include "request/engine/StageCoordinator.h"
#include "request/engine/StagePlan.h"
#include "request/forward/ReplicaTable.h"

#include <doctest/doctest.h>

using namespace wrenhinge;
using namespace wrenhinge::stages;

namespace {

constexpr Instant start { std::chrono::seconds(1000) };
constexpr Duration lease = 3s;

/// A pool of engines that alternate between two zones.
Pool pool(std::size_t prefill, std::size_t decode, double prefillLoad, double decodeLoad)
{
    Pool pool;
    for (std::size_t i = 0; i < prefill + decode; ++i) {
        auto kind = i < prefill ? UpstreamKind::Prefill : UpstreamKind::Decode;
        pool.engines.push_back({ { "e" + std::to_string(i), {} }, "", i % 2 ? "z1" : "z0", kind });
    }
    pool.prefillLoad = prefillLoad;
    pool.decodeLoad = decodeLoad;
    return pool;
}

constexpr ReplicaStart firstStart { 1'764'700'000'000 };
constexpr ReplicaStart secondStart { 1'764'700'030'000 };

Announcement engine(const std::string& id, UpstreamKind kind, std::uint64_t sequence = 1, ReplicaStart startedAt = {})
{
    Announcement a;
    a.id = id;
    a.service = "llm";
    a.address = id + ":80";
    a.zone = "z";
    a.slots = 64;
    a.kind = kind;
    a.sequence = sequence;
    a.start = startedAt;
    return a;
}

/// A controller's stage coordinator, by default with three prefill replicas and three decode replicas, which are fully used.
class ControllerHarness {
public:
    explicit ControllerHarness(int prefill = 3, int decode = 3)
    {
        for (int n = 1; n <= prefill; ++n)
            m_registry.announce(engine("p" + std::to_string(n), UpstreamKind::Prefill), {}, now);
        for (int n = 1; n <= decode; ++n)
            m_registry.announce(engine("d" + std::to_string(n), UpstreamKind::Decode), {}, now);
    }

    void post(const Event& event) { m_effects = m_coordinator.step(event, now); }
    /// Advances the time with a load report and a tick every half second. \returns the first effect, if any.
    std::optional<Effect> advance(Duration d)
    {
        for (auto end = now + d; now < end;) {
            tick(500ms);
            if (!m_effects.empty())
                return m_effects.front();
        }
        return std::nullopt;
    }
    void tick(Duration d)
    {
        now += d;
        for (const auto& [id, entry] : m_registry.entries())
            m_registry.renew(entry.announcement.run(), Duration(), now);
        post(LoadReported { PeerId(7), { { { "llm", busy } } } });
        post(Tick {});
    }
    /// Becomes the leader and advances until an order is sent.
    SendOrder sendOrder()
    {
        post(LeadershipChanged { 1 });
        auto read = advance(10s);
        REQUIRE(read);
        REQUIRE(std::holds_alternative<ReadEngine>(*read));
        return sendOrder(std::get<ReadEngine>(*read));
    }
    SendOrder sendOrder(const ReadEngine& read)
    {
        post(EngineRead { read.order, EngineState { 4, false } });
        auto acquire = std::get<AcquireToken>(m_effects.front());
        CHECK(acquire.engine == read.engine.run.id);
        post(TokenAcquired { acquire.order, FencingToken(9) });
        return std::get<SendOrder>(m_effects.front());
    }
    template <typename T> std::vector<T> effectsOf() const
    {
        std::vector<T> found;
        for (const auto& effect : m_effects) {
            if (const auto* e = std::get_if<T>(&effect))
                found.push_back(*e);
        }
        return found;
    }
    ReplicaRegistry& registry() { return m_registry; }
    /// Starts or restarts all engines under their ids.
    void startAll(ReplicaStart startedAt)
    {
        for (const auto* id : { "p1", "p2", "p3" })
            m_registry.announce(engine(id, UpstreamKind::Prefill, 1, startedAt), {}, now);
        for (const auto* id : { "d1", "d2", "d3" })
            m_registry.announce(engine(id, UpstreamKind::Decode, 1, startedAt), {}, now);
    }
    void restart(const ReplicaRun& run) { m_registry.announce(engine(run.id, UpstreamKind::Prefill, 1, secondStart), {}, now); }

    Instant now = start;
    StageLoad busy { 1.0, 3.0, 6s }; ///< The load that the gateway reports.

private:
    ReplicaRegistry m_registry;
    StageCoordinator m_coordinator { m_registry, lease, "c1" };
    StageCoordinator::Effects m_effects;
};

} // namespace

TEST_CASE("the plan moves an engine to the busier stage only if that gains enough, and never the last one of a stage")
{
    // Decode replicas are fully used while prefill replicas have capacity.
    auto change = plan(pool(3, 3, 1.0, 2.8));
    REQUIRE(change);
    CHECK(change->to == UpstreamKind::Decode);
    CHECK(change->engine.run.id == "e0"); // Two of the three prefill replicas are in its zone.
    // This split is the best one for this work at any load.
    for (double load : { 0.1, 0.5, 1.0, 2.0 })
        CHECK(!plan(pool(4, 8, 1.4 * load, 4.4 * load)));
    // Prefill is the bottleneck.
    change = plan(pool(1, 5, 1.2, 1.5));
    REQUIRE(change);
    CHECK(change->to == UpstreamKind::Prefill);
    // At this load no request is refused with either split.
    CHECK(!plan(pool(5, 7, 0.5, 2.0)));
    // The last engine of a stage stays, and there is no plan if a stage has none.
    CHECK(!plan(pool(1, 3, 0.1, 3.0)));
    CHECK(!plan(pool(0, 3, 1.0, 3.0)));
    // An engine that is changing counts for its new stage.
    auto changing = pool(3, 3, 1.0, 2.8);
    changing.engines.erase(changing.engines.begin());
    changing.becomingDecode = 1;
    CHECK(!plan(changing));
}

TEST_CASE("at a large site engines are moved one by one until the split is right")
{
    // Guards against a plan that demands a tenth from each single change.
    auto split = pool(14, 26, 4.5, 23);
    std::size_t changes = 0;
    for (auto change = plan(split); change; change = plan(split), ++changes) {
        REQUIRE(changes < split.engines.size());
        CHECK(change->to == UpstreamKind::Decode);
        for (auto& engine : split.engines) {
            if (engine.run.id == change->engine.run.id)
                engine.kind = change->to;
        }
    }
    CHECK(changes >= 4);
    CHECK(changes <= 7);
}

TEST_CASE("no engine is moved to prefill replicas that are hardly used")
{
    // Guards against a stage plan based on the loads of a few gateways while others have not reported yet.
    CHECK(!plan(pool(4, 7, 0.51, 1.53)));
}

TEST_CASE("a change is not reversed while the load stays the same")
{
    for (double prefill = 0.1; prefill < 6; prefill += 0.1) {
        for (std::size_t n = 1; n < 8; ++n) {
            auto before = pool(n, 8 - n, prefill, 6 - prefill);
            auto change = plan(before);
            if (!change)
                continue;
            auto to = change->to;
            auto after = to == UpstreamKind::Decode ? pool(n - 1, 9 - n, prefill, 6 - prefill) : pool(n + 1, 7 - n, prefill, 6 - prefill);
            if (auto next = plan(after))
                CHECK(next->to == to);
        }
    }
}

TEST_CASE("a gateway reports the load that it adds, not what is queued at a slow or unresponsive replica")
{
    EngineProperties facts { 64, 60000, 2s, 500ms, 6s };
    EngineLoad load;
    auto now = start;
    load.take(now);
    std::vector<Instant> running;
    // Ten prompts of 5,000 tokens a second, each with a prefill of 0.1 s and then 6,000 tokens of memory for 3 s. That is the memory of
    // three replicas and the load of four, as a quarter of each is reserved for the growth of answers.
    EngineLoadReport report;
    for (int tick = 1; tick <= 100; ++tick) {
        now += 100ms;
        load.recordPrefill("llm", 5000, tick % 10 ? 100ms : 900ms);
        load.admit("llm", facts, 5000, 6000, now);
        running.push_back(now);
        if (running.size() > 30) {
            load.finish("llm", running.front(), true, now);
            running.erase(running.begin());
        }
        if (tick % 10 == 0)
            report = load.take(now);
    }
    REQUIRE(report.services.contains("llm"));
    CHECK(report.services.at("llm").prefill == doctest::Approx(1.0).epsilon(0.05));
    CHECK(report.services.at("llm").decode == doctest::Approx(3.0 / EngineLoad::meanMemoryUtilization).epsilon(0.1));
    CHECK(report.services.at("llm").stageChange == 6s);
    CHECK(load.take(now + 1s).services.empty());
}

TEST_CASE("the measured time of answers is not biased by the short ones, which end first")
{
    // Guards against decode replicas being ordered to the prefill stage seconds after a restart.
    EngineProperties facts { 64, 60000, 2s, 500ms, 6s };
    EngineLoad load;
    auto now = start;
    load.take(now);
    load.recordPrefill("llm", 5000, 100ms);
    std::vector<std::pair<Instant, Instant>> running;
    for (int tick = 1; tick <= 60; ++tick) {
        now += 100ms;
        load.admit("llm", facts, 5000, 6000, now);
        running.emplace_back(now, now + 1s + (tick % 9) * 1s);
        std::erase_if(running, [&](const auto& item) {
            if (item.second > now)
                return false;
            load.finish("llm", item.first, true, now);
            return true;
        });
    }
    // Ten requests a second occupy the memory of five replicas.
    auto report = load.take(now);
    REQUIRE(report.services.contains("llm"));
    CHECK(report.services.at("llm").decode == doctest::Approx(5 / EngineLoad::meanMemoryUtilization).epsilon(0.3));
}

TEST_CASE("an order contains the engine, a fencing token and the count of accepted orders, and gateways stop using the engine")
{
    ControllerHarness controller;
    auto sent = controller.sendOrder();
    CHECK(sent.engine.run.id.starts_with("p"));
    CHECK(sent.to == UpstreamKind::Decode);
    CHECK(sent.token == FencingToken(9));
    CHECK(sent.acceptedBefore == 4);
    controller.post(OrderAnswered { sent.order, OrderAnswer::Accepted });
    REQUIRE(controller.effectsOf<StageChange>().size() == 1);
    auto change = controller.effectsOf<StageChange>().front();
    CHECK(change.id == sent.engine.run.id);

    // A gateway that receives the change sends nothing to the engine until it announces the new stage.
    ReplicaTable table("z", 1);
    auto now = start;
    table.registry().announce(engine(sent.engine.run.id, UpstreamKind::Prefill), {}, now);
    ReplicaTable::Criteria need;
    need.service = "llm";
    need.kind = UpstreamKind::Prefill;
    CHECK(table.choose(need, {}, now));
    CHECK(table.registry().changeStage(change, now));
    CHECK(!table.registry().changeStage(change, now));
    CHECK(!table.choose(need, {}, now));
    need.kind = UpstreamKind::Decode;
    table.registry().announce(engine(sent.engine.run.id, UpstreamKind::Decode, 2), {}, now + 6s);
    CHECK(table.choose(need, {}, now + 6s));
    // If the order was never carried out, the engine is used again after the stated time.
    table.registry().changeStage({ sent.engine.run.id, UpstreamKind::Prefill, 10s }, now + 7s);
    CHECK(!table.choose(need, {}, now + 16s));
    CHECK(table.choose(need, {}, now + 17s));
}

TEST_CASE("a new leader waits until the former leader's last order is a lease old")
{
    // Guards against orders from two controllers alternately.
    ControllerHarness controller;
    CHECK(!controller.advance(10s));
    controller.post(LeadershipChanged { 5 });
    CHECK(!controller.advance(lease + StageCoordinator::leaseMargin - 500ms));
    CHECK(controller.advance(500ms));
    // There was another leader in between: the wait starts again, and the order in progress is dropped.
    controller.post(LeadershipChanged { 7 });
    CHECK(!controller.advance(lease + StageCoordinator::leaseMargin - 500ms));
    CHECK(controller.advance(500ms));
}

TEST_CASE("a controller that was suspended between token and order sends no order")
{
    // Guards against an older order after a newer one.
    ControllerHarness controller;
    controller.post(LeadershipChanged { 1 });
    auto read = std::get<ReadEngine>(*controller.advance(10s));
    controller.post(EngineRead { read.order, EngineState { 0, false } });
    REQUIRE(controller.effectsOf<AcquireToken>().size() == 1);
    controller.now += 8s;
    controller.post(TokenAcquired { read.order, FencingToken(3) });
    CHECK(controller.effectsOf<SendOrder>().empty());
    CHECK(controller.effectsOf<LogEvent>().front().code == EventCode::StageOrderFailed);
}

TEST_CASE("after an order without a reply, none is sent until it can no longer be carried out")
{
    // Guards against an engine in the wrong stage.
    for (bool isReported : { true, false }) {
        ControllerHarness controller;
        auto sent = controller.sendOrder();
        if (isReported)
            controller.post(OrderAnswered { sent.order, OrderAnswer::None });
        else
            CHECK(std::holds_alternative<LogEvent>(*controller.advance(StageCoordinator::stepTimeout + 500ms)));
        CHECK(!controller.advance(StageCoordinator::unansweredOrderPause - 2s));
        CHECK(controller.advance(3s));
        // A reply to the former order is late now.
        controller.post(OrderAnswered { sent.order, OrderAnswer::Accepted });
        CHECK(controller.effectsOf<StageChange>().empty());
    }
}

TEST_CASE("if an engine is busy, doesn't reply or refuses, another one is tried")
{
    for (int answer = 0; answer < 3; ++answer) {
        ControllerHarness controller;
        controller.post(LeadershipChanged { 1 });
        auto read = std::get<ReadEngine>(*controller.advance(10s));
        if (answer == 0) {
            controller.post(EngineRead { read.order, std::nullopt });
        } else if (answer == 1) {
            controller.post(EngineRead { read.order, EngineState { 0, true } });
        } else {
            auto sent = controller.sendOrder(read);
            controller.post(OrderAnswered { sent.order, OrderAnswer::Refused });
        }
        auto next = controller.advance(2s);
        // The paused engine counts for its current stage, so the plan still asks for a change.
        REQUIRE(next);
        CHECK(std::get<ReadEngine>(*next).engine.run.id != read.engine.run.id);
    }
}

TEST_CASE("a further change in the same direction follows soon, one in the other direction only after the load has settled")
{
    ControllerHarness controller;
    auto sent = controller.sendOrder();
    controller.post(OrderAnswered { sent.order, OrderAnswer::Accepted });
    auto from = sent.engine.run.id;
    controller.registry().changeStage(controller.effectsOf<StageChange>().front(), controller.now);
    auto orderedAt = controller.now;
    // The decode replicas are still overloaded: the next engine follows.
    controller.busy = { 0.1, 6.0, 6s };
    CHECK(StageCoordinator::sameDirectionPause <= 2s);
    auto next = controller.advance(2s); // Two reports of the load.
    REQUIRE(next);
    CHECK(std::get<ReadEngine>(*next).engine.run.id != from);
    controller.post(EngineRead { std::get<ReadEngine>(*next).order, std::nullopt });
    // Now prefill looks like the bottleneck: nothing is reversed before the change has ended and the load has settled.
    controller.busy = { 6.0, 0.5, 6s };
    CHECK(!controller.advance(orderedAt + 6s + StageCoordinator::settleTime - controller.now - 500ms));
    auto back = controller.advance(1s);
    REQUIRE(back);
    CHECK(std::get<ReadEngine>(*back).engine.kind == UpstreamKind::Decode);
}

TEST_CASE("the split of a large site adapts as fast as that of a small one")
{
    // Guards against a pause between orders that doesn't depend on the number of engines.
    for (auto [prefill, decode] : { std::pair(63, 117), std::pair(4, 7) }) {
        CAPTURE(prefill);
        ControllerHarness controller(prefill, decode);
        controller.busy = { 0.28 * prefill, 0.82 * decode, 6s };
        controller.post(LeadershipChanged { 1 });
        REQUIRE(controller.advance(10s));
        std::size_t changes = 0;
        for (auto end = controller.now + 8s; controller.now < end;) {
            if (auto reads = controller.effectsOf<ReadEngine>(); !reads.empty()) {
                auto sent = controller.sendOrder(reads.front());
                controller.post(OrderAnswered { sent.order, OrderAnswer::Accepted });
                controller.registry().announce(engine(sent.engine.run.id, sent.to, 2), {}, controller.now);
                ++changes;
            }
            controller.tick(100ms);
        }
        CHECK(changes > 0);
        CHECK(changes <= static_cast<std::size_t>(std::max(8, 8 * (prefill + decode) / 40)));
        // All planned changes were ordered within these 8 s.
        CHECK(!controller.advance(3s));
    }
}

TEST_CASE("an engine whose announcement is overdue does not count in a plan")
{
    // Guards against counting crashed engines.
    ControllerHarness controller;
    for (const auto* id : { "p4", "p5", "p6" })
        controller.registry().announce(engine(id, UpstreamKind::Prefill), {}, controller.now);
    // With six prefill replicas one would be moved, with the three live ones none.
    controller.busy = { 2.0, 2.8, 6s };
    controller.post(LeadershipChanged { 5 });
    bool isOrdering = false;
    for (int i = 0; i < 20; ++i) {
        controller.now += 500ms;
        for (const auto* id : { "p1", "p2", "p3", "d1", "d2", "d3" })
            controller.registry().renew({ id, {} }, Duration(), controller.now);
        for (const auto* id : { "p4", "p5", "p6" })
            controller.registry().renew({ id, {} }, AnnouncementTimes().overdueAfter() + 100ms, controller.now);
        controller.post(LoadReported { PeerId(7), { { { "llm", controller.busy } } } });
        controller.post(Tick {});
        isOrdering = isOrdering || !controller.effectsOf<ReadEngine>().empty();
    }
    CHECK(!isOrdering);
}

TEST_CASE("an order is aborted if the engine's run that it was planned for has ended")
{
    // Guards against an engine that changes its stage without need just after a restart.
    ControllerHarness controller;
    controller.startAll(firstStart);
    controller.post(LeadershipChanged { 1 });
    auto read = std::get<ReadEngine>(*controller.advance(10s));
    CHECK(read.engine.run.start == firstStart);
    SUBCASE("while its count is read")
    {
        controller.restart(read.engine.run);
        controller.post(EngineRead { read.order, EngineState { 0, false, {} } });
        CHECK(controller.effectsOf<AcquireToken>().empty());
        CHECK(controller.effectsOf<LogEvent>().front().code == EventCode::StageOrderFailed);
    }
    SUBCASE("when another run replies that was not announced yet")
    {
        controller.post(EngineRead { read.order, EngineState { 0, false, secondStart } });
        CHECK(controller.effectsOf<AcquireToken>().empty());
        CHECK(controller.effectsOf<LogEvent>().front().code == EventCode::StageOrderFailed);
    }
    SUBCASE("while a token is acquired")
    {
        controller.post(EngineRead { read.order, EngineState { 0, false, firstStart } });
        REQUIRE(controller.effectsOf<AcquireToken>().size() == 1);
        controller.restart(read.engine.run);
        controller.post(TokenAcquired { read.order, FencingToken(9) });
        CHECK(controller.effectsOf<SendOrder>().empty());
    }
    // Other engines get their orders. The known run gets none if another run replied: the announcement of that one may be late.
    for (int i = 0; i < 2; ++i) {
        auto next = controller.advance(1s);
        REQUIRE(next);
        auto again = std::get<ReadEngine>(*next);
        CHECK((again.engine.run != read.engine.run));
        controller.post(EngineRead { again.order, std::nullopt });
    }
}

TEST_CASE("an order sent to a run that has ended counts as one without a reply, as the newer run may carry it out")
{
    ControllerHarness controller;
    controller.startAll(firstStart);
    auto sent = controller.sendOrder();
    controller.restart(sent.engine.run);
    controller.post(OrderAnswered { sent.order, OrderAnswer::Accepted });
    // Gateways are not told that the newer run changes its stage.
    CHECK(controller.effectsOf<StageChange>().empty());
    CHECK(!controller.advance(StageCoordinator::unansweredOrderPause - 1s));
    CHECK(controller.advance(2s));
}

TEST_CASE("the stage change sent to gateways contains the run that was ordered")
{
    ControllerHarness controller;
    controller.startAll(firstStart);
    auto sent = controller.sendOrder();
    controller.post(OrderAnswered { sent.order, OrderAnswer::Accepted });
    CHECK(controller.effectsOf<StageChange>().front().start == firstStart);
}

TEST_CASE("an engine that refused an order and has restarted is tried again")
{
    // Guards against a pause after a refusal that applies to an engine's id instead of its run, and so for 10 s to the new run as well.
    ControllerHarness controller;
    controller.startAll(firstStart);
    auto sent = controller.sendOrder();
    controller.post(OrderAnswered { sent.order, OrderAnswer::Refused });
    // Announces the other prefill replicas again, with a higher sequence.
    for (const auto* id : { "p1", "p2", "p3" }) {
        if (id != sent.engine.run.id)
            controller.registry().announce(engine(id, UpstreamKind::Prefill, 2, firstStart), {}, controller.now);
    }
    controller.restart(sent.engine.run);
    std::set<std::string> asked;
    for (int i = 0; i < 3; ++i) {
        auto next = controller.advance(2s);
        REQUIRE(next);
        auto read = std::get<ReadEngine>(*next);
        asked.insert(read.engine.run.id);
        controller.post(EngineRead { read.order, std::nullopt });
    }
    CHECK(asked.contains(sent.engine.run.id));
}
