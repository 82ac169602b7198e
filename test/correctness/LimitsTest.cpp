/** \file
 * Who may send how much: AccountLimits, RetryBudget; and who gets the work: UpstreamTable, Placement.
 */
#include "request/sidecar/AccountLimits.h"
#include "request/sidecar/Placement.h"
#include "request/sidecar/RetryBudget.h"

#include <doctest/doctest.h>
#include <map>

using namespace wrenhinge;

namespace {

constexpr Instant start { std::chrono::seconds(1000) };

void announce(UpstreamTable& table, std::uint64_t id, UpstreamKind kind, std::uint32_t occupied = 0)
{
    Hello hello;
    hello.id = PeerId(id);
    hello.name = "r" + std::to_string(id);
    table.onLinkUp(hello.id);
    LoadReport load;
    load.slots = 20;
    load.occupied = occupied;
    load.meanHold = 4s;
    table.announce(hello, { "lugeja", kind, "", 3s, load }, start);
}

} // namespace

TEST_CASE("an account's rate refills with time")
{
    AccountLimits limits;
    AccountRules rules { 2.0, std::nullopt };
    CHECK(limits.acquire("a", rules, start));
    CHECK(limits.acquire("a", rules, start));
    auto refused = limits.acquire("a", rules, start);
    REQUIRE(!refused);
    CHECK(refused.error().code == ResultCode::AccountRateLimit);
    CHECK(refused.error().retryAfter == 500ms);
    CHECK(limits.acquire("a", rules, start + 500ms));
    CHECK(limits.acquire("b", rules, start));
}

TEST_CASE("an account's requests in progress are limited")
{
    AccountLimits limits;
    AccountRules rules { std::nullopt, 1 };
    CHECK(limits.acquire("a", rules, start));
    CHECK(limits.acquire("a", rules, start).error().code == ResultCode::AccountConcurrencyLimit);
    limits.release("a");
    CHECK(limits.acquire("a", rules, start));
}

TEST_CASE("retries stay a share of successes")
{
    RetryBudget budget;
    int taken = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.onSuccess();
        taken += budget.tryWithdraw(start + 1ms * i) ? 1 : 0;
    }
    CHECK(taken <= 110);
    CHECK(taken >= 90);
}

TEST_CASE("an outage can't use up more than the budget")
{
    RetryBudget budget;
    int taken = 0;
    for (int i = 0; i < 1000; ++i)
        taken += budget.tryWithdraw(start) ? 1 : 0;
    CHECK(taken <= 4);
}

TEST_CASE("work that was sent after a report counts until a later report covers it")
{
    UpstreamTable table;
    announce(table, 1, UpstreamKind::Decode, 19);
    const auto* upstream = table.find(PeerId(1));
    CHECK(predictedSlotWait(*upstream, Priority::Normal) == Duration::zero());
    auto first = table.recordSent(PeerId(1), {});
    auto second = table.recordSent(PeerId(1), {});
    CHECK(predictedSlotWait(*upstream, Priority::Normal) == 200ms);
    auto load = upstream->load;
    load.covered = first;
    table.updateLoad(PeerId(1), load, start);
    CHECK(predictedSlotWait(*upstream, Priority::Normal) == Duration::zero());
    CHECK(second == first + 1);
}

TEST_CASE("an old report does not undo a newer one")
{
    UpstreamTable table;
    announce(table, 1, UpstreamKind::Decode);
    LoadReport newer;
    newer.covered = 5;
    newer.occupied = 7;
    table.updateLoad(PeerId(1), newer, start);
    table.updateLoad(PeerId(1), LoadReport(), start);
    CHECK(table.find(PeerId(1))->load.occupied == 7);
}

TEST_CASE("a replica that fails three times is left alone for a while, longer each time")
{
    std::mt19937_64 random(1);
    UpstreamTable table;
    announce(table, 1, UpstreamKind::Decode);
    CHECK(table.recordFailure(PeerId(1), start) == UpstreamTable::Change::None);
    CHECK(table.recordFailure(PeerId(1), start) == UpstreamTable::Change::None);
    CHECK(table.recordFailure(PeerId(1), start) == UpstreamTable::Change::Ejected);
    CHECK(table.candidates("lugeja", UpstreamKind::Decode, start + 400ms, random).empty());
    CHECK(table.candidates("lugeja", UpstreamKind::Decode, start + 600ms, random).size() == 1);
    CHECK(table.recordFailure(PeerId(1), start + 600ms) == UpstreamTable::Change::Ejected);
    CHECK(table.candidates("lugeja", UpstreamKind::Decode, start + 1500ms, random).empty());
    CHECK(table.recordSuccess(PeerId(1)) == UpstreamTable::Change::Returned);
}

TEST_CASE("a sequence goes on when a lapsed lease is renewed on the same link")
{
    UpstreamTable table;
    announce(table, 1, UpstreamKind::Plain);
    CHECK(table.recordSent(PeerId(1), {}) == 1);
    CHECK(table.removeExpired(start + 4s).size() == 1);
    Hello hello;
    hello.id = PeerId(1);
    table.announce(hello, { "lugeja", UpstreamKind::Plain, "", 3s, {} }, start + 5s);
    CHECK(table.recordSent(PeerId(1), {}) == 2);
}

TEST_CASE("many gateways that see the same stale report don't rush to one replica")
{
    // Symptom: the emptiest replica is flooded between two reports. Cause: every gateway picks the best of all.
    std::map<PeerId, int> chosen;
    for (std::uint64_t gateway = 0; gateway < 100; ++gateway) {
        UpstreamTable table;
        for (std::uint64_t i = 1; i <= 10; ++i)
            announce(table, i, UpstreamKind::Decode, i == 1 ? 5 : 10);
        Placement placement(table, gateway);
        for (int k = 0; k < 10; ++k) {
            auto id = *placement.chooseReplica("lugeja", UpstreamKind::Decode, {}, {}, start);
            table.recordSent(id, {});
            ++chosen[id];
        }
    }
    CHECK(chosen[PeerId(1)] < 300);
    CHECK(chosen.size() == 10);
}

TEST_CASE("gateways that know nothing agree where a prefix lives")
{
    std::optional<PeerId> first;
    for (std::uint64_t gateway = 0; gateway < 20; ++gateway) {
        UpstreamTable table;
        for (std::uint64_t i = 1; i <= 10; ++i)
            announce(table, i, UpstreamKind::Prefill);
        Placement placement(table, gateway);
        std::vector<std::uint64_t> blocks { 42, 43 };
        auto choice = placement.choosePrefillReplica("lugeja", { 128, blocks, Priority::Normal }, {}, start);
        if (!first)
            first = choice->replica;
        CHECK((choice->replica == *first));
    }
}

TEST_CASE("excluded and draining replicas are not chosen")
{
    UpstreamTable table;
    announce(table, 1, UpstreamKind::Plain);
    announce(table, 2, UpstreamKind::Plain);
    Placement placement(table, 1);
    CHECK((placement.chooseReplica("lugeja", UpstreamKind::Plain, {}, { PeerId(1) }, start) == PeerId(2)));
    auto load = table.find(PeerId(2))->load;
    load.draining = true;
    table.updateLoad(PeerId(2), load, start);
    CHECK(!placement.chooseReplica("lugeja", UpstreamKind::Plain, {}, { PeerId(1) }, start));
}
