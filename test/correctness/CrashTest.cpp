/** \file
 * Which requests are considered to crash the replicas that run them, and which are not.
 */
#include "request/fleet/ContentFingerprint.h"
#include "request/fleet/CrashExchange.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <map>
#include <rapidcheck.h>

using namespace wrenhinge;

namespace {

using Status = CrashTracker::Status;

constexpr Instant start { std::chrono::hours(1) };
constexpr ContentFingerprint request { 7 };

const ReplicaSoftware software { "s", "v1" };

ReplicaRun run(int n) { return { "i-" + std::to_string(n), {} }; }

/// A request whose prompt has these parts.
RequestContent contentOf(ContentFingerprint whole, const std::vector<std::uint64_t>& parts = {})
{
    RequestContent content { whole, {} };
    for (auto part : parts)
        content.parts.emplace_back(part);
    return content;
}

Announcement announcement(int n, std::uint64_t sequence)
{
    Announcement a;
    a.id = run(n).id;
    a.service = "s";
    a.address = "10.0.0." + std::to_string(n) + ":80";
    a.zone = "z";
    a.slots = 4;
    a.sequence = sequence;
    return a;
}

/// Records crashes of different replicas, one second apart, each 0.1 s after the request was sent there.
void addCrashes(CrashTracker& tracker, int n, Instant from = start)
{
    for (int i = 0; i < n; ++i)
        tracker.noteCrash(contentOf(request), run(i), software, 100ms, 0s, from + i * 1s);
}

constexpr Instant atThirdCrash = start + 2s;

} // namespace

TEST_CASE("a fingerprint does not depend on the request's id, and differs by account, method, path and body")
{
    auto fingerprintFor
        = [](const RequestParts& parts, std::string_view account) { return fingerprintForAccount(fingerprintOf(parts), account); };
    auto fingerprint = fingerprintFor({ "POST", "desk.example", "/a/x", "body" }, "desk-1");
    CHECK((fingerprint == fingerprintFor({ "POST", "desk.example", "/a/x", "body" }, "desk-1")));
    CHECK((fingerprint != fingerprintFor({ "PUT", "desk.example", "/a/x", "body" }, "desk-1")));
    CHECK((fingerprint != fingerprintFor({ "POST", "desk.example", "/a/x?y=1", "body" }, "desk-1")));
    CHECK((fingerprint != fingerprintFor({ "POST", "desk.example", "/a/x", "body" }, "desk-2")));
    CHECK((fingerprint != fingerprintFor({ "POST", "desk.example", "/a/x", "other" }, "desk-1")));
    // Moving bytes from one part to the next changes the fingerprint.
    CHECK((fingerprint != fingerprintFor({ "POST", "desk.example", "/a/xb", "ody" }, "desk-1")));
    CHECK((fingerprint != fingerprintFor({ "POST", "desk.example", "/a/x", "bodydesk" }, "-1")));
    CHECK((fingerprint != fingerprintFor({ "POST", "desk.example", "/a/x", "bodydesk-1" }, "")));
}

TEST_CASE("a request is refused after three replicas have crashed while running it, one after the other")
{
    // Guards against a request that crashes replica after replica since its caller retries after each crash.
    CrashTracker tracker;
    addCrashes(tracker, 1);
    CHECK(tracker.statusOf(request, start) == Status::Unknown);
    addCrashes(tracker, 2);
    CHECK(tracker.statusOf(request, start + 1s) == Status::Watched);
    addCrashes(tracker, 3);
    CHECK(tracker.statusOf(request, atThirdCrash) == Status::Convicted);
    CHECK(tracker.statusOf(ContentFingerprint(8), atThirdCrash) == Status::Unknown);
    CHECK(tracker.text(request) == "fingerprint 0000000000000007 has crashed i-0 i-1 i-2");
}

TEST_CASE("a replica's crash is counted once, however often it is reported")
{
    CrashTracker tracker;
    for (int i = 0; i < 9; ++i)
        CHECK(tracker.noteCrash(contentOf(request), run(1), software, 100ms, 0s, start + i * 1s).crashes.size() == (i == 0 ? 1 : 0));
    CHECK(tracker.statusOf(request, start + 9s) == Status::Unknown);
}

TEST_CASE("a caller whose requests ran in a rack that lost power is served")
{
    // Guards against refusing a harmless request everywhere for minutes after an outage.
    CrashTracker tracker;
    for (int i = 0; i < 4; ++i)
        tracker.noteCrash(contentOf(request), run(i), software, 300ms, 0s, start + i * 40ms);
    CHECK(tracker.statusOf(request, start + 1s) == Status::Unknown);
    // A retry whose replica crashes too does count, since the request may be the cause.
    tracker.noteCrash(contentOf(request), run(9), software, 100ms, 0s, start + 2s);
    CHECK(tracker.statusOf(request, start + 2s) == Status::Watched);
}

TEST_CASE("a replica that announces itself again has not crashed")
{
    // Guards against refusing a request whose connections were reset though no replica has crashed.
    CrashTracker tracker;
    ReplicaRegistry registry;
    for (int i = 0; i < 3; ++i)
        registry.announce(announcement(i, 1), 0s, start - 1s);
    addCrashes(tracker, 3);
    tracker.dropRefuted(registry, atThirdCrash);
    CHECK(tracker.statusOf(request, atThirdCrash) == Status::Convicted);
    // An announcement that arrives just after the crash may have been sent before.
    registry.announce(announcement(2, 2), 0s, atThirdCrash + 500ms);
    tracker.dropRefuted(registry, atThirdCrash + 500ms);
    CHECK(tracker.statusOf(request, atThirdCrash + 500ms) == Status::Convicted);
    registry.announce(announcement(2, 3), 0s, atThirdCrash + 1700ms);
    tracker.dropRefuted(registry, atThirdCrash + 1700ms);
    CHECK(tracker.statusOf(request, atThirdCrash + 1700ms) == Status::Watched);
}

TEST_CASE("a replica that restarts under its id is another run, and does not clear the crash of its former run")
{
    CrashTracker tracker;
    ReplicaRegistry registry;
    addCrashes(tracker, 3);
    for (int i = 0; i < 3; ++i) {
        auto again = announcement(i, 1);
        again.start = ReplicaStart(1'764'700'000'000);
        registry.announce(again, 0s, atThirdCrash + 5s);
    }
    tracker.dropRefuted(registry, atThirdCrash + 5s);
    CHECK(tracker.statusOf(request, atThirdCrash + 5s) == Status::Convicted);
}

TEST_CASE("a complete response clears the crashes before it, at every process")
{
    CrashTracker tracker;
    addCrashes(tracker, 2);
    auto before = tracker.describeAll(Status::Unknown, start + 1s);
    CHECK(tracker.noteServed(contentOf(request), software, start + 1500ms).served.size() == 1);
    CHECK(tracker.noteServed(contentOf(request), software, start + 1600ms).isEmpty());
    // Processes that have not received the response report the crashes again.
    CHECK(tracker.take(before, start + 1s).isEmpty());
    tracker.noteCrash(contentOf(request), run(5), software, 100ms, 0s, start + 3s);
    CHECK(tracker.statusOf(request, start + 3s) == Status::Unknown);
    CHECK(tracker.noteServed(contentOf(ContentFingerprint(8)), software, start).isEmpty());
    CHECK(tracker.size() == 1);
}

TEST_CASE("a refused request is admitted after a while, and one more crash refuses it for twice as long")
{
    CrashTracker tracker;
    addCrashes(tracker, 3);
    // This run was in progress when the request was refused, so it does not count.
    tracker.noteCrash(contentOf(request), run(10), software, 100ms, 0s, atThirdCrash + 1s);
    auto again = atThirdCrash + CrashTracker::firstConviction;
    CHECK(tracker.statusOf(request, again - 1us) == Status::Convicted);
    CHECK(tracker.statusOf(request, again) == Status::Watched);
    tracker.noteCrash(contentOf(request), run(11), software, 100ms, 0s, again + 1s);
    CHECK(tracker.statusOf(request, again + 1s + 2 * CrashTracker::firstConviction - 1us) == Status::Convicted);
    CHECK(tracker.statusOf(request, again + 1s + 2 * CrashTracker::firstConviction) == Status::Watched);
}

TEST_CASE("entries of requests expire, and their number is bounded")
{
    CrashTracker tracker;
    addCrashes(tracker, 1);
    tracker.removeExpired(start + CrashTracker::retentionPeriod);
    CHECK(tracker.size() == 1);
    tracker.removeExpired(start + CrashTracker::retentionPeriod + 1us);
    CHECK(tracker.size() == 0);
    for (std::uint64_t i = 0; i < 2 * CrashTracker::maxContent; ++i)
        tracker.noteCrash(contentOf(ContentFingerprint(i + 100)), run(1), software, 100ms, 0s, start + i * 1us);
    CHECK(tracker.size() <= CrashTracker::maxContent);
    CHECK(tracker.size() > CrashTracker::maxContent / 2);
    // The newest are still known.
    CHECK(tracker.noteCrash(contentOf(ContentFingerprint(2 * CrashTracker::maxContent + 99)), run(1), software, 100ms, 0s, start + 1s)
              .isEmpty());
}

TEST_CASE("a refused request is not evicted by many requests with one crash each")
{
    CrashTracker tracker;
    addCrashes(tracker, 3);
    for (std::uint64_t i = 0; i < 2 * CrashTracker::maxContent; ++i)
        tracker.noteCrash(contentOf(ContentFingerprint(i + 100)), run(1), software, 100ms, 0s, atThirdCrash + 1s + i * 1us);
    CHECK(tracker.statusOf(request, atThirdCrash + 2s) == Status::Convicted);
}

TEST_CASE("processes that received the same crashes, in any order and more than once, compute the same status")
{
    CHECK(rc::check("any order of reports", [] {
        auto gaps = *rc::gen::container<std::vector<int>>(8, rc::gen::inRange(0, 3000));
        std::vector<CrashReport> reports;
        auto at = start;
        for (std::size_t i = 0; i < gaps.size(); ++i) {
            at += gaps[i] * 1ms;
            CrashReport report;
            report.crashes.push_back({ request, run(static_cast<int>(i)).id, {}, start + 30s - at, 100ms, software, "" });
            reports.push_back(report);
        }
        auto order = *rc::gen::container<std::vector<std::size_t>>(20, rc::gen::inRange<std::size_t>(0, reports.size()));
        CrashTracker one;
        CrashTracker other;
        for (const auto& report : reports)
            one.take(report, start + 30s);
        for (auto i : order)
            other.take(reports[i], start + 30s);
        for (const auto& report : reports)
            other.take(report, start + 30s);
        RC_ASSERT(one.statusOf(request, start + 30s) == other.statusOf(request, start + 30s));
        // A third process that merges the snapshot agrees, and for a process that knows the crashes nothing in it is new.
        CrashTracker third;
        third.take(one.describeAll(Status::Unknown, start + 30s), start + 30s);
        RC_ASSERT(third.statusOf(request, start + 30s) == one.statusOf(request, start + 30s));
        RC_ASSERT(other.take(one.describeAll(Status::Unknown, start + 30s), start + 30s).isEmpty());
    }));
}

TEST_CASE("gateways on both sides of a partition receive the crashes of a request through the controllers that they reach")
{
    // Guards against a request that continues to crash replicas at gateways that reach other controllers than the gateways that saw it.
    CrashExchange one;
    CrashExchange other;
    auto addCrash = [&](CrashExchange& exchange, int n) {
        CrashReport report;
        report.crashes.push_back({ request, run(n).id, {}, 0s, 100ms });
        return exchange.take(report, start + n * 1s);
    };
    auto first = addCrash(one, 0);
    CHECK(first.controllers.crashes.size() == 1);
    CHECK(first.gateways.isEmpty());
    CHECK(other.take(first.controllers, start).gateways.isEmpty());
    auto second = addCrash(other, 1);
    CHECK(second.gateways.crashes.size() == 2);
    one.take(second.controllers, start + 1s);
    auto third = addCrash(one, 2);
    REQUIRE(third.convicted.size() == 1);
    CHECK((third.convicted[0] == request));
    auto updates = other.take(third.controllers, start + 2s).gateways;
    CrashTracker gateway;
    gateway.take(updates, start + 2s);
    CHECK(gateway.statusOf(request, start + 2s) == Status::Convicted);
    // Nothing in a repeated report is new.
    CHECK(one.take(third.controllers, start + 2s).controllers.isEmpty());
}

TEST_CASE("requests with one crash are sent to controllers and not to gateways")
{
    // Guards against thousands of messages for each engine that crashes, caused by sending every request that ran there to all gateways.
    CrashExchange exchange;
    CrashReport report;
    for (std::uint64_t i = 0; i < 60; ++i)
        report.crashes.push_back({ ContentFingerprint(100 + i), "i-1", {}, 0s, 1s });
    auto updates = exchange.take(report, start);
    CHECK(updates.controllers.crashes.size() == 60);
    CHECK(updates.gateways.isEmpty());
    CHECK(exchange.snapshotFor(Role::Controller, start).crashes.size() == 60);
    CHECK(exchange.snapshotFor(Role::Gateway, start).isEmpty());
}

TEST_CASE("the exchange of reports between controllers terminates")
{
    // Guards against controllers that use all their processor time, fill their links and fail to read back the configuration.
    CHECK(rc::check("crashes and responses in any order, over paths of any latency", [] {
        constexpr std::size_t controllers = 4;
        constexpr std::size_t maxMessages = 5000;
        std::array<CrashExchange, controllers> exchanges;
        struct Envelope {
            std::size_t from;
            std::size_t to;
            CrashReport report;
        };
        std::multimap<Instant, Envelope> network;
        for (auto i : *rc::gen::container<std::vector<int>>(12, rc::gen::inRange(0, 1000))) {
            CrashReport report;
            if (i % 3 == 0)
                report.served.push_back({ request, 0s });
            else
                report.crashes.push_back({ request, run(i % 7).id, {}, 0s, 10ms });
            network.emplace(start + i * 1ms, Envelope { controllers, static_cast<std::size_t>(i) % controllers, report });
        }
        auto latencies = *rc::gen::container<std::vector<int>>(64, rc::gen::inRange(1, 300));
        std::size_t messages = 0;
        while (!network.empty() && messages < maxMessages) {
            auto [now, envelope] = *network.begin();
            network.erase(network.begin());
            auto updates = exchanges[envelope.to].take(envelope.report, now);
            for (std::size_t to = 0; to < controllers; ++to) {
                if (to != envelope.to && to != envelope.from && !updates.controllers.isEmpty())
                    network.emplace(
                        now + latencies[messages++ % latencies.size()] * 1ms, Envelope { envelope.to, to, updates.controllers });
            }
        }
        RC_ASSERT(network.empty());
    }));
}
