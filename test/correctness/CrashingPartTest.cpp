/** \file
 * Which parts of prompts are considered to crash the replicas that run them, and what becomes of requests that have other parts in common
 * with those.
 */
#include "ForwardBench.h"
#include "request/fleet/ConvictionTrials.h"
#include "request/fleet/CrashExchange.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace wrenhinge;

namespace {

using Status = CrashTracker::Status;

constexpr Instant first { std::chrono::hours(1) };
constexpr std::uint64_t shared = 1;
constexpr std::uint64_t crashing = 2;
const ReplicaSoftware software { "s", "v1" };

ReplicaRun run(int n) { return { "i-" + std::to_string(n), {} }; }

/// A request that is like no other, but whose prompt has these parts.
RequestContent contentOf(const std::vector<std::uint64_t>& parts)
{
    static std::uint64_t last = 1ULL << 40;
    RequestContent content { ContentFingerprint(++last), {} };
    for (auto part : parts)
        content.parts.emplace_back(part);
    return content;
}

bool mayRun(const CrashTracker& tracker, const std::vector<std::uint64_t>& parts)
{
    return tracker.convictionsOf(contentOf(parts)).empty();
}

/// Replicas crash under requests with the crashing part, one second apart, each 0.1 s after the request was sent there.
void addCrashes(CrashTracker& tracker, int n, Instant from = first)
{
    for (int i = 0; i < n; ++i)
        tracker.noteCrash(contentOf({ shared, 100 + static_cast<std::uint64_t>(i), crashing }), run(i), software, 100ms, 0s, from + i * 1s);
}

} // namespace

TEST_CASE("requests with a part under which three replicas have crashed are refused, and those with the others run")
{
    // Guards against a part of prompts that crashes one replica after another, since no two requests with it are alike.
    CrashTracker tracker;
    addCrashes(tracker, 2);
    CHECK(mayRun(tracker, { shared, 200, crashing }));
    addCrashes(tracker, 3);
    CHECK(!mayRun(tracker, { shared, 200, crashing }));
    CHECK(mayRun(tracker, { shared, 200 }));
    CHECK(mayRun(tracker, { 100, 101 }));
    CHECK(mayRun(tracker, {}));
    auto convictions = tracker.convictionsOf(contentOf({ crashing, shared }));
    REQUIRE(!convictions.empty());
    CHECK((convictions[0].content == ContentFingerprint(crashing)));
}

TEST_CASE("a request that crashed three replicas is no reason to refuse others with the same parts")
{
    CrashTracker tracker;
    auto request = contentOf({ shared, 5 });
    for (int i = 0; i < 4; ++i)
        tracker.noteCrash(request, run(i), software, 100ms, 0s, first + i * 1s);
    CHECK(!tracker.convictionsOf(request).empty());
    CHECK(mayRun(tracker, { shared, 5 }));
}

TEST_CASE("the first part of all prompts is told from one that crashes replicas, also if nothing was answered yet")
{
    // Guards against refusing all requests of a route since each crash accuses the part that they begin with.
    CrashTracker tracker;
    addCrashes(tracker, 5);
    CHECK(tracker.statusOf(ContentFingerprint(shared), first + 4s) == Status::Convicted);
    CHECK(mayRun(tracker, { shared, 200 }));
    // Sound requests that ran at the same replicas accuse it as well.
    tracker.noteCrash(contentOf({ shared, crashing, 300 }), run(9), software, 100ms, 0s, first + 5s);
    tracker.noteCrash(contentOf({ shared, 301 }), run(9), software, 80ms, 0s, first + 5s);
    CHECK(mayRun(tracker, { shared, 200 }));
    // Crashes that the other part does not explain count.
    for (int i = 0; i < 2; ++i)
        tracker.noteCrash(
            contentOf({ shared, 400 + static_cast<std::uint64_t>(i) }), run(20 + i), software, 100ms, 0s, first + 6s + i * 1s);
    CHECK(!mayRun(tracker, { shared, 200 }));
}

TEST_CASE("crashes of one replica are the same event where each process names the replica's run by the time it saw the crash")
{
    CrashTracker tracker;
    for (int i = 0; i < 4; ++i) {
        auto at = first + i * 1s;
        tracker.noteCrash(
            contentOf({ shared, crashing }), { "i-1", ReplicaStart(static_cast<std::uint64_t>(i) * 1000) }, software, 100ms, 0s, at);
        tracker.noteCrash(contentOf({ shared, 500 + static_cast<std::uint64_t>(i) }),
            { "i-1", ReplicaStart(static_cast<std::uint64_t>(i) * 1000 + 40) }, software, 100ms, 0s, at + 40ms);
    }
    CHECK(!mayRun(tracker, { shared, crashing }));
    CHECK(mayRun(tracker, { shared, 6 }));
}

TEST_CASE("a part that was answered is not accused, for as long as that counts and at replicas with the same software")
{
    CrashTracker tracker;
    SUBCASE("before the crashes")
    {
        tracker.noteSurvived(contentOf({ shared }), software, first - 1s);
        addCrashes(tracker, 5);
        CHECK(tracker.statusOf(ContentFingerprint(shared), first + 5s) == Status::Unknown);
    }
    SUBCASE("after the crashes")
    {
        addCrashes(tracker, 5);
        auto report = tracker.noteSurvived(contentOf({ shared }), software, first + 5s);
        REQUIRE(report.served.size() == 1);
        CHECK((report.served[0].content == ContentFingerprint(shared)));
        CHECK(tracker.statusOf(ContentFingerprint(shared), first + 5s) == Status::Unknown);
    }
    SUBCASE("too long ago")
    {
        tracker.noteSurvived(contentOf({ crashing }), software, first - CrashTracker::survivalMemory - 1us);
        addCrashes(tracker, 3);
    }
    SUBCASE("by other software")
    {
        tracker.noteSurvived(contentOf({ crashing }), { "s", "v2" }, first - 1s);
        tracker.noteServed(contentOf({ crashing }), { "t", "v1" }, first + 1s);
        addCrashes(tracker, 3);
    }
    CHECK(!mayRun(tracker, { shared, crashing }));
}

TEST_CASE("an answer clears crashes that gateways of the release before report, which name no software")
{
    CrashTracker tracker;
    CrashReport report;
    for (int i = 0; i < 3; ++i)
        report.crashes.push_back({ ContentFingerprint(crashing), run(i).id, {}, 3s - i * 1s, 100ms, {}, "" });
    tracker.take(report, first + 3s);
    CHECK(!mayRun(tracker, { crashing }));
    CHECK(tracker.noteServed(contentOf({ crashing }), software, first + 4s).served.size() == 1);
    CHECK(mayRun(tracker, { crashing }));
}

TEST_CASE("a run whose answer had been under way for a while accuses its request, and none of its parts")
{
    CrashTracker tracker;
    auto request = contentOf({ shared });
    for (int i = 0; i < 3; ++i)
        tracker.noteCrash(request, run(i), software, 2s, CrashTracker::survivalTime, first + i * 3s);
    CHECK(tracker.statusOf(ContentFingerprint(shared), first + 9s) == Status::Unknown);
    CHECK(!tracker.convictionsOf(request).empty());
}

TEST_CASE("requests with one part that overlap are counted crash by crash, and those of a rack that loses power once")
{
    CrashTracker tracker;
    // Each run began before the crash of the run before it.
    for (int i = 0; i < 3; ++i)
        tracker.noteCrash(contentOf({ crashing }), run(i), software, 900ms, 0s, first + i * 300ms);
    CHECK(!mayRun(tracker, { crashing }));
    for (int i = 0; i < 4; ++i)
        tracker.noteCrash(contentOf({ shared }), run(10 + i), software, 900ms, 0s, first + i * 50ms);
    CHECK(mayRun(tracker, { shared }));
    // One of them had just been sent its request.
    tracker.noteCrash(contentOf({ 6 }), run(30), software, 100ms, 0s, first);
    tracker.noteCrash(contentOf({ 6 }), run(31), software, 300ms, 0s, first + 5s);
    tracker.noteCrash(contentOf({ 6 }), run(32), software, 20ms, 0s, first + 5s);
    CHECK(mayRun(tracker, { 6 }));
    // Replicas that fall silent at one moment are noticed one by one.
    for (int i = 0; i < 4; ++i)
        tracker.noteCrash(contentOf({ 7 }), run(20 + i), software, 1500ms + i * 400ms, 0s, first + 2s + i * 400ms);
    CHECK(mayRun(tracker, { 7 }));
}

TEST_CASE("so many replicas that crash at once under one part are a suspicion, which one trial confirms or clears")
{
    // Guards against a part that so many requests have that it crashes all replicas before any crash is separate from the first.
    CrashTracker tracker("b");
    auto crashAt = [&](int n, Instant at) { tracker.noteCrash(contentOf({ crashing }), run(n), software, 200ms, 0s, at); };
    for (int i = 0; i < 4; ++i)
        crashAt(i, first + i * 20ms);
    CHECK(mayRun(tracker, { crashing }));
    crashAt(4, first + 80ms);
    auto convictions = tracker.convictionsOf(contentOf({ crashing }));
    REQUIRE(convictions.size() == 1);
    CHECK(convictions[0].until == first + 80ms + CrashTracker::suspicion);
    CHECK(convictions[0].trialAt == "b");
    // A gateway that starts before the trial has to know of the suspicion.
    CHECK(tracker.describeAll(Status::Watched, first + 2s).crashes.size() == 5);
    SUBCASE("the trial is answered")
    {
        tracker.noteTrialServed(contentOf({ crashing }), first + 2s);
        CHECK(mayRun(tracker, { crashing }));
    }
    SUBCASE("two trials crash replicas")
    {
        crashAt(5, first + 2s);
        crashAt(6, first + 4s);
        CHECK(tracker.convictionsOf(contentOf({ crashing })).at(0).until == first + 4s + CrashTracker::firstConviction);
    }
}

TEST_CASE("convicted content is not displaced by callers who make up content")
{
    CrashTracker tracker;
    addCrashes(tracker, 3);
    for (std::uint64_t i = 0; i < 2 * CrashTracker::maxContent; ++i)
        tracker.noteCrash(contentOf({ 10'000 + i }), run(50), software, 100ms, 0s, first + 3s);
    CHECK(tracker.size() <= CrashTracker::maxContent);
    CHECK(!mayRun(tracker, { shared, crashing }));
    for (std::uint64_t i = 0; i < 2 * CrashTracker::maxSurvivals; ++i)
        tracker.noteSurvived(contentOf({ 1'000'000 + i }), software, first + 3s + i * 1us);
    CHECK(!mayRun(tracker, { shared, crashing }));
}

TEST_CASE("a gateway that knows an answer refutes crashes that another one reports")
{
    CrashExchange controller;
    CrashTracker one("one");
    CrashTracker other("other");
    other.noteSurvived(contentOf({ shared }), software, first - 1s);
    CrashReport told;
    for (int i = 0; i < 2; ++i) {
        auto report = one.noteCrash(contentOf({ shared, crashing }), run(i), software, 100ms, 0s, first + i * 1s);
        told = controller.take(report, first + i * 1s).gateways;
    }
    other.take(told, first + 1s);
    auto refuted = other.refute(told, first + 1s);
    REQUIRE(refuted.served.size() == 1);
    CHECK((refuted.served[0].content == ContentFingerprint(shared)));
    auto updates = controller.take(refuted, first + 1s);
    CHECK(updates.gateways.served.size() == 1);
    one.take(updates.gateways, first + 1s);
    CHECK(one.statusOf(ContentFingerprint(shared), first + 1s) == Status::Unknown);
    CHECK(one.statusOf(ContentFingerprint(crashing), first + 1s) == Status::Watched);
    // Nothing in a repeated refutation is new.
    CHECK(controller.take(refuted, first + 1s).controllers.isEmpty());
}

TEST_CASE("convicted content is tried again by one gateway at a time, the one that saw the last crash")
{
    CrashTracker tracker("b");
    addCrashes(tracker, 3);
    auto request = contentOf({ shared, crashing });
    auto convictions = tracker.convictionsOf(request);
    REQUIRE(!convictions.empty());
    auto until = first + 2s + CrashTracker::firstConviction;
    CHECK(convictions[0].until == until);
    CHECK(convictions[0].trialAt == "b");
    ConvictionTrials trials("b");
    RequestId one { PeerId(1), 1 };
    RequestId other { PeerId(1), 2 };
    CHECK(!trials.mayRun(one, convictions, until - 1us));
    CHECK(!ConvictionTrials("a").mayRun(one, convictions, until));
    CHECK(trials.mayRun(one, convictions, until));
    trials.begin(one, convictions);
    CHECK(trials.isTrial(one));
    CHECK(trials.mayRun(one, convictions, until));
    CHECK(!trials.mayRun(other, convictions, until));
    trials.end(one);
    CHECK(trials.mayRun(other, convictions, until));
    SUBCASE("the replicas have been repaired, by another version of the software")
    {
        CHECK(tracker.noteTrialServed(request, until + 1s).served.size() >= 1);
        CHECK(tracker.convictionsOf(request).empty());
    }
    SUBCASE("one more crash")
    {
        tracker.noteCrash(request, run(9), software, 100ms, 0s, until + 1s);
        convictions = tracker.convictionsOf(request);
        REQUIRE(!convictions.empty());
        CHECK(convictions[0].until == until + 1s + 2 * CrashTracker::firstConviction);
        CHECK(!trials.mayRun(other, convictions, until + 2s));
    }
}

TEST_CASE("of several gateways that saw a crash all processes name the same one for the trial")
{
    CrashTracker one("a");
    CrashTracker other("b");
    for (int i = 0; i < 3; ++i) {
        auto content = contentOf({ crashing });
        auto at = first + i * 1s;
        auto byOne = one.noteCrash(content, run(i), software, 100ms, 0s, at);
        auto byOther = other.noteCrash(content, run(i), software, 100ms, 0s, at);
        one.take(byOther, at);
        other.take(byOne, at);
    }
    CHECK(one.convictionsOf(contentOf({ crashing })).at(0).trialAt == "a");
    CHECK(other.convictionsOf(contentOf({ crashing })).at(0).trialAt == "a");
}

// --- At a gateway -----------------------------------------------------------------------------------------------

using namespace wrenhinge::bench;

namespace {

RequestId submitWithPart(Bench& bench, const std::string& path, std::uint64_t part)
{
    static std::uint64_t last = 1'000;
    RequestMetadata request;
    request.promptParts = { ContentFingerprint(shared), ContentFingerprint(part) };
    return bench.submit(path, {}, ContentFingerprint(++last), "", request);
}

CrashesReported crashReport(int crashes, Duration newest = 1s)
{
    CrashesReported event;
    for (int i = 0; i < crashes; ++i)
        event.report.crashes.push_back(
            { ContentFingerprint(crashing), "gone-" + std::to_string(i), {}, newest + i * 1s, 100ms, { "engine", "v1" }, "" });
    return event;
}

} // namespace

TEST_CASE("a request with a part that crashed three replicas elsewhere is refused at once, with nothing sent, and others run")
{
    Bench bench;
    bench.serve().replica("d", UpstreamKind::Decode).replica("p", UpstreamKind::Prefill);
    bench.post(crashReport(3));
    submitWithPart(bench, "/stream/x", crashing);
    CHECK(bench.effects<Send>().empty());
    CHECK(bench.effects<ReserveAtReplica>().empty());
    auto error = bench.only<Refuse>().error;
    CHECK(error.code == ResultCode::CrashesReplicas);
    CHECK(!error.retryAfter);
    submitWithPart(bench, "/stream/x", 3);
    CHECK(bench.effects<ReserveAtReplica>().size() == 1);
}

TEST_CASE("a request that waits while a part of its prompt is convicted is refused then, and one beside it is not")
{
    Bench bench;
    bench.serve().replica("d", UpstreamKind::Decode).replica("p", UpstreamKind::Prefill);
    auto waiting = submitWithPart(bench, "/stream/x", crashing);
    submitWithPart(bench, "/stream/x", 3);
    bench.post(crashReport(3));
    CHECK((bench.only<Refuse>().id == waiting));
}

TEST_CASE("a stream clears its parts once it has been under way for a while, and reports that if they were accused")
{
    Bench bench;
    bench.serve().replica("d", UpstreamKind::Decode).replica("p", UpstreamKind::Prefill);
    bench.post(crashReport(2));
    auto id = submitWithPart(bench, "/stream/x", crashing);
    auto run = bench.run(id);
    bench.streamHead(run);
    bench.post(AnswerBody { id, run.attempt, "id: 1\ndata: a\n\n" });
    CHECK(bench.effects<ReportCrashes>().empty());
    bench.now += CrashTracker::survivalTime;
    bench.post(AnswerBody { id, run.attempt, "id: 2\ndata: a\n\n" });
    auto report = bench.only<ReportCrashes>().report;
    REQUIRE(report.served.size() == 1);
    CHECK((report.served[0].content == ContentFingerprint(crashing)));
    // What other gateways report afterwards does not count.
    bench.now += 1s;
    bench.post(crashReport(5, 10ms));
    submitWithPart(bench, "/stream/x", crashing);
    CHECK(bench.effects<Refuse>().empty());
}

TEST_CASE("after its conviction a part is tried by one request, and whether it crashes a replica decides about the others")
{
    Bench bench;
    bench.serve().replica("a").replica("b");
    bench.post(crashReport(3));
    bench.now += CrashTracker::firstConviction;
    auto id = submitWithPart(bench, "/once/x", crashing);
    auto send = bench.only<Send>();
    submitWithPart(bench, "/once/x", crashing);
    CHECK(bench.only<Refuse>().error.code == ResultCode::CrashesReplicas);
    bench.now += 100ms;
    SUBCASE("it is answered")
    {
        bench.answer(send, 200);
        submitWithPart(bench, "/once/x", crashing);
        CHECK(bench.effects<Send>().size() == 1);
    }
    SUBCASE("it crashes another replica")
    {
        bench.post(CallFailed { id, send.attempt, true, "the connection ended" });
        submitWithPart(bench, "/once/x", crashing);
        CHECK(bench.effects<Send>().empty());
    }
}

TEST_CASE("processes that received the same crashes and answers, in any order, judge requests alike")
{
    CHECK(rc::check("any order of reports", [] {
        auto steps = *rc::gen::container<std::vector<int>>(12, rc::gen::inRange(0, 3000));
        std::vector<CrashReport> reports;
        auto at = first;
        for (std::size_t i = 0; i < steps.size(); ++i) {
            at += steps[i] * 1ms;
            auto age = first + 60s - at;
            CrashReport report;
            if (steps[i] % 5 == 0)
                report.served.push_back({ ContentFingerprint(static_cast<std::uint64_t>(steps[i] % 4)), age, software });
            for (std::uint64_t part = 0; part < 4; ++part) {
                if (steps[i] & (1 << part))
                    report.crashes.push_back({ ContentFingerprint(part), run(static_cast<int>(i)).id, {}, age, 100ms, software, "" });
            }
            reports.push_back(report);
        }
        auto order = *rc::gen::container<std::vector<std::size_t>>(30, rc::gen::inRange<std::size_t>(0, reports.size()));
        CrashTracker one;
        CrashTracker other;
        for (const auto& report : reports)
            one.take(report, first + 60s);
        for (auto i : order)
            other.take(reports[i], first + 60s);
        for (int round = 0; round < 2; ++round) {
            for (const auto& report : reports) {
                one.take(report, first + 60s);
                other.take(report, first + 60s);
            }
        }
        for (std::uint64_t i = 0; i < 4; ++i) {
            for (std::uint64_t j = 0; j < 4; ++j)
                RC_ASSERT(mayRun(one, { i, j }) == mayRun(other, { i, j }));
        }
    }));
}
