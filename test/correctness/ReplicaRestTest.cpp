/** \file
 * Replicas that ask for a rest when they turn a request away, or say in an answer that they leave.
 */
#include "ForwardBench.h"

#include "connection/RetryAfterHeader.h"
#include "request/sidecar/CallRateLimiter.h"

#include <doctest/doctest.h>

using namespace wrenhinge;
using namespace wrenhinge::bench;

namespace {

AnswerMetadata turnedAway(std::optional<Duration> rest)
{
    AnswerMetadata metadata;
    metadata.status = 503;
    metadata.wasNotRun = true;
    metadata.rest = rest;
    return metadata;
}

void turnAway(Bench& bench, const Send& send, std::optional<Duration> rest)
{
    bench.post(AnswerHead { send.id, send.attempt, turnedAway(rest), {} });
    bench.post(AnswerEnd { send.id, send.attempt });
}

/// Sends requests, each of which is answered at once. \returns how many of them reached this replica.
int callsTo(Bench& bench, const std::string& id, int requests = 50)
{
    int calls = 0;
    for (int i = 0; i < requests; ++i) {
        bench.submit("/once/x");
        for (const auto& send : bench.effects<Send>()) {
            calls += send.replica.id == id;
            bench.answer(send, 200);
        }
    }
    return calls;
}

/// The replica turns away a call that the gateway makes for itself.
void askForRest(Bench& bench, const std::string& id, Duration rest)
{
    bench.post(ReplicaAnswered { { id, {} }, turnedAway(rest), bench.now });
}

} // namespace

TEST_CASE("a replica that asks for a rest gets no calls until the longest rest that it has asked for is over")
{
    Bench bench;
    bench.serve().replica("a").replica("b");
    askForRest(bench, "a", 3s);
    askForRest(bench, "a", 1s);
    CHECK(callsTo(bench, "a") == 0);
    bench.now += 2900ms;
    CHECK(callsTo(bench, "a") == 0);
    bench.now += 100ms;
    CHECK(callsTo(bench, "a") > 0);
}

TEST_CASE("after its rest a replica gets one call at a time until it has answered one")
{
    Bench bench;
    bench.serve().replica("a");
    askForRest(bench, "a", 1s);
    bench.now += 1s;
    bench.submit("/once/x");
    auto trial = bench.only<Send>();
    bench.submit("/once/x");
    CHECK(bench.effects<Send>().empty());
    turnAway(bench, trial, 1s);
    bench.now += 1s;
    bench.submit("/once/x");
    bench.answer(bench.only<Send>(), 200);
    bench.submit("/once/x");
    bench.submit("/once/x");
    CHECK(bench.effects<Send>().size() == 1);
}

TEST_CASE("an answer to a call from before the rest doesn't end it")
{
    Bench bench;
    bench.serve().replica("a");
    bench.submit("/once/x");
    auto early = bench.only<Send>();
    bench.now += 10ms;
    askForRest(bench, "a", 1s);
    bench.answer(early, 200);
    bench.submit("/once/x");
    CHECK(bench.effects<Send>().empty());
}

TEST_CASE("a new run of a replica owes no rest to the former one, and doesn't leave as that one did")
{
    Bench bench;
    bench.serve().restart("a");
    AnswerMetadata leaving = turnedAway(60s);
    leaving.isLeaving = true;
    bench.submit("/once/x");
    auto send = bench.only<Send>();
    bench.post(AnswerHead { send.id, send.attempt, leaving, {} });
    bench.post(AnswerEnd { send.id, send.attempt });
    CHECK(callsTo(bench, "a") == 0);
    bench.restart("a");
    CHECK(callsTo(bench, "a") > 0);
}

TEST_CASE("a refusal without a rest keeps a replica in use")
{
    Bench bench;
    bench.serve().replica("a");
    bench.submit("/once/x");
    turnAway(bench, bench.only<Send>(), std::nullopt);
    CHECK(callsTo(bench, "a") > 0);
}

TEST_CASE("while all replicas rest, requests are refused at once, with the end of the first rest as Retry-After")
{
    Bench bench;
    bench.serve().replica("a").replica("b");
    askForRest(bench, "a", 5s);
    askForRest(bench, "b", 2s);
    bench.submit("/once/x");
    auto error = bench.only<Refuse>().error;
    CHECK(httpStatusOf(error.code) == 503);
    REQUIRE(error.retryAfter);
    CHECK(*error.retryAfter >= 2s);
    CHECK(*error.retryAfter <= 2500ms);
}

TEST_CASE("the request that finds the last replica resting is refused with the end of the rest as Retry-After")
{
    Bench bench;
    bench.serve().replica("a");
    bench.submit("/often/x");
    turnAway(bench, bench.only<Send>(), 4s);
    CHECK(httpStatusOf(bench.only<Refuse>().error.code) == 503);
    CHECK(bench.only<Refuse>().error.retryAfter.value_or(0s) >= 4s);
}

TEST_CASE("no reservation, prefill or release reaches a replica that rests")
{
    Bench bench;
    bench.serve().replica("d", UpstreamKind::Decode).replica("p", UpstreamKind::Prefill).replica("q", UpstreamKind::Prefill);
    SUBCASE("a decode replica: a prompt that can't wait so long is refused at once")
    {
        askForRest(bench, "d", 5s);
        bench.submit("/stream/x", 14s);
        CHECK(bench.effects<ReserveAtReplica>().empty());
        CHECK(bench.effects<Refuse>().size() == 1);
    }
    SUBCASE("a prefill replica: the other one is used")
    {
        askForRest(bench, "p", 5s);
        for (int i = 0; i < 20; ++i) {
            bench.submit("/stream/x", 14s);
            auto reserve = bench.only<ReserveAtReplica>();
            bench.post(ReservationGranted { reserve.id, reserve.attempt, "reservation-1" });
            CHECK(bench.only<Send>().replica.id == "q");
            bench.post(CallerDisconnected { reserve.id });
        }
    }
    SUBCASE("a decode replica with a reservation for a request in prefill")
    {
        auto id = bench.submit("/stream/x", 14s);
        bench.post(ReservationGranted { id, bench.only<ReserveAtReplica>().attempt, "reservation-1" });
        auto prefill = bench.only<Send>();
        askForRest(bench, "d", 5s);
        bench.post(PrefillFinished { id, prefill.attempt, "kv-1" });
        CHECK(bench.effects<Send>().empty());
        CHECK(bench.effects<ReleaseReservation>().empty());
        CHECK(bench.effects<Refuse>().size() == 1);
    }
}

TEST_CASE("requests for a rest don't make the gateway shed the requests that other replicas can serve")
{
    Bench bench;
    bench.serve().replica("a").replica("b");
    std::vector<Send> atTired;
    for (int i = 0; i < 60; ++i) {
        bench.submit("/once/x");
        if (bench.only<Send>().replica.id == "a")
            atTired.push_back(bench.only<Send>());
    }
    REQUIRE(atTired.size() > 20);
    for (const auto& send : atTired)
        turnAway(bench, send, 3s);
    int refused = 0;
    for (int i = 0; i < 50; ++i) {
        bench.submit("/once/x");
        refused += static_cast<int>(bench.effects<Refuse>().size());
        for (const auto& send : bench.effects<Send>())
            bench.answer(send, 200);
    }
    CHECK(refused == 0);
}

TEST_CASE("a replica that says that it leaves gets no calls, whatever it announces")
{
    Bench bench;
    bench.serve().replica("a").replica("b");
    AnswerMetadata leaving;
    leaving.status = 200;
    leaving.isLeaving = true;
    bench.post(ReplicaAnswered { { "a", {} }, leaving, bench.now });
    bench.replica("a", UpstreamKind::Plain, 2);
    CHECK(callsTo(bench, "a") == 0);
    bench.now += 60s;
    bench.replica("a", UpstreamKind::Plain, 3);
    CHECK(callsTo(bench, "a") == 0);
    // Once all leave, there is nothing to wait for.
    bench.post(ReplicaAnswered { { "b", {} }, leaving, bench.now });
    bench.submit("/once/x");
    CHECK(bench.only<Refuse>().error.code == ResultCode::NoUpstream);
}

TEST_CASE("a replica that leaves doesn't speak for the one that had its address")
{
    Bench bench;
    bench.serve().replica("a");
    bench.submit("/often/x");
    auto send = bench.only<Send>();
    AnswerMetadata other;
    other.status = 421;
    other.wasNotRun = other.isMisdirected = other.isLeaving = true;
    bench.post(AnswerHead { send.id, send.attempt, other, {} });
    bench.post(AnswerEnd { send.id, send.attempt });
    bench.now += 5s;
    CHECK(callsTo(bench, "a") > 0);
}

TEST_CASE("a rest is read from a positive number of seconds and nothing else")
{
    auto read = [](const std::string& value) { return readRetryAfter({ { "Retry-After", value } }); };
    CHECK(read("3") == 3s);
    CHECK(read("0.25") == 250ms);
    CHECK(read("99999999") == longestRest);
    for (std::string value : { "", "0", "-5", "soon", "nan", "inf", "1e400", "3 s", "Fri, 04 Dec 2026 10:00:00 GMT" }) {
        CAPTURE(value);
        CHECK(!read(value));
    }
    CHECK(readRetryAfter({ { "retry-after", "1" }, { "Retry-After", "2" }, { "Retry-After", "x" } }) == 2s);
    CHECK(!readRetryAfter({}));
}

TEST_CASE("a sidecar sends its upstream nothing during a rest")
{
    CallRateLimiter limiter;
    limiter.rest(start + 3s);
    limiter.rest(start + 1s);
    CHECK(!limiter.mayCall(start + 2s));
    CHECK(limiter.waitFor(0, start + 2s) == 1s);
    CHECK(limiter.mayCall(start + 3s));
    CHECK(limiter.waitFor(0, start + 3s) == 0s);
}
