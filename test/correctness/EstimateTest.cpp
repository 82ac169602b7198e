/** \file
 * What is learnt and foretold: LinearCost, SlotForecast, PrefixIndex, HybridClock, Units.
 */
#include "base/HybridClock.h"
#include "base/Units.h"
#include "request/sidecar/LinearCost.h"
#include "request/sidecar/PrefixIndex.h"
#include "request/sidecar/QueueAdmission.h"
#include "request/sidecar/SlotForecast.h"

#include <doctest/doctest.h>

using namespace wrenhinge;

namespace {

/// A sidecar's table with so much running and waiting work, of different sizes, priorities and deadlines.
WorkTable tableOf(std::uint64_t running, std::uint64_t waiting, Instant now)
{
    WorkTable table;
    for (std::uint64_t i = 1; i <= running + waiting; ++i) {
        Work work;
        work.key = { RequestId { PeerId(1), i }, Attempt(1) };
        work.order = i;
        work.stage = i <= running ? WorkStage::Running : WorkStage::Queued;
        work.started = now - Duration(i * 100);
        work.deadline = now + Duration(i * 7919 % 100 * 10000);
        work.priority = i % 3 ? Priority::Normal : Priority::Urgent;
        work.cost = static_cast<double>(i * 31 % 1000);
        table[work.key] = work;
    }
    return table;
}

} // namespace

TEST_CASE("a pass over the queue predicts for each work what its own prediction says")
{
    // Symptom: requests are held for a minute and then refused, though the engine is idle most of the time. Sequence: a burst queues some
    // hundred prompts. Cause: each event had the wait of each predicted by a look at all of them, which took longer than a prefill.
    Instant now { std::chrono::seconds(1000) };
    for (std::uint32_t slots : { 1u, 3u }) {
        for (std::uint64_t running = 0; running <= slots; ++running) {
            QueueAdmission admission(slots, LinearCost(2ms, 20, 1000));
            auto table = tableOf(running, 60, now);
            WaitQueue order;
            QueueAdmission::WaitPredictor predictor(admission, now);
            for (const auto& [key, work] : table) {
                if (work.stage == WorkStage::Running)
                    predictor.addRunning(work);
                else
                    order.add(work);
            }
            for (const auto& key : order.keys()) {
                const auto& work = table.at(key);
                CHECK(predictor.wait() == admission.predictedWait(table, work, now));
                predictor.addWaiting(work);
            }
        }
    }
}

TEST_CASE("LinearCost learns a line from observations of different sizes")
{
    LinearCost cost(1ms, 1, 100);
    for (int i = 0; i < 300; ++i)
        cost.observe(100.0 * (i % 50), 10ms + Duration(40 * 100 * (i % 50)));
    CHECK(cost.estimate(2000).count() == doctest::Approx(90000).epsilon(0.02));
    CHECK(cost.fixed().count() == doctest::Approx(10000).epsilon(0.1));
}

TEST_CASE("LinearCost never promises work for less than nothing")
{
    LinearCost cost(0ms, 1, 100);
    for (int i = 0; i < 100; ++i)
        cost.observe(i % 2 ? 10000 : 5000, i % 2 ? Duration(1s) : Duration(1ms));
    CHECK(cost.estimate(0) >= Duration::zero());
    CHECK(cost.estimate(10) >= Duration::zero());
}

TEST_CASE("LinearCost follows a replica that slows down")
{
    LinearCost cost(10ms, 0, 1);
    for (int i = 0; i < 60; ++i)
        cost.observe(0, 10ms);
    for (int i = 0; i < 60; ++i)
        cost.observe(0, 100ms);
    CHECK(cost.estimate(0) > 80ms);
}

TEST_CASE("SlotForecast is sure of a request that is at its token limit")
{
    RunningSlot slot { Instant(), 100, 99 };
    CHECK(probabilityOfFreeing({ &slot, 1 }, { 5s, 20ms }, 1, 20ms) == doctest::Approx(1));
}

TEST_CASE("SlotForecast gives the example of its header")
{
    std::vector<RunningSlot> slots(20, RunningSlot { Instant(), 100000, 0 });
    CHECK(probabilityOfFreeing(slots, { 5s, 20ms }, 1, 500ms) == doctest::Approx(0.865).epsilon(0.01));
    CHECK(probabilityOfFreeing(slots, { 5s, 20ms }, 3, 500ms) == doctest::Approx(0.32).epsilon(0.1));
}

TEST_CASE("SlotForecast can't free more slots than run")
{
    std::vector<RunningSlot> slots(2, RunningSlot { Instant(), 100000, 0 });
    CHECK(probabilityOfFreeing(slots, { 1s, 20ms }, 3, 100s) == 0);
    CHECK(expectedTimeToFree({}, { 1s, 20ms }, 0) == Duration::zero());
}

TEST_CASE("SlotForecast expects more ends to take longer")
{
    std::vector<RunningSlot> slots(20, RunningSlot { Instant(), 100000, 0 });
    auto one = expectedTimeToFree(slots, { 5s, 20ms }, 1);
    auto five = expectedTimeToFree(slots, { 5s, 20ms }, 5);
    CHECK(one < five);
    CHECK(five < 3s);
}

TEST_CASE("PrefixIndex counts only the leading blocks")
{
    PrefixIndex index;
    std::vector<std::uint64_t> blocks { 1, 2, 3 };
    index.recordBlocks(std::vector<std::uint64_t> { 1, 3 }, PeerId(7));
    CHECK(index.cachedTokens(blocks, PeerId(7)) == PrefixIndex::tokensPerBlock);
    CHECK(index.cachedTokens(blocks, PeerId(8)) == 0);
}

TEST_CASE("PrefixIndex unlearns what a reply contradicts, and a replica that is gone")
{
    PrefixIndex index;
    std::vector<std::uint64_t> blocks { 1, 2, 3 };
    index.recordBlocks(blocks, PeerId(7));
    index.truncate(blocks, PeerId(7), 1);
    CHECK(index.cachedTokens(blocks, PeerId(7)) == PrefixIndex::tokensPerBlock);
    index.removeReplica(PeerId(7));
    CHECK(index.cachedTokens(blocks, PeerId(7)) == 0);
}

TEST_CASE("PrefixIndex stays within its bound")
{
    PrefixIndex index(10);
    for (std::uint64_t i = 0; i < 100; ++i)
        index.recordBlocks(std::vector<std::uint64_t> { i }, PeerId(1));
    CHECK(index.cachedTokens(std::vector<std::uint64_t> { 0 }, PeerId(1)) == 0);
    CHECK(index.cachedTokens(std::vector<std::uint64_t> { 99 }, PeerId(1)) > 0);
}

TEST_CASE("HybridClock stamps a receipt later than its sending, also on a clock that lags")
{
    HybridClock ahead;
    HybridClock behind;
    auto sent = ahead.tick(1000);
    auto received = behind.receive(sent, 10);
    CHECK(sent < received);
    CHECK(received < behind.tick(20));
}

TEST_CASE("quantities carry their unit")
{
    CHECK(parseDuration("570ms").value() == 570ms);
    CHECK(parseDuration("1.5s").value() == 1500ms);
    CHECK(parseBytes("20MB").value() == 20000000);
    CHECK(parseByteRate("20MB/s").value() == 20000000);
    CHECK(parseRate("30/m").value() == doctest::Approx(0.5));
    CHECK(formatDuration(570ms) == "570ms");
}

TEST_CASE("quantities without a unit, with a wrong one or out of range are refused")
{
    for (const auto* text : { "", "570", "ms", "5 s", "-5s", "5x", "1e400s", "nan", "infs", "1e300h" })
        CHECK_MESSAGE(!parseDuration(text), text);
    for (const auto* text : { "", "20", "20MB/s", "MB" })
        CHECK_MESSAGE(!parseBytes(text), text);
    for (const auto* text : { "20MB", "20/s", "" })
        CHECK_MESSAGE(!parseByteRate(text), text);
    for (const auto* text : { "-1", "1.5", "x", "" })
        CHECK_MESSAGE(!parseCount(text), text);
}
