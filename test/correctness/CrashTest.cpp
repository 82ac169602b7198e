/** \file
 * Which requests are taken to crash the replicas that run them, and which are not.
 */
#include "request/fleet/CrashExchange.h"
#include "request/fleet/RequestFingerprint.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <map>
#include <rapidcheck.h>

using namespace wrenhinge;

namespace {

using Status = CrashTracker::Status;

constexpr Instant start { std::chrono::hours(1) };
constexpr RequestFingerprint request { 7 };

ReplicaRun run(int n) { return { "i-" + std::to_string(n), {} }; }

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

/// Ends of different replicas a second apart, each 0.1 s after the request was sent there.
void addCrashes(CrashTracker& tracker, int n, Instant from = start)
{
    for (int i = 0; i < n; ++i)
        tracker.noteCrash(request, run(i), 100ms, from + i * 1s);
}

constexpr Instant atThirdCrash = start + 2s;

} // namespace

TEST_CASE("a request is the same under any id, and another one for any other account, path or body")
{
    auto fingerprintFor
        = [](const RequestParts& parts, std::string_view account) { return fingerprintForAccount(fingerprintOf(parts), account); };
    auto fingerprint = fingerprintFor({ "POST", "desk.example", "/a/x", "body" }, "desk-1");
    CHECK((fingerprint == fingerprintFor({ "POST", "desk.example", "/a/x", "body" }, "desk-1")));
    CHECK((fingerprint != fingerprintFor({ "PUT", "desk.example", "/a/x", "body" }, "desk-1")));
    CHECK((fingerprint != fingerprintFor({ "POST", "desk.example", "/a/x?y=1", "body" }, "desk-1")));
    CHECK((fingerprint != fingerprintFor({ "POST", "desk.example", "/a/x", "body" }, "desk-2")));
    CHECK((fingerprint != fingerprintFor({ "POST", "desk.example", "/a/x", "other" }, "desk-1")));
    // What one part loses another one may not gain.
    CHECK((fingerprint != fingerprintFor({ "POST", "desk.example", "/a/xb", "ody" }, "desk-1")));
    CHECK((fingerprint != fingerprintFor({ "POST", "desk.example", "/a/x", "bodydesk" }, "-1")));
    CHECK((fingerprint != fingerprintFor({ "POST", "desk.example", "/a/x", "bodydesk-1" }, "")));
}

TEST_CASE("a request under which three replicas have ended, one after the other, is refused")
{
    // Symptom: one request ends replica after replica. Sequence: its caller sends it again after each end. Cause: each run was a new
    // request to whoever took it, and nobody counted the crashes.
    CrashTracker tracker;
    addCrashes(tracker, 1);
    CHECK(tracker.statusOf(request, start) == Status::Unknown);
    addCrashes(tracker, 2);
    CHECK(tracker.statusOf(request, start + 1s) == Status::Watched);
    addCrashes(tracker, 3);
    CHECK(tracker.statusOf(request, atThirdCrash) == Status::Refused);
    CHECK(tracker.statusOf(RequestFingerprint(8), atThirdCrash) == Status::Unknown);
    CHECK(tracker.text(request) == "fingerprint 0000000000000007 has crashed i-0 i-1 i-2");
}

TEST_CASE("a replica crashes once, however many say so")
{
    CrashTracker tracker;
    for (int i = 0; i < 9; ++i)
        CHECK(tracker.noteCrash(request, run(1), 100ms, start + i * 1s).crashes.size() == (i == 0 ? 1 : 0));
    CHECK(tracker.statusOf(request, start + 9s) == Status::Unknown);
}

TEST_CASE("a caller whose requests ran at a whole rack that lost its power is served")
{
    // Symptom: after an outage a caller's lookup is refused everywhere for minutes though it harms nobody. Sequence: a caller looks the
    // same thing up four times at once, and the four replicas end at the same time. Cause: crashes are counted as if each had followed
    // another.
    CrashTracker tracker;
    for (int i = 0; i < 4; ++i)
        tracker.noteCrash(request, run(i), 300ms, start + i * 40ms);
    CHECK(tracker.statusOf(request, start + 1s) == Status::Unknown);
    // It comes again, and the replica that it comes to ends too: that may be the request's doing.
    tracker.noteCrash(request, run(9), 100ms, start + 2s);
    CHECK(tracker.statusOf(request, start + 2s) == Status::Watched);
}

TEST_CASE("a replica that is heard of again has not ended")
{
    // Symptom: a request whose connections are reset is refused though no replica has ended. Sequence: the connections of a gateway's
    // machine are reset three times, while the replicas go on. Cause: the end of a connection is taken for the end of its replica.
    CrashTracker tracker;
    ReplicaRegistry registry;
    for (int i = 0; i < 3; ++i)
        registry.announce(announcement(i, 1), 0s, start - 1s);
    addCrashes(tracker, 3);
    tracker.dropRefuted(registry, atThirdCrash);
    CHECK(tracker.statusOf(request, atThirdCrash) == Status::Refused);
    // Heard of just after its end: it may have been said before.
    registry.announce(announcement(2, 2), 0s, atThirdCrash + 500ms);
    tracker.dropRefuted(registry, atThirdCrash + 500ms);
    CHECK(tracker.statusOf(request, atThirdCrash + 500ms) == Status::Refused);
    registry.announce(announcement(2, 3), 0s, atThirdCrash + 1700ms);
    tracker.dropRefuted(registry, atThirdCrash + 1700ms);
    CHECK(tracker.statusOf(request, atThirdCrash + 1700ms) == Status::Watched);
}

TEST_CASE("a replica that starts again under its id is another run, and does not clear what ended its former one")
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
    CHECK(tracker.statusOf(request, atThirdCrash + 5s) == Status::Refused);
}

TEST_CASE("a whole answer clears what ended before it, at every process")
{
    CrashTracker tracker;
    addCrashes(tracker, 2);
    auto before = tracker.describeAll(Status::Unknown, start + 1s);
    CHECK(tracker.noteServed(request, start + 1500ms).served.size() == 1);
    CHECK(tracker.noteServed(request, start + 1600ms).isEmpty());
    // Others that have not heard of the answer tell the crashes again.
    CHECK(tracker.take(before, start + 1s).isEmpty());
    tracker.noteCrash(request, run(5), 100ms, start + 3s);
    CHECK(tracker.statusOf(request, start + 3s) == Status::Unknown);
    CHECK(tracker.noteServed(RequestFingerprint(8), start).isEmpty());
    CHECK(tracker.size() == 1);
}

TEST_CASE("a refused request is let through after a while, and refused for twice as long by one more end")
{
    CrashTracker tracker;
    addCrashes(tracker, 3);
    // In progress when it was refused.
    tracker.noteCrash(request, run(10), 100ms, atThirdCrash + 1s);
    auto again = atThirdCrash + CrashTracker::firstRefusal;
    CHECK(tracker.statusOf(request, again - 1us) == Status::Refused);
    CHECK(tracker.statusOf(request, again) == Status::Watched);
    tracker.noteCrash(request, run(11), 100ms, again + 1s);
    CHECK(tracker.statusOf(request, again + 1s + 2 * CrashTracker::firstRefusal - 1us) == Status::Refused);
    CHECK(tracker.statusOf(request, again + 1s + 2 * CrashTracker::firstRefusal) == Status::Watched);
}

TEST_CASE("what is known of a request is forgotten in time, and bounded in number")
{
    CrashTracker tracker;
    addCrashes(tracker, 1);
    tracker.removeExpired(start + CrashTracker::retentionPeriod);
    CHECK(tracker.size() == 1);
    tracker.removeExpired(start + CrashTracker::retentionPeriod + 1us);
    CHECK(tracker.size() == 0);
    for (std::uint64_t i = 0; i < 2 * CrashTracker::maxRequests; ++i)
        tracker.noteCrash(RequestFingerprint(i + 100), run(1), 100ms, start + i * 1us);
    CHECK(tracker.size() <= CrashTracker::maxRequests);
    CHECK(tracker.size() > CrashTracker::maxRequests / 2);
    // The newest are still known.
    CHECK(tracker.noteCrash(RequestFingerprint(2 * CrashTracker::maxRequests + 99), run(1), 100ms, start + 1s).isEmpty());
}

TEST_CASE("a refused request stays known while those that end by chance come and go")
{
    CrashTracker tracker;
    addCrashes(tracker, 3);
    for (std::uint64_t i = 0; i < 2 * CrashTracker::maxRequests; ++i)
        tracker.noteCrash(RequestFingerprint(i + 100), run(1), 100ms, atThirdCrash + 1s + i * 1us);
    CHECK(tracker.statusOf(request, atThirdCrash + 2s) == Status::Refused);
}

TEST_CASE("processes that were told the same crashes, in any order and more than once, judge alike")
{
    CHECK(rc::check("any order of reports", [] {
        auto gaps = *rc::gen::container<std::vector<int>>(8, rc::gen::inRange(0, 3000));
        std::vector<CrashReport> reports;
        auto at = start;
        for (std::size_t i = 0; i < gaps.size(); ++i) {
            at += gaps[i] * 1ms;
            CrashReport report;
            report.crashes.push_back({ request, run(static_cast<int>(i)).id, {}, start + 30s - at, 100ms });
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
        // Passed on to a third, it says the same, and is no news to who knows it.
        CrashTracker third;
        third.take(one.describeAll(Status::Unknown, start + 30s), start + 30s);
        RC_ASSERT(third.statusOf(request, start + 30s) == one.statusOf(request, start + 30s));
        RC_ASSERT(other.take(one.describeAll(Status::Unknown, start + 30s), start + 30s).isEmpty());
    }));
}

TEST_CASE("gateways on either side of a cut hear of a request, over the controllers that each of them reaches")
{
    // Symptom: a request goes on ending replicas at gateways that reach other controllers than those which saw it end some.
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
    REQUIRE(third.refused.size() == 1);
    CHECK((third.refused[0] == request));
    auto updates = other.take(third.controllers, start + 2s).gateways;
    CrashTracker gateway;
    gateway.take(updates, start + 2s);
    CHECK(gateway.statusOf(request, start + 2s) == Status::Refused);
    // Told again, it is no news to anyone.
    CHECK(one.take(third.controllers, start + 2s).controllers.isEmpty());
}

TEST_CASE("gateways are not told of requests that one replica has ended under, unless they are known for more")
{
    // Symptom: links carry thousands of messages for each engine that crashes. Cause: all that ran there is told to all gateways.
    CrashExchange exchange;
    CrashReport report;
    for (std::uint64_t i = 0; i < 60; ++i)
        report.crashes.push_back({ RequestFingerprint(100 + i), "i-1", {}, 0s, 1s });
    auto updates = exchange.take(report, start);
    CHECK(updates.controllers.crashes.size() == 60);
    CHECK(updates.gateways.isEmpty());
    CHECK(exchange.snapshotFor(Role::Controller, start).crashes.size() == 60);
    CHECK(exchange.snapshotFor(Role::Gateway, start).isEmpty());
}

TEST_CASE("what controllers tell each other of a request comes to an end")
{
    // Symptom: all controllers take their whole processor time, fill their links, and read no configuration back. Sequence: a replica ends
    // under a request, the request is answered whole at another gateway; both go from controller to controller, and each message makes its
    // time a little later. Cause: an end that had been cleared was taken for a new one when it came again by another way, and then
    // cleared again, for ever.
    CHECK(rc::check("crashes and answers in any order, over ways of any length", [] {
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
