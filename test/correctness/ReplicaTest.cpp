/** \file
 * Tests of replica announcements, the choice of replicas, the retry budget, and the reservation queue.
 */
#include "request/fleet/SharedRetryBudget.h"
#include "request/forward/ReplicaTable.h"
#include "request/forward/ReservationQueue.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace wrenhinge;

namespace {

constexpr Instant start { std::chrono::seconds(1000) };

Announcement announcement(const std::string& id, std::uint64_t sequence, ReplicaState state = ReplicaState::Ready)
{
    Announcement a;
    a.id = id;
    a.service = "s";
    a.address = id + ":80";
    a.zone = "z";
    a.slots = 4;
    a.state = state;
    a.sequence = sequence;
    return a;
}

ReplicaTable::Criteria criteria()
{
    ReplicaTable::Criteria criteria;
    criteria.service = "s";
    return criteria;
}

} // namespace

TEST_CASE("the announcement with the highest sequence number counts, in whatever order they arrive")
{
    ReplicaRegistry registry;
    CHECK(registry.announce(announcement("a", 3, ReplicaState::Draining), 0s, start) == ReplicaRegistry::Change::Changed);
    CHECK(registry.announce(announcement("a", 2), 0s, start) == ReplicaRegistry::Change::None);
    CHECK(registry.entries().at("a").announcement.state == ReplicaState::Draining);
    CHECK(registry.announce(announcement("a", 4, ReplicaState::Draining), 0s, start) == ReplicaRegistry::Change::Renewed);
}

TEST_CASE("a replica that has ended is not revived by a delayed announcement")
{
    ReplicaRegistry registry;
    registry.announce(announcement("a", 3), 0s, start);
    CHECK(registry.withdraw({ "a", {} }, start));
    CHECK(registry.announce(announcement("a", 9), 0s, start + 10s) == ReplicaRegistry::Change::None);
    CHECK(registry.entries().empty());
}

TEST_CASE("a replica without recent announcements is used only if there is no other, unless no controller sends anything")
{
    ReplicaTable table("z", 1);
    table.registry().announce(announcement("silent", 1), 10s, start);
    CHECK(table.choose(criteria(), {}, start)->run.id == "silent");
    table.noteControllerContact(start);
    table.registry().announce(announcement("recent", 1), 0s, start);
    for (int i = 0; i < 20; ++i)
        CHECK(table.choose(criteria(), {}, start)->run.id == "recent");
    CHECK(table.choose(criteria(), { { "recent", {} } }, start)->run.id == "silent");
}

TEST_CASE("of two replicas at one address only the one that was heard from last is called")
{
    // Guards against calls to replicas that have ended, which other replicas refuse that have got their addresses.
    ReplicaTable table("z", 1);
    auto former = announcement("former", 1);
    auto next = announcement("next", 1);
    next.address = former.address;
    table.noteControllerContact(start);
    table.registry().announce(former, 0s, start);
    CHECK(table.choose(criteria(), {}, start)->run.id == "former");
    auto now = start + 2s;
    table.registry().announce(next, 0s, now);
    for (int i = 0; i < 50; ++i)
        CHECK(table.choose(criteria(), {}, now)->run.id == "next");
    // The announcement of the new one was late, and the former one still runs.
    table.registry().renew(former.run(), 0s, now + 1s);
    CHECK(table.choose(criteria(), {}, now + 1s)->run.id == "former");
    table.registry().withdraw(former.run(), now + 1s);
    CHECK(table.choose(criteria(), {}, now + 1s)->run.id == "next");
    next.address = "other:1";
    next.sequence = 2;
    table.registry().announce(next, 0s, now + 1s);
    CHECK(table.choose(criteria(), {}, now + 1s)->address == "other:1");
}

TEST_CASE("a replica that fails calls gets fewer of them, but always some")
{
    // Guards against a third of the calls failing while all health checks pass: health must be derived from the calls.
    ReplicaTable table("z", 1);
    table.noteControllerContact(start);
    table.registry().announce(announcement("good", 1), 0s, start);
    table.registry().announce(announcement("grey", 1), 0s, start);
    std::map<std::string, int> chosen;
    for (int i = 0; i < 400; ++i) {
        auto id = table.choose(criteria(), {}, start)->run.id;
        ++chosen[id];
        table.begin({ id, {} }, 0);
        bool fails = id == "grey" && i % 2;
        table.end({ id, {} }, 0, fails ? CallOutcome::Failed : CallOutcome::Served, 15ms, start);
    }
    CHECK(chosen["grey"] < 80);
    CHECK(chosen["grey"] > 0);
}

TEST_CASE("the backoff of a replica that can't be reached doubles")
{
    ReplicaTable table("z", 1);
    table.noteControllerContact(start);
    table.registry().announce(announcement("gone", 1), 0s, start);
    table.registry().announce(announcement("there", 1), 0s, start);
    table.begin({ "gone", {} }, 0);
    table.end({ "gone", {} }, 0, CallOutcome::Unreachable, 0s, start);
    auto first = table.loads().at({ "gone", {} }).backoffUntil - start;
    table.begin({ "gone", {} }, 0);
    table.end({ "gone", {} }, 0, CallOutcome::Unreachable, 0s, start);
    CHECK(table.loads().at({ "gone", {} }).backoffUntil - start == 2 * first);
    CHECK(table.choose(criteria(), {}, start)->run.id == "there");
}

TEST_CASE("all gateways together stay within the retry budget in any window")
{
    CHECK(rc::check("retries of all gateways stay within the site's retry budget", [] {
        auto gateways = *rc::gen::inRange(1, 12);
        auto perTenth = *rc::gen::container<std::vector<int>>(100, rc::gen::inRange(0, 12));
        RetryBudgetSettings settings { 0.2, 60, 10s };
        std::vector<SharedRetryBudget> budgets(static_cast<std::size_t>(gateways), SharedRetryBudget(settings));
        int requests = 0;
        int resends = 0;
        Instant now = start;
        for (auto n : perTenth) {
            now += 100ms;
            for (auto& budget : budgets) {
                budget.setGateways(static_cast<std::uint32_t>(gateways), now);
                for (int i = 0; i < n; ++i) {
                    budget.countRequest("s", now);
                    ++requests;
                    // Every request fails and needs two retries.
                    resends += budget.take("s", now) ? 1 : 0;
                    resends += budget.take("s", now) ? 1 : 0;
                }
            }
        }
        RC_ASSERT(resends <= settings.ratio * requests + settings.slack);
    }));
}

TEST_CASE("after the loss of a whole site no gateway uses more than its share of the slack")
{
    // Guards against exceeding the retry budget.
    constexpr std::uint32_t gateways = 30;
    RetryBudgetSettings settings { 0.2, 100, 10s };
    std::vector<SharedRetryBudget> budgets(gateways, SharedRetryBudget(settings));
    int resends = 0;
    auto takeAll = [&budgets, &resends](Instant now) {
        for (auto& budget : budgets) {
            while (budget.take("s", now))
                ++resends;
        }
    };
    takeAll(start);
    for (std::uint32_t met : { 30u, 4u, 30u }) {
        for (auto& budget : budgets)
            budget.setGateways(met, start + 1s);
        takeAll(start + 1s);
    }
    CHECK(resends <= settings.slack);
    // The share of gateways that ended more than a window ago goes to the others.
    budgets.front().setGateways(10, start + 12s);
    CHECK(budgets.front().gateways() == 10);
}

TEST_CASE("a gateway that has just started leaves budget for the retries of its former run in the same window")
{
    // Guards against 285 retries in 10 s where 276 are allowed.
    SharedRetryBudget budget({ 0.2, 100, 10s });
    budget.setGateways(1, start);
    budget.countRequest("s", start);
    CHECK(budget.remaining("s", start) < 0.41 * 100.2);
    CHECK(budget.remaining("s", start + 11s) > 0.79 * 100);
}

TEST_CASE("a replica that is not what it announced gets no calls before its next announcement is due")
{
    // Guards against 106 retries in 10 s for 176 requests.
    ReplicaTable table("z", 1);
    table.registry().announce(announcement("a", 1), 0s, start);
    table.noteControllerContact(start);
    table.begin({ "a", {} }, 0);
    table.end({ "a", {} }, 0, CallOutcome::Misdirected, 1ms, start);
    CHECK(!table.choose(criteria(), {}, start + 1900ms));
    CHECK(table.choose(criteria(), {}, start + 2s));
}

TEST_CASE("requests are queued by rank, ability to meet the target, and arrival, and expire when they can't meet it")
{
    ReservationQueue queue;
    auto id = [](std::uint64_t n) { return RequestId { PeerId(1), n }; };
    queue.add(ReservationQueue::makeWaiter(id(1), 1, start, start + 600ms, start));
    queue.add(ReservationQueue::makeWaiter(id(2), 1, start + 10ms, start - 1s, start + 10ms));
    queue.add(ReservationQueue::makeWaiter(id(3), 1, start + 20ms, start + 620ms, start + 20ms));
    queue.add(ReservationQueue::makeWaiter(id(4), 0, start + 30ms, start + 630ms, start + 30ms));
    CHECK((queue.inOrder(start + 40ms) == std::vector { id(4), id(1), id(3), id(2) }));
    // The late request expires first: it waits only for capacity that the others leave.
    auto lateExpiry = start + 10ms + ReservationQueue::maxLateWait;
    CHECK((queue.nextExpiry() == lateExpiry));
    CHECK((queue.takeExpired(lateExpiry) == std::vector { id(2) }));
    CHECK((queue.nextExpiry() == start + 600ms));
    CHECK((queue.takeExpired(start + 600ms) == std::vector { id(1) }));
    CHECK((queue.takeExpired(start + 630ms) == std::vector { id(3), id(4) }));
    CHECK(queue.size() == 0);
}
