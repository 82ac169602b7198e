/** \file
 * Tests of ForwardLogic, the state machine of a forwarding gateway, one event at a time and without a network.
 */
#include "ForwardBench.h"

using namespace wrenhinge;
using namespace wrenhinge::forward;
using namespace wrenhinge::bench;

TEST_CASE("before a document is in effect, requests are refused as not run, never as unknown service")
{
    Bench bench;
    bench.submit("/once/x", 800ms);
    CHECK(bench.effects<Refuse>().empty());
    bench.wait(199ms);
    CHECK(bench.effects<Refuse>().empty());
    bench.wait(1ms);
    CHECK(bench.only<Refuse>().error.code == ResultCode::ConfigUnavailable);
    CHECK(httpStatusOf(bench.only<Refuse>().error.code) == 503);
    CHECK(bench.only<Refuse>().error.retryAfter);
    CHECK(!bench.logic().isServing(bench.now));
    bench.submit("/stream/x", 14s);
    bench.wait(ForwardLogic::maxDocumentWait);
    CHECK(bench.only<Refuse>().error.code == ResultCode::ConfigUnavailable);
    CHECK(bench.finished() == 2);
}

TEST_CASE("a request that arrives shortly before the document is served by it")
{
    // Guards against refusing every request that arrives before the document.
    Bench bench;
    bench.replica("r1");
    auto id = bench.submit("/once/x", 600ms);
    bench.submit("/nowhere/x", 600ms);
    auto gone = bench.submit("/once/y", 600ms);
    bench.post(CallerDisconnected { gone });
    bench.now += 100ms;
    bench.post(DocumentReceived { document(1), true });
    CHECK((bench.only<Send>().id == id));
    CHECK(bench.only<Send>().timeLeft == 500ms);
    CHECK(bench.only<Refuse>().error.code == ResultCode::UnknownService);
    CHECK(bench.finished() == 2);
    bench.wait(1s);
    CHECK(bench.finished() == 3);
}

TEST_CASE("a waiting request is served by an unconfirmed document once that takes effect")
{
    Bench bench;
    bench.replica("r1");
    bench.post(DocumentReceived { document(1), false });
    bench.now += ForwardLogic::unconfirmedDocumentDelay - 100ms;
    bench.submit("/once/x", 600ms);
    CHECK(bench.effects<Send>().empty());
    CHECK(bench.logic().nextWake() == bench.now + 100ms);
    bench.wait(100ms);
    CHECK(bench.effects<Send>().size() == 1);
}

TEST_CASE("an unconfirmed document takes effect after a delay, and an older one never replaces a newer one")
{
    // Guards against serving routes that were removed.
    Bench bench;
    bench.post(DocumentReceived { document(5), false });
    CHECK(!bench.logic().isServing(bench.now));
    bench.post(DocumentReceived { document(3), true });
    CHECK(!bench.logic().isServing(bench.now));
    CHECK(bench.logic().documentVersion() == 5);
    CHECK(bench.logic().isServing(bench.now + ForwardLogic::unconfirmedDocumentDelay + 1ms));
    bench.post(DocumentConfirmed { 5 });
    CHECK(bench.logic().isServing(bench.now));
}

TEST_CASE("a request without a matching route is refused as unknown service")
{
    Bench bench;
    bench.serve().replica("a");
    bench.submit("/nowhere/");
    CHECK(bench.only<Refuse>().error.code == ResultCode::UnknownService);
}

TEST_CASE("a call that may have run and may not be retried is answered as failed, and never sent again")
{
    // Guards against running a request twice: the replica runs the call, and its answer is lost with the connection.
    Bench bench;
    bench.serve().replica("a").replica("b");
    bench.submit("/once/x");
    auto send = bench.only<Send>();
    bench.post(CallFailed { send.id, send.attempt, true, "reset" });
    CHECK(bench.effects<Send>().empty());
    CHECK(httpStatusOf(bench.only<Refuse>().error.code) == 502);
    CHECK(!bench.only<Refuse>().error.retryAfter);
}

TEST_CASE("a call that certainly did not run is sent to another replica")
{
    for (bool isOther : { false, true }) {
        Bench bench;
        bench.serve().replica("a").replica("b");
        bench.submit("/once/x");
        auto first = bench.only<Send>();
        bench.answer(first, isOther ? 421 : 503, true, isOther);
        auto second = bench.only<Send>();
        CHECK((second.replica != first.replica));
        bench.answer(second, 200);
        CHECK(bench.only<Reply>().status == 200);
        CHECK(bench.only<Reply>().body == "body");
    }
}

TEST_CASE("a replica whose address now belongs to another one gets no more calls")
{
    Bench bench;
    bench.serve().replica("a");
    bench.submit("/once/x");
    bench.answer(bench.only<Send>(), 421, true, true);
    CHECK(httpStatusOf(bench.only<Refuse>().error.code) == 503);
    bench.replica("a", UpstreamKind::Plain, 9);
    bench.submit("/once/x");
    CHECK(bench.effects<Send>().empty());
}

TEST_CASE("\"not run\" is said only if no send may have run")
{
    // Guards against a request that runs twice because its caller was told "not run" and retried.
    Bench bench;
    bench.serve().replica("a").replica("b");
    bench.submit("/often/x");
    auto first = bench.only<Send>();
    bench.post(CallFailed { first.id, first.attempt, true, "reset" });
    bench.answer(bench.only<Send>(), 503, true);
    CHECK(httpStatusOf(bench.only<Refuse>().error.code) == 502);
}

TEST_CASE("an idempotent call that failed is retried within the route's attempts, and a late answer to the first is dropped")
{
    Bench bench;
    bench.serve().replica("a").replica("b").replica("c");
    bench.submit("/often/x");
    auto first = bench.only<Send>();
    bench.answer(first, 500);
    auto second = bench.only<Send>();
    CHECK((second.replica != first.replica));
    bench.answer(first, 200);
    CHECK(bench.effects<Reply>().empty());
    bench.answer(second, 500);
    CHECK(bench.effects<Send>().empty());
    CHECK(bench.only<Reply>().status == 500);
}

TEST_CASE("an idempotent call without an answer is sent to another replica while the target can still be met")
{
    Bench bench;
    bench.serve().replica("a").replica("b");
    bench.submit("/often/x");
    auto first = bench.only<Send>();
    bench.wait(60ms);
    CHECK((bench.only<CancelCall>().attempt == first.attempt));
    CHECK((bench.only<Send>().replica != first.replica));
}

TEST_CASE("a success that a replica did not sign is never passed on")
{
    Bench bench;
    bench.serve().replica("a");
    bench.submit("/once/x");
    bench.answer(bench.only<Send>(), 200, false, false, false);
    CHECK(bench.effects<Reply>().empty());
    CHECK(httpStatusOf(bench.only<Refuse>().error.code) == 502);
}

TEST_CASE("at the route's timeout the caller has an answer and the replica is released")
{
    Bench bench;
    bench.serve().replica("a");
    bench.submit("/once/x", 5s);
    auto send = bench.only<Send>();
    CHECK(send.timeLeft == 600ms);
    bench.wait(600ms);
    CHECK((bench.only<CancelCall>().attempt == send.attempt));
    CHECK(httpStatusOf(bench.only<Refuse>().error.code) == 504);
    CHECK(bench.logic().requests() == 0);
    CHECK(bench.finished() == 1);
}

TEST_CASE("the deadline sent to a replica is no later than the caller's")
{
    Bench bench;
    bench.serve().replica("a").replica("b");
    bench.submit("/often/x", 300ms);
    auto first = bench.only<Send>();
    CHECK(first.timeLeft == 300ms);
    bench.now += 40ms;
    bench.post(CallFailed { first.id, first.attempt, true, "reset" });
    CHECK(bench.only<Send>().timeLeft == 260ms);
}

TEST_CASE("a draining or ended replica gets no new work, and a delayed announcement does not revive it")
{
    Bench bench;
    bench.serve().replica("a").replica("b");
    bench.replica("a", UpstreamKind::Plain, 5, ReplicaState::Draining).replica("a", UpstreamKind::Plain, 4);
    bench.post(ReplicaWithdrawn { "b" });
    bench.replica("b", UpstreamKind::Plain, 9);
    bench.submit("/once/x");
    CHECK(bench.only<Refuse>().error.code == ResultCode::NoUpstream);
}

TEST_CASE("when a caller disconnects, its call, reservation and KV cache are released")
{
    Bench bench;
    bench.serve().replica("d", UpstreamKind::Decode).replica("p", UpstreamKind::Prefill);
    SUBCASE("during the reservation call")
    {
        auto id = bench.submit("/stream/x");
        bench.post(CallerDisconnected { id });
        CHECK(bench.effects<CancelCall>().size() == 1);
    }
    SUBCASE("during the prefill")
    {
        auto id = bench.submit("/stream/x");
        auto reserve = bench.only<ReserveAtReplica>();
        bench.post(ReservationGranted { reserve.id, reserve.attempt, "reservation-1" });
        bench.post(CallerDisconnected { id });
        CHECK(bench.effects<CancelCall>().size() == 1);
        CHECK(bench.only<ReleaseReservation>().reservation.id == "reservation-1");
    }
    SUBCASE("while the answer streams")
    {
        auto id = bench.submit("/stream/x");
        auto send = bench.run(id);
        bench.streamHead(send);
        bench.post(CallerDisconnected { id });
        CHECK((bench.only<CancelCall>().attempt == send.attempt));
    }
    CHECK(bench.logic().requests() == 0);
    CHECK(bench.finished() == 1);
    for (const auto& [id, load] : bench.logic().replicas().loads())
        CHECK(load.calls == 0);
}

TEST_CASE("a request to an engine gets a reservation, then the prefill, then runs with both")
{
    Bench bench;
    bench.serve().replica("d", UpstreamKind::Decode).replica("p", UpstreamKind::Prefill);
    auto id = bench.submit("/stream/x");
    CHECK(bench.only<ReserveAtReplica>().tokens == 5000 + 1.3 * 400);
    auto send = bench.run(id);
    CHECK(send.replica.id == "d");
    CHECK(send.reservation == "reservation-1");
    REQUIRE(send.source);
    CHECK(send.source->address == "p:80");
    CHECK(send.source->handle == "kv-1");
}

TEST_CASE("without a working prefill replica the decode replica runs the prefill itself")
{
    Bench bench;
    bench.serve().replica("d", UpstreamKind::Decode).replica("p", UpstreamKind::Prefill);
    bench.submit("/stream/x");
    auto reserve = bench.only<ReserveAtReplica>();
    bench.post(ReservationGranted { reserve.id, reserve.attempt, "reservation-1" });
    auto prefill = bench.only<Send>();
    bench.post(CallFailed { prefill.id, prefill.attempt, true, "reset" });
    auto send = bench.only<Send>();
    CHECK(send.replica.id == "d");
    CHECK(!send.source);
    CHECK(send.reservation == "reservation-1");
}

TEST_CASE("a prefill that certainly was not accepted is retried at another replica, one that may have been is not")
{
    // Guards against stalled streams at decode replicas while one prefill replica is unreachable and others are idle.
    enum class Answer { NoConnection, StatedNotRun, Lost };
    for (auto answer : { Answer::NoConnection, Answer::StatedNotRun, Answer::Lost }) {
        Bench bench;
        bench.serve().replica("d", UpstreamKind::Decode).replica("p", UpstreamKind::Prefill).replica("q", UpstreamKind::Prefill);
        auto id = bench.submit("/stream/x");
        auto reserve = bench.only<ReserveAtReplica>();
        bench.post(ReservationGranted { id, reserve.attempt, "reservation-1" });
        auto first = bench.only<Send>();
        REQUIRE(first.isPrefill);
        if (answer == Answer::StatedNotRun)
            bench.post(PrefillFailed { id, first.attempt, true });
        else
            bench.post(CallFailed { id, first.attempt, answer == Answer::Lost, "" });
        auto second = bench.only<Send>();
        CHECK(second.isPrefill == (answer != Answer::Lost));
        CHECK((second.replica != first.replica));
        if (!second.isPrefill)
            continue;
        bench.post(CallFailed { id, second.attempt, false, "" });
        CHECK(!bench.only<Send>().isPrefill);
        CHECK(bench.only<Send>().reservation == "reservation-1");
    }
}

TEST_CASE("each refused prefill is charged to the retry budget, whether or not another one follows")
{
    // Guards against more retries than the site's retry budget allows.
    Bench bench;
    bench.serve().replica("d", UpstreamKind::Decode).replica("p", UpstreamKind::Prefill).replica("q", UpstreamKind::Prefill);
    auto left = [&bench] { return bench.logic().retryBudget(bench.now).at("engine"); };
    auto id = bench.submit("/stream/x");
    auto initialBudget = left();
    bench.post(ReservationGranted { id, bench.only<ReserveAtReplica>().attempt, "reservation-1" });
    bench.post(PrefillFailed { id, bench.only<Send>().attempt, true, true });
    CHECK(left() == initialBudget - 1);
    REQUIRE(bench.only<Send>().isPrefill);
    bench.post(PrefillFailed { id, bench.only<Send>().attempt, true, true });
    CHECK(left() == initialBudget - 2);
    CHECK(!bench.only<Send>().isPrefill);
}

TEST_CASE("a KV cache can still be used when the call with it was misdirected")
{
    // Guards against prefilling a prompt twice after a restart.
    for (bool isReached : { true, false }) {
        Bench bench;
        bench.serve().replica("d", UpstreamKind::Decode).replica("p", UpstreamKind::Prefill);
        auto id = bench.submit("/stream/x");
        auto first = bench.run(id);
        REQUIRE(first.source);
        bench.replica("e", UpstreamKind::Decode);
        if (isReached) {
            AnswerMetadata metadata;
            metadata.status = 421;
            metadata.wasNotRun = metadata.isMisdirected = true;
            bench.post(AnswerHead { id, first.attempt, metadata, {} });
            bench.post(AnswerEnd { id, first.attempt });
        } else {
            bench.post(CallFailed { id, first.attempt, false, "refused" });
        }
        auto second = bench.only<Send>();
        CHECK(second.replica.id == "e");
        REQUIRE(second.source);
        CHECK(second.source->handle == "kv-1");
    }
}

TEST_CASE("a replica without a stage that has read a prompt may also run it")
{
    // Guards against refusing requests to a service whose only engine does both prefill and decode.
    Bench bench;
    auto both = document(1);
    both.services[0].isEngine = true;
    both.services[0].engine = { 64, 60000, 0s, 500ms, 0s };
    bench.post(DocumentReceived { both, true });
    bench.age().replica("r1");
    RequestId id { PeerId(1), 77 };
    RequestMetadata request;
    request.host = "desk.example";
    request.path = "/once/x";
    request.promptTokens = 500;
    bench.post(Submit { id, request });
    auto prefill = bench.only<Send>();
    REQUIRE(prefill.isPrefill);
    bench.post(PrefillFinished { id, prefill.attempt, "kv-1" });
    CHECK(!bench.only<Send>().isPrefill);
    CHECK(bench.only<Send>().replica.id == "r1");
}

TEST_CASE("a prefill replica that becomes unreachable does not delay the request beyond its target")
{
    // Guards against a first event after 2.7 s although nothing was full: the prefill replica becomes unreachable during the prefill.
    Bench bench;
    bench.serve().replica("d", UpstreamKind::Decode).replica("p", UpstreamKind::Prefill);
    bench.submit("/stream/x");
    auto reserve = bench.only<ReserveAtReplica>();
    bench.post(ReservationGranted { reserve.id, reserve.attempt, "reservation-1" });
    auto prefill = bench.only<Send>();
    bench.wait(650ms);
    CHECK(bench.only<CancelCall>().attempt == prefill.attempt);
    auto send = bench.only<Send>();
    CHECK(send.reservation == "reservation-1");
    CHECK(!send.isPrefill);
}

TEST_CASE("after a reservation call times out, another decode replica is asked")
{
    // Guards against a caller that gives up after 3.6 s without an answer although its request reached no replica.
    Bench bench;
    bench.serve().replica("d", UpstreamKind::Decode).replica("e", UpstreamKind::Decode);
    bench.submit("/stream/x");
    auto first = bench.only<ReserveAtReplica>();
    bench.wait(130ms);
    CHECK((bench.only<CancelCall>().attempt == first.attempt));
    auto second = bench.only<ReserveAtReplica>();
    CHECK((second.replica != first.replica));
    bench.post(ReservationGranted { second.id, second.attempt, "reservation-1" });
    CHECK((bench.only<Send>().replica == second.replica));
}

TEST_CASE("without a reservation in time the caller gets a Retry-After, and nothing was sent")
{
    Bench bench;
    bench.serve().replica("d", UpstreamKind::Decode);
    auto submittedAt = bench.now;
    bench.submit("/stream/x");
    for (int i = 0; i < 30 && bench.effects<Refuse>().empty(); ++i) {
        for (const auto& reserve : bench.effects<ReserveAtReplica>())
            bench.post(ReservationRefused { reserve.id, reserve.attempt, true });
        CHECK(bench.effects<Send>().empty());
        bench.wait(40ms);
    }
    auto refuse = bench.only<Refuse>();
    CHECK(httpStatusOf(refuse.error.code) == 503);
    REQUIRE(refuse.error.retryAfter);
    CHECK(*refuse.error.retryAfter >= 1s);
    CHECK(bench.now - submittedAt < 900ms);
    CHECK(bench.logic().requests() == 0);
}

TEST_CASE("free capacity goes to a request that can meet its target before a late retry")
{
    Bench bench;
    bench.serve().replica("d", UpstreamKind::Decode);
    bench.submit("/stream/first", 14s);
    auto first = bench.only<ReserveAtReplica>();
    bench.post(ReservationRefused { first.id, first.attempt, true });
    auto late = bench.submit("/stream/late", 9s);
    auto fresh = bench.submit("/stream/fresh", 14s);
    CHECK(bench.effects<ReserveAtReplica>().empty());
    bench.wait(41ms);
    auto reservations = bench.effects<ReserveAtReplica>();
    REQUIRE(reservations.size() == 3);
    CHECK((reservations[0].id == first.id));
    CHECK((reservations[1].id == fresh));
    CHECK((reservations[2].id == late));
}

TEST_CASE("a stream is passed on in complete events, and is aborted if it can't be finished")
{
    // Guards against an incomplete event that makes a client's parser fail: the replica crashes in the middle of an event.
    Bench bench;
    bench.serve().replica("d", UpstreamKind::Decode);
    auto id = bench.submit("/stream/x");
    auto reserve = bench.only<ReserveAtReplica>();
    bench.post(ReservationGranted { reserve.id, reserve.attempt, "reservation-1" });
    auto send = bench.only<Send>();
    bench.streamHead(send);
    bench.post(AnswerBody { id, send.attempt, "id: 1\ndata: a\n\nid: 2\nda" });
    CHECK(bench.effects<BeginStream>().size() == 1);
    CHECK(bench.only<StreamBytes>().bytes == "id: 1\ndata: a\n\n");
    SUBCASE("the connection fails") { bench.post(CallFailed { id, send.attempt, true, "reset" }); }
    SUBCASE("the answer ends as if complete") { bench.post(AnswerEnd { id, send.attempt }); }
    CHECK(bench.effects<EndStream>().empty());
    CHECK(bench.effects<AbortStream>().size() == 1);
}

TEST_CASE("a resumable stream is resumed at another replica after its last complete event, without duplicates")
{
    Bench bench;
    bench.serve().replica("d", UpstreamKind::Decode).replica("e", UpstreamKind::Decode);
    auto id = bench.submit("/resumable/x");
    auto reserve = bench.only<ReserveAtReplica>();
    bench.post(ReservationGranted { reserve.id, reserve.attempt, "reservation-1" });
    auto first = bench.only<Send>();
    bench.streamHead(first);
    bench.post(AnswerBody { id, first.attempt, "id: 1\ndata: a\n\nid: 2\nda" });
    bench.post(CallFailed { id, first.attempt, true, "reset" });
    auto second = bench.only<Send>();
    CHECK((second.replica != first.replica));
    CHECK(second.resumeAfter == 1);
    bench.streamHead(second);
    bench.post(AnswerBody { id, second.attempt, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" });
    CHECK(bench.effects<BeginStream>().empty());
    CHECK(bench.only<StreamBytes>().bytes == "id: 2\ndata: b\n\n");
    bench.post(AnswerEnd { id, second.attempt });
    CHECK(bench.effects<EndStream>().size() == 1);
}

TEST_CASE("a request that may have run is not refused as not run when no replica is left after its second prefill")
{
    Bench bench;
    bench.serve().replica("d", UpstreamKind::Decode).replica("p", UpstreamKind::Prefill);
    auto first = bench.run(bench.submit("/resumable/x"));
    bench.restart("p", UpstreamKind::Prefill);
    bench.replica("e", UpstreamKind::Decode);
    bench.post(CallFailed { first.id, first.attempt, true, "reset" });
    auto prefill = bench.only<Send>();
    REQUIRE(prefill.isPrefill);
    bench.replica("e", UpstreamKind::Decode, 2, ReplicaState::Draining);
    bench.post(PrefillFinished { prefill.id, prefill.attempt, "kv-2" });
    CHECK(bench.only<Refuse>().error.code == ResultCode::UpstreamFailed);
    CHECK(!bench.only<Refuse>().error.retryAfter);
}

TEST_CASE("a request that may have run is not refused as not run when its second prefill is refused and the retry budget is used up")
{
    Bench bench;
    bench.serve().replica("d", UpstreamKind::Decode).replica("p", UpstreamKind::Prefill);
    auto first = bench.run(bench.submit("/resumable/x"));
    bench.restart("p", UpstreamKind::Prefill);
    bench.replica("e", UpstreamKind::Decode);
    bench.post(CallFailed { first.id, first.attempt, true, "reset" });
    auto second = bench.only<Send>();
    REQUIRE(second.isPrefill);
    while (bench.logic().retryBudget(bench.now).at("engine") >= 1) {
        auto id = bench.submit("/stream/x");
        bench.post(ReservationGranted { id, bench.only<ReserveAtReplica>().attempt, "reservation-1" });
        bench.post(PrefillFailed { id, bench.only<Send>().attempt, true, false });
        bench.post(CallerDisconnected { id });
    }
    bench.post(PrefillFailed { second.id, second.attempt, true, false });
    CHECK(bench.only<Refuse>().error.code == ResultCode::UpstreamFailed);
    CHECK(!bench.only<Refuse>().error.retryAfter);
}

TEST_CASE("a retry copies the KV cache that the prefill replica still holds, as long as that replica is ready")
{
    // Guards against streams at a decode replica that stall for 0.3 s and more.
    for (bool isPrefillReplicaReady : { true, false }) {
        Bench bench;
        bench.serve().replica("d", UpstreamKind::Decode).replica("e", UpstreamKind::Decode).replica("p", UpstreamKind::Prefill);
        auto id = bench.submit("/resumable/x");
        auto first = bench.run(id);
        CHECK(first.cacheAddress.empty());
        if (!isPrefillReplicaReady)
            bench.post(ReplicaWithdrawn { "p" });
        bench.post(CallFailed { id, first.attempt, true, "reset" });
        auto second = bench.only<Send>();
        CHECK(!second.source);
        CHECK(second.cacheAddress == (isPrefillReplicaReady ? "p:80" : ""));
    }
}

TEST_CASE("a request whose replicas can't be reached did not run, and uses no retry budget when there is no other replica")
{
    Bench bench;
    bench.serve().replica("a");
    bench.submit("/often/x");
    auto send = bench.only<Send>();
    bench.post(CallFailed { send.id, send.attempt, false, "refused" });
    CHECK(bench.only<Refuse>().error.code == ResultCode::NoUpstream);
    CHECK(bench.only<Refuse>().error.retryAfter);
    // The whole budget: 0.8 of the slack of 60, plus 0.1 for the one request.
    CHECK(bench.logic().retryBudget(bench.now).at("plain") > 48);
}

TEST_CASE("a replica never gets more calls than this gateway's share of its connections")
{
    // Guards against connection resets of requests that no replica has read.
    Bench bench;
    auto limited = document(1);
    limited.services[0].maxConnections = 10;
    bench.post(DocumentReceived { limited, true });
    bench.post(RegistryHeartbeat { {}, 4 });
    bench.replica("r1").replica("r2");
    std::map<std::string, int> calls;
    for (int i = 0; i < 4; ++i) {
        bench.submit("/once/x");
        ++calls[bench.only<Send>().replica.id];
    }
    CHECK(calls == std::map<std::string, int> { { "r1", 2 }, { "r2", 2 } });
    bench.submit("/once/x");
    CHECK(bench.effects<Send>().empty());
    CHECK(bench.only<Refuse>().error.code == ResultCode::Overloaded);
    CHECK(bench.only<Refuse>().error.retryAfter);
    // With fewer gateways the share grows, once no gateway can still be using the former number.
    bench.post(RegistryHeartbeat { {}, 1 });
    bench.submit("/once/x");
    CHECK(bench.effects<Send>().empty());
    bench.now += 11s;
    bench.post(RegistryHeartbeat { {}, 1 });
    bench.submit("/once/x");
    CHECK(bench.effects<Send>().size() == 1);
}

TEST_CASE("a retry that the budget does not allow is not sent")
{
    Bench bench;
    bench.serve().replica("a").replica("b").replica("c");
    int resends = 0;
    for (int i = 0; i < 200; ++i) {
        bench.submit("/often/x");
        auto send = bench.only<Send>();
        bench.post(CallFailed { send.id, send.attempt, true, "reset" });
        resends += static_cast<int>(bench.effects<Send>().size());
        for (const auto& again : bench.effects<Send>())
            bench.post(CallerDisconnected { again.id });
    }
    CHECK(resends <= 0.2 * 200 + 60);
    CHECK(resends >= 20);
}

namespace {

/// Lets the gateway serve n streams, each of which ends this long after its first event.
void serveStreams(Bench& bench, std::size_t n, Duration afterFirst)
{
    for (std::size_t i = 0; i < n; ++i) {
        auto send = bench.run(bench.submit("/stream/x", 14s));
        bench.streamHead(send);
        bench.post(AnswerBody { send.id, send.attempt, "id: 1\ndata: a\n\n" });
        bench.now += afterFirst;
        bench.post(AnswerEnd { send.id, send.attempt });
        REQUIRE(bench.effects<EndStream>().size() == 1);
    }
}

constexpr Duration stopLimit = 7500ms;

/// From now on requests may take longer than the process has left once it stops.
void allowLongAnswers(Bench& bench)
{
    auto longer = document(2);
    for (auto& route : longer.routes) {
        route.timeout = 60s;
        route.target = 30s;
    }
    bench.post(DocumentReceived { longer, true });
}

/// Serves so many requests of the plain service, each of which takes this long.
void serveAnswers(Bench& bench, std::size_t n, Duration each)
{
    for (std::size_t i = 0; i < n; ++i) {
        bench.submit("/once/x", 60s);
        auto send = bench.only<Send>();
        bench.now += each;
        bench.answer(send, 200);
        REQUIRE(bench.effects<Reply>().size() == 1);
    }
}

/// That it was refused at once as not run, because the process stops.
void checkRefusedAsDraining(const Bench& bench)
{
    CHECK(bench.effects<Send>().empty());
    auto refusal = bench.only<Refuse>();
    CHECK(refusal.error.code == ResultCode::Draining);
    CHECK(refusal.error.retryAfter);
}

} // namespace

TEST_CASE("a gateway that shuts down refuses at once a stream that might be cut off, with a minimal Retry-After")
{
    // Guards against streams that are cut off by a planned shutdown.
    Bench bench;
    bench.serve().replica("p", UpstreamKind::Prefill).replica("d", UpstreamKind::Decode).replica("a");
    bench.post(Stop { bench.now + stopLimit });
    bench.submit("/stream/x", 14s);
    auto refusal = bench.only<Refuse>();
    CHECK(refusal.error.code == ResultCode::Draining);
    CHECK(httpStatusOf(refusal.error.code) == 503);
    REQUIRE(refusal.error.retryAfter);
    CHECK(*refusal.error.retryAfter <= 10ms);
    // A request that certainly ends in time, or is no stream, is served.
    bench.submit("/stream/x", 7s);
    CHECK(bench.effects<ReserveAtReplica>().size() == 1);
    bench.submit("/once/x");
    CHECK(bench.effects<Send>().size() == 1);
}

TEST_CASE("a gateway that shuts down serves streams that are forecast to end in time")
{
    Bench bench;
    bench.serve().replica("p", UpstreamKind::Prefill).replica("d", UpstreamKind::Decode);
    serveStreams(bench, StreamForecast::minSamples, 6s);
    bench.post(Stop { bench.now + stopLimit });
    bench.submit("/stream/x", 14s);
    CHECK(bench.effects<Refuse>().empty());
    CHECK(bench.effects<ReserveAtReplica>().size() == 1);
    bench.now += 2s;
    bench.submit("/stream/x", 14s);
    CHECK(bench.only<Refuse>().error.code == ResultCode::Draining);
}

TEST_CASE("a caller with a shorter timeout than others is refused like them if its stream might be cut off")
{
    // Guards against streams that begin in the seconds after the signal to stop and are cut off 5 to 7 s later.
    Bench bench;
    bench.serve().replica("p", UpstreamKind::Prefill).replica("d", UpstreamKind::Decode);
    serveStreams(bench, StreamForecast::minSamples, 2s);
    serveStreams(bench, 1, 9s);
    bench.post(Stop { bench.now + stopLimit });
    for (Duration less : { Duration(0), Duration(50ms), Duration(1s), Duration(2s) }) {
        bench.submit("/stream/x", 14s - less);
        CHECK(bench.only<Refuse>().error.code == ResultCode::Draining);
    }
}

TEST_CASE("a request that comes late in a shutdown is refused as not run if its answer would be cut off")
{
    // Guards against requests that are passed on late in a planned stop and cut off without an answer at its end.
    Bench bench;
    bench.serve().replica("a").replica("b");
    allowLongAnswers(bench);
    serveAnswers(bench, StreamForecast::minSamples, 3s);
    bench.post(Stop { bench.now + stopLimit });
    bench.now += 4s;
    bench.submit("/once/x", 60s);
    CHECK(bench.effects<Send>().size() == 1);
    bench.now += 800ms;
    for (const auto* path : { "/once/x", "/often/x" }) {
        bench.submit(path, 60s);
        checkRefusedAsDraining(bench);
    }
    // One whose caller or route wants no answer after the end is tried.
    bench.submit("/once/x", 2s);
    CHECK(bench.effects<Send>().size() == 1);
}

TEST_CASE("a request that was on its way when a shutdown began counts from when it is passed on")
{
    // Guards against a long upload that is taken for a request that came early.
    Bench bench;
    bench.serve().replica("a");
    allowLongAnswers(bench);
    serveAnswers(bench, StreamForecast::minSamples, 3s);
    bench.post(Stop { bench.now + stopLimit });
    bench.now += 5s;
    RequestMetadata request;
    request.readFor = 5s;
    bench.submit("/once/x", 60s, {}, "", request);
    checkRefusedAsDraining(bench);
}

TEST_CASE("a request is not sent again late in a shutdown if its answer would be cut off")
{
    // Guards against a second call that can't end in time, where the caller could have been told of the first at once.
    Bench bench;
    bench.serve().replica("a").replica("b");
    allowLongAnswers(bench);
    serveAnswers(bench, StreamForecast::minSamples, 3s);
    bench.post(Stop { bench.now + stopLimit });
    bench.submit("/often/x", 60s);
    auto failed = bench.only<Send>();
    bench.submit("/often/x", 60s);
    auto refused = bench.only<Send>();
    bench.now += 4800ms;
    bench.post(CallFailed { failed.id, failed.attempt, true, "the connection ended" });
    CHECK(bench.effects<Send>().empty());
    CHECK(bench.only<Refuse>().error.code == ResultCode::UpstreamFailed);
    bench.answer(refused, 503, true);
    checkRefusedAsDraining(bench);
}

TEST_CASE("a slow call is left to end late in a shutdown")
{
    // Guards against giving up an answer that may still come for one that comes too late.
    Bench bench;
    bench.serve().replica("a").replica("b");
    allowLongAnswers(bench);
    serveAnswers(bench, 1, 5s);
    serveAnswers(bench, StreamForecast::minSamples - 1, 20ms);
    auto impatient = document(3);
    for (auto& route : impatient.routes)
        route.timeout = 60s;
    bench.post(DocumentReceived { impatient, true });
    bench.post(Stop { bench.now + stopLimit });
    bench.now += 2s;
    bench.submit("/often/x", 60s);
    CHECK(bench.effects<Send>().size() == 1);
    bench.wait(1s);
    CHECK(bench.effects<Send>().empty());
    CHECK(bench.effects<CancelCall>().empty());
}

TEST_CASE("without a forecast, a shutting down gateway refuses requests that may outlive it")
{
    Bench bench;
    bench.serve().replica("a");
    allowLongAnswers(bench);
    serveAnswers(bench, StreamForecast::minSamples - 1, 3s);
    bench.post(Stop { bench.now + stopLimit });
    bench.submit("/once/x", 60s);
    checkRefusedAsDraining(bench);
}

TEST_CASE("callers with different timeouts at their first attempt wait equally long for a reservation; retries go behind")
{
    // Guards against refusing two in three requests after 150 ms while all decode replicas are full and the others wait for 0.6 s.
    Bench bench;
    bench.serve().replica("p", UpstreamKind::Prefill).replica("d", UpstreamKind::Decode);
    bench.run(bench.submit("/stream/x", 14s));
    auto isRefusedAfter = [&bench](Duration callerTimeout, Duration wait) {
        bench.submit("/stream/x", callerTimeout);
        auto reserve = bench.only<ReserveAtReplica>();
        bench.post(ReservationRefused { reserve.id, reserve.attempt, true });
        bench.wait(wait);
        bool isRefused = !bench.effects<Refuse>().empty();
        bench.post(CallerDisconnected { reserve.id });
        return isRefused;
    };
    for (Duration callerTimeout : { Duration(13900ms), Duration(12900ms), Duration(11900ms) })
        CHECK(!isRefusedAfter(callerTimeout, 200ms));
    CHECK(isRefusedAfter(14s - ForwardLogic::minOverloadRetryAfter, 200ms));
}

TEST_CASE("a caller that opened a new connection is not taken for one that retries")
{
    // Guards against a stream that begins after the signal to stop and is cut off 7 s later.
    Bench bench;
    bench.serve().replica("p", UpstreamKind::Prefill).replica("d", UpstreamKind::Decode);
    bench.post(Stop { bench.now + stopLimit });
    bench.submit("/stream/x", 14s);
    CHECK(bench.only<Refuse>().error.code == ResultCode::Draining);
    bench.submit("/stream/x", 14s - 12ms);
    CHECK(bench.only<Refuse>().error.code == ResultCode::Draining);
}

TEST_CASE("streams that wait for a reservation when the shutdown begins are refused as well")
{
    Bench bench;
    bench.serve().replica("p", UpstreamKind::Prefill).replica("d", UpstreamKind::Decode);
    bench.submit("/stream/x", 14s);
    auto reserve = bench.only<ReserveAtReplica>();
    bench.post(ReservationRefused { reserve.id, reserve.attempt, true });
    CHECK(bench.effects<Refuse>().empty());
    bench.post(Stop { bench.now + stopLimit });
    CHECK((bench.only<Refuse>().id == reserve.id));
    CHECK(bench.only<Refuse>().error.code == ResultCode::Draining);
}

TEST_CASE("after a route's timeout is shortened, callers are not taken for retries")
{
    // Guards against treating all requests of a route as late after its timeout was shortened.
    Bench bench;
    bench.serve().replica("p", UpstreamKind::Prefill).replica("d", UpstreamKind::Decode);
    bench.run(bench.submit("/stream/x", 14s));
    auto shorter = document(2);
    for (auto& route : shorter.routes)
        route.timeout = 10s;
    bench.post(DocumentReceived { shorter, true });
    bench.submit("/stream/x", 14s);
    auto reserve = bench.only<ReserveAtReplica>();
    bench.post(ReservationRefused { reserve.id, reserve.attempt, true });
    bench.wait(200ms);
    CHECK(bench.effects<Refuse>().empty());
}

// --- Sidecars of engines ----------------------------------------------------------------------------------------

TEST_CASE("a request gets its reservation from the sidecar of an engine, and the sidecar is notified of its end")
{
    Bench bench;
    bench.serve().replica("p", UpstreamKind::Prefill).replica("d", UpstreamKind::Decode);
    constexpr PeerId besideDecode { 5 };
    constexpr PeerId besidePrefill { 6 };
    bench.post(EngineHeadroomReported { "d:80", { besideDecode, 60000, 0 } });
    bench.post(EngineHeadroomReported { "p:80", { besidePrefill, 0, 0 } });
    auto id = bench.submit("/stream/x");
    auto reserve = bench.only<ReserveAtSidecar>();
    CHECK(bench.effects<ReserveAtReplica>().empty());
    CHECK((reserve.sidecar == besideDecode));
    CHECK(reserve.promptTokens == 5000);
    CHECK(reserve.expectedTokens == 400);
    CHECK(reserve.maxOutputTokens == 800);
    bench.post(SidecarReservationReply { id, reserve.attempt, true, 50000 });
    CHECK((bench.only<NotifyPrefill>().sidecar == besidePrefill));
    CHECK(!bench.only<NotifyPrefill>().hasEnded);
    auto prefill = bench.only<Send>();
    bench.post(PrefillFinished { prefill.id, prefill.attempt, "kv-1" });
    CHECK(bench.only<NotifyPrefill>().hasEnded);
    auto send = bench.only<Send>();
    CHECK(send.replica.id == "d");
    CHECK(send.reservation.empty()); // Held by the sidecar; the engine doesn't know of it.
    bench.streamHead(send);
    bench.post(AnswerBody { send.id, send.attempt, "id: 1\ndata: a\n\n" });
    bench.post(AnswerEnd { send.id, send.attempt });
    CHECK((bench.only<EndSidecarReservation>().sidecar == besideDecode));
    CHECK(bench.only<EndSidecarReservation>().isComplete);
}

TEST_CASE("a reservation is released when its caller disconnects, also before it was granted")
{
    for (bool isGranted : { false, true }) {
        Bench bench;
        bench.serve().replica("p", UpstreamKind::Prefill).replica("d", UpstreamKind::Decode);
        bench.post(EngineHeadroomReported { "d:80", { PeerId(5), 60000, 0 } });
        auto id = bench.submit("/stream/x");
        if (isGranted)
            bench.post(SidecarReservationReply { id, bench.only<ReserveAtSidecar>().attempt, true, 50000 });
        bench.post(CallerDisconnected { id });
        CHECK((bench.only<EndSidecarReservation>().id == id));
        CHECK(!bench.only<EndSidecarReservation>().isComplete);
        CHECK(bench.effects<ReleaseReservation>().empty());
    }
}

TEST_CASE("a gateway asks an engine with free memory, waits while there is none, and continues without sidecars")
{
    Bench bench;
    bench.serve().replica("d", UpstreamKind::Decode).replica("e", UpstreamKind::Decode);
    bench.post(EngineHeadroomReported { "d:80", { PeerId(5), 4000, 0 } });
    bench.post(EngineHeadroomReported { "e:80", { PeerId(6), 30000, 0 } });
    bench.submit("/stream/x");
    CHECK((bench.only<ReserveAtSidecar>().sidecar == PeerId(6)));
    // The sidecar refuses, as another gateway was faster. No engine has free memory now, so the request waits until one has.
    bench.post(SidecarReservationReply { bench.only<ReserveAtSidecar>().id, bench.only<ReserveAtSidecar>().attempt, false, 0 });
    CHECK(bench.effects<ReserveAtSidecar>().empty());
    bench.wait(100ms);
    CHECK(bench.effects<ReserveAtSidecar>().empty());
    bench.post(EngineHeadroomReported { "d:80", { PeerId(5), 20000, 0 } });
    CHECK((bench.only<ReserveAtSidecar>().sidecar == PeerId(5)));
    // The reservation call to a sidecar times out. An engine whose sidecar has disconnected is asked directly.
    bench.post(PeerDisconnected { PeerId(6) });
    bench.wait(121ms);
    CHECK(bench.effects<EndSidecarReservation>().size() == 1);
    CHECK(bench.only<ReserveAtReplica>().replica.id == "e");
}

TEST_CASE("the prefill replica with the shortest backlog is chosen, whichever gateways caused the backlog")
{
    // Guards against first events that are 0.7 s late.
    Bench bench;
    bench.serve().replica("p", UpstreamKind::Prefill).replica("q", UpstreamKind::Prefill).replica("d", UpstreamKind::Decode);
    std::map<std::string, int> chosen;
    for (int i = 0; i < 10; ++i) {
        bench.post(EngineHeadroomReported { "p:80", { PeerId(5), 0, 50000 } });
        bench.post(EngineHeadroomReported { "q:80", { PeerId(6), 0, 5000 } });
        auto reserve = [&] {
            bench.submit("/stream/x");
            return bench.only<ReserveAtReplica>();
        }();
        bench.post(ReservationGranted { reserve.id, reserve.attempt, "reservation" });
        ++chosen[bench.only<Send>().replica.id];
    }
    CHECK(chosen["q"] == 10);
}

// --- Replicas that restart under the same id --------------------------------------------------------------------

TEST_CASE("reservations, KV caches and calls of a former run are dropped at once, and nothing is released at the newer run")
{
    // Guards against requests that wait for reservations and KV caches that no longer exist, and against releasing those of other requests.
    Bench bench;
    bench.serve().restart("d", UpstreamKind::Decode).restart("p", UpstreamKind::Prefill).restart("q", UpstreamKind::Prefill);
    auto id = bench.submit("/stream/x");
    auto reserve = bench.only<ReserveAtReplica>();
    SUBCASE("a pending reservation is requested again, and the late answer is dropped")
    {
        bench.restart("d", UpstreamKind::Decode);
        CHECK((bench.only<CancelCall>().attempt == reserve.attempt));
        auto again = bench.only<ReserveAtReplica>();
        CHECK(again.replica.id == "d");
        CHECK(reserve.replica.isBefore(again.replica));
        bench.post(ReservationGranted { id, reserve.attempt, "late" });
        CHECK(bench.effects<Send>().empty());
        bench.post(ReservationGranted { id, again.attempt, "reservation-2" });
        CHECK(bench.only<Send>().isPrefill);
    }
    SUBCASE("a granted reservation is neither used nor released at the newer run")
    {
        bench.post(ReservationGranted { id, reserve.attempt, "reservation-1" });
        auto prefill = bench.only<Send>();
        bench.restart("d", UpstreamKind::Decode);
        CHECK(bench.effects<ReleaseReservation>().empty());
        CHECK(bench.effects<CancelCall>().empty());
        bench.post(PrefillFinished { id, prefill.attempt, "kv-1" });
        auto run = bench.only<Send>();
        CHECK(run.reservation.empty());
        REQUIRE(run.source);
        CHECK(run.source->handle == "kv-1");
        CHECK(reserve.replica.isBefore(run.replica));
    }
    SUBCASE("a granted reservation is not released when the caller disconnects")
    {
        bench.post(ReservationGranted { id, reserve.attempt, "reservation-1" });
        bench.restart("d", UpstreamKind::Decode);
        bench.post(CallerDisconnected { id });
        CHECK(bench.effects<ReleaseReservation>().empty());
        CHECK(bench.knowsOnlyPresentRuns());
    }
    SUBCASE("a prefill in progress is retried at another replica, also if a request may run only once, and the late handle is dropped")
    {
        bench.post(ReservationGranted { id, reserve.attempt, "reservation-1" });
        auto prefill = bench.only<Send>();
        auto left = bench.logic().retryBudget(bench.now).at("engine");
        bench.restart(prefill.replica.id, UpstreamKind::Prefill);
        CHECK((bench.only<CancelCall>().attempt == prefill.attempt));
        auto again = bench.only<Send>();
        CHECK(again.isPrefill);
        CHECK((again.replica != prefill.replica));
        CHECK(bench.logic().retryBudget(bench.now).at("engine") == left - 1);
        bench.post(PrefillFinished { id, prefill.attempt, "late" });
        CHECK(bench.effects<Send>().empty());
        bench.post(PrefillFinished { id, again.attempt, "kv-2" });
        auto run = bench.only<Send>();
        CHECK(run.reservation == "reservation-1");
        CHECK(run.source->handle == "kv-2");
        // The request has not run yet, so a refusal may say so.
        bench.answer(run, 503, true);
        CHECK(httpStatusOf(bench.only<Refuse>().error.code) == 503);
    }
    for (const auto& [run, load] : bench.logic().replicas().loads())
        CHECK(load.calls <= 1);
}

TEST_CASE("the prefill is repeated before a retry if the KV cache was lost with its replica")
{
    // Guards against streams at a decode replica that stall while it runs a prefill itself.
    Bench bench;
    bench.serve().restart("d", UpstreamKind::Decode).restart("e", UpstreamKind::Decode);
    bench.restart("p", UpstreamKind::Prefill).restart("q", UpstreamKind::Prefill);
    auto id = bench.submit("/stream/x");
    auto first = bench.run(id);
    REQUIRE(first.source);
    bench.restart(first.source->replica.id, UpstreamKind::Prefill);
    // The KV cache may have been fetched already, so the call continues.
    CHECK(bench.effects<CancelCall>().empty());
    SUBCASE("not run")
    {
        bench.answer(first, 503, true);
        auto prefill = bench.only<Send>();
        CHECK(prefill.isPrefill);
        CHECK((prefill.replica != first.source->replica));
        bench.post(PrefillFinished { id, prefill.attempt, "kv-2" });
        auto second = bench.only<Send>();
        CHECK((second.replica != first.replica));
        CHECK(second.source->handle == "kv-2");
        CHECK(second.cacheAddress.empty());
        bench.answer(second, 503, true);
        CHECK(httpStatusOf(bench.only<Refuse>().error.code) == 503);
    }
    SUBCASE("not reached: the handle of the former run is not sent again")
    {
        bench.post(CallFailed { id, first.attempt, false, "refused" });
        CHECK(bench.only<Send>().isPrefill);
    }
    SUBCASE("fetched in time: the prefill is not repeated")
    {
        bench.streamHead(first);
        bench.post(AnswerBody { id, first.attempt, "id: 1\ndata: a\n\n" });
        bench.post(AnswerEnd { id, first.attempt });
        CHECK(bench.effects<EndStream>().size() == 1);
        CHECK(bench.effects<Send>().empty());
    }
}

TEST_CASE("without budget for another prefill the decode replica runs the prefill itself")
{
    Bench bench;
    bench.serve().restart("d", UpstreamKind::Decode).restart("p", UpstreamKind::Prefill).restart("q", UpstreamKind::Prefill);
    auto id = bench.submit("/stream/x");
    auto reserve = bench.only<ReserveAtReplica>();
    bench.post(ReservationGranted { id, reserve.attempt, "reservation-1" });
    bool wasPrefillRetried = true;
    while (wasPrefillRetried) {
        auto prefill = bench.only<Send>();
        bench.restart(prefill.replica.id, UpstreamKind::Prefill);
        wasPrefillRetried = bench.only<Send>().isPrefill;
    }
    CHECK(bench.only<Send>().reservation == "reservation-1");
    CHECK(!bench.only<Send>().source);
    CHECK(bench.logic().retryBudget(bench.now).at("engine") < 1);
}

TEST_CASE("a call that runs at a former run ends by itself, and is never reported as not run")
{
    // Guards against a request that runs twice, or is refused as not run although it may have run.
    Bench bench;
    bench.serve().restart("a");
    SUBCASE("once only: answered as failed")
    {
        auto id = bench.submit("/once/x");
        auto send = bench.only<Send>();
        bench.restart("a");
        CHECK(bench.effects<CancelCall>().empty());
        CHECK(bench.effects<Refuse>().empty());
        bench.post(CallFailed { id, send.attempt, true, "reset" });
        CHECK(bench.only<Refuse>().error.code == ResultCode::UpstreamFailed);
        CHECK(bench.effects<Send>().empty());
    }
    SUBCASE("idempotent: sent to the newer run, within the route's attempts")
    {
        auto id = bench.submit("/often/x");
        auto send = bench.only<Send>();
        bench.restart("a");
        bench.post(CallFailed { id, send.attempt, true, "reset" });
        auto again = bench.only<Send>();
        CHECK(send.replica.isBefore(again.replica));
        bench.restart("a");
        bench.post(CallFailed { id, again.attempt, true, "reset" });
        CHECK(bench.only<Refuse>().error.code == ResultCode::UpstreamFailed);
        CHECK(bench.effects<Send>().empty());
    }
    SUBCASE("an answer that was in transit is passed on")
    {
        bench.submit("/once/x");
        auto send = bench.only<Send>();
        bench.restart("a");
        bench.answer(send, 200);
        CHECK(bench.only<Reply>().status == 200);
    }
    SUBCASE("a misdirected call counts against the former run only")
    {
        bench.submit("/once/x");
        auto send = bench.only<Send>();
        bench.restart("a");
        bench.answer(send, 421, true, true);
        CHECK(send.replica.isBefore(bench.only<Send>().replica));
    }
    CHECK(bench.knowsOnlyPresentRuns());
}

TEST_CASE("idle connections and cached prompts of a former run are not used")
{
    Bench bench;
    bench.serve().restart("d", UpstreamKind::Decode).restart("e", UpstreamKind::Decode).restart("p", UpstreamKind::Prefill);
    auto id = bench.submit("/resumable/x");
    auto first = bench.run(id);
    auto prefillReplica = first.source->replica;
    bench.restart("p", UpstreamKind::Prefill);
    CHECK((bench.only<DropConnections>().replica == prefillReplica));
    CHECK(bench.effects<LogEvent>().front().code == EventCode::UpstreamRestarted);
    bench.streamHead(first);
    bench.post(AnswerBody { id, first.attempt, "id: 1\ndata: a\n\n" });
    bench.post(CallFailed { id, first.attempt, true, "reset" });
    auto second = bench.only<Send>();
    CHECK(!second.isPrefill);
    CHECK(second.cacheAddress.empty());
}

TEST_CASE("a replica that was withdrawn and restarted gets work, and late messages of its former run have no effect")
{
    Bench bench;
    bench.serve().restart("a");
    bench.submit("/once/x");
    auto former = bench.only<Send>().replica;
    bench.post(ReplicaWithdrawn { "a", former.start });
    bench.submit("/once/x");
    CHECK(bench.only<Refuse>().error.code == ResultCode::NoUpstream);
    bench.restart("a");
    bench.replica("a", UpstreamKind::Plain, 99, ReplicaState::Draining, former.start);
    bench.post(ReplicaWithdrawn { "a", former.start });
    bench.submit("/once/x");
    CHECK(former.isBefore(bench.only<Send>().replica));
}

// --- Replicas without recent announcements ----------------------------------------------------------------------

TEST_CASE("prefills at replicas without recent announcements stay within the retry budget")
{
    // Guards against exceeding the retry budget.
    Bench bench;
    bench.serve().replica("d", UpstreamKind::Decode);
    for (int i = 0; i < 200; ++i) {
        Announcement announcement;
        announcement.id = "p-" + std::to_string(i);
        announcement.service = "engine";
        announcement.address = announcement.id + ":80";
        announcement.zone = "zone-1";
        announcement.slots = 6;
        announcement.kind = UpstreamKind::Prefill;
        bench.post(RelayedAnnouncement { announcement, AnnouncementTimes().overdueAfter() + 100ms });
    }
    auto allowed = bench.logic().retryBudget(bench.now)["engine"];
    int refused = 0;
    for (int i = 0; i < 100; ++i) {
        bench.submit("/stream/x");
        auto reserve = bench.only<ReserveAtReplica>();
        bench.post(ReservationGranted { reserve.id, reserve.attempt, "reservation-1" });
        allowed = std::max(allowed, bench.logic().retryBudget(bench.now)["engine"] + refused);
        while (bench.only<Send>().isPrefill) {
            ++refused;
            auto prefill = bench.only<Send>();
            bench.post(PrefillFailed { prefill.id, prefill.attempt, true, true });
        }
        bench.post(CallerDisconnected { reserve.id });
    }
    CHECK(refused > 0);
    CHECK(refused <= allowed);
    // A replica with a recent announcement still gets prefills.
    bench.replica("recent", UpstreamKind::Prefill);
    bench.submit("/stream/x");
    auto reserve = bench.only<ReserveAtReplica>();
    bench.post(ReservationGranted { reserve.id, reserve.attempt, "reservation-1" });
    CHECK(bench.only<Send>().isPrefill);
    CHECK(bench.only<Send>().replica.id == "recent");
}

// --- Requests that crash replicas -------------------------------------------------------------------------------

namespace {

constexpr ContentFingerprint crashing { 7 };

/// A controller's report of a request that has crashed this many replicas, one second apart.
CrashesReported crashReport(int crashes, Duration newest = 1s)
{
    CrashesReported event;
    for (int i = 0; i < crashes; ++i)
        event.report.crashes.push_back({ crashing, "gone-" + std::to_string(i), {}, newest + i * 1s, 100ms });
    return event;
}

} // namespace

TEST_CASE("a gateway reports each replica that crashes under a request, and refuses the request after three crashes")
{
    // Guards against a request that crashes one replica after another, with all requests that run there.
    Bench bench;
    bench.serve().replica("a").replica("b").replica("c").replica("d");
    for (int i = 0; i < 3; ++i) {
        auto id = bench.submit("/once/x", {}, crashing);
        auto send = bench.only<Send>();
        bench.now += 100ms;
        bench.post(CallFailed { id, send.attempt, true, "the connection ended" });
        auto reported = bench.only<ReportCrashes>();
        CHECK(!reported.controller);
        REQUIRE(reported.report.crashes.size() == 1);
        CHECK((reported.report.crashes[0].content == crashing));
        CHECK((reported.report.crashes[0].run() == send.replica));
        CHECK(reported.report.crashes[0].ranFor == 100ms);
        CHECK(httpStatusOf(bench.only<Refuse>().error.code) == 502);
        bench.post(ReplicaWithdrawn { send.replica.id, {} });
        bench.now += 400ms;
    }
    bench.submit("/once/x", {}, crashing);
    CHECK(bench.effects<Send>().empty());
    auto error = bench.only<Refuse>().error;
    CHECK(error.code == ResultCode::CrashesReplicas);
    CHECK(httpStatusOf(error.code) == 502);
    CHECK(outcomeOf(error.code) == "unknown");
    CHECK(!error.retryAfter);
    bench.submit("/once/x", {}, ContentFingerprint(8));
    CHECK(bench.effects<Send>().size() == 1);
    CHECK(bench.finished() == 4);
}

TEST_CASE("a request that crashed three replicas elsewhere is refused, with nothing sent to a replica")
{
    Bench bench;
    bench.serve().replica("d", UpstreamKind::Decode).replica("p", UpstreamKind::Prefill).replica("a");
    bench.post(crashReport(2));
    bench.submit("/once/x", {}, crashing);
    CHECK(bench.effects<Send>().size() == 1);
    bench.post(crashReport(3));
    CHECK(bench.effects<LogEvent>().back().code == EventCode::RequestCrashesReplicas);
    bench.submit("/stream/x", {}, crashing);
    CHECK(bench.effects<Send>().empty());
    CHECK(bench.effects<ReserveAtReplica>().empty());
    CHECK(bench.only<Refuse>().error.code == ResultCode::CrashesReplicas);
    // The gateway reports what it knows to a controller that has just connected.
    bench.post(ControllerConnected { PeerId(5) });
    CHECK((bench.only<ReportCrashes>().controller == PeerId(5)));
    CHECK(bench.only<ReportCrashes>().report.crashes.size() == 3);
}

TEST_CASE("a request that waits for a reservation or prefill is refused at once when its fingerprint has crashed replicas")
{
    // Guards against replicas that crash for some seconds after all gateways know the request.
    Bench bench;
    bench.serve().replica("d", UpstreamKind::Decode).replica("p", UpstreamKind::Prefill);
    SUBCASE("during the reservation call")
    {
        bench.submit("/stream/x", {}, crashing);
        CHECK(bench.effects<ReserveAtReplica>().size() == 1);
    }
    SUBCASE("queued for a reservation")
    {
        bench.submit("/stream/x", {}, crashing);
        auto reserve = bench.only<ReserveAtReplica>();
        bench.post(ReservationRefused { reserve.id, reserve.attempt, true });
    }
    SUBCASE("during the prefill")
    {
        bench.submit("/stream/x", {}, crashing);
        auto reserve = bench.only<ReserveAtReplica>();
        bench.post(ReservationGranted { reserve.id, reserve.attempt, "reservation-1" });
        CHECK(bench.only<Send>().isPrefill);
    }
    bench.post(crashReport(3));
    CHECK(bench.only<Refuse>().error.code == ResultCode::CrashesReplicas);
    CHECK(bench.effects<Send>().empty());
    CHECK(bench.finished() == 1);
    bench.wait(1s);
    CHECK(bench.effects<Send>().empty());
}

TEST_CASE("a stream is not resumed at another replica once three have crashed under it")
{
    // Guards against one request that crashes two replicas because its route allows the stream to be resumed.
    Bench bench;
    bench.serve().replica("d", UpstreamKind::Decode).replica("e", UpstreamKind::Decode).replica("p", UpstreamKind::Prefill);
    bench.post(crashReport(2));
    auto id = bench.submit("/resumable/x", {}, crashing);
    auto run = bench.run(id);
    SUBCASE("the stream has started")
    {
        bench.streamHead(run);
        bench.post(AnswerBody { id, run.attempt, "id: 1\ndata: a\n\n" });
        bench.now += 100ms;
        bench.post(CallFailed { id, run.attempt, true, "the connection ended" });
        CHECK(bench.effects<AbortStream>().size() == 1);
    }
    SUBCASE("the stream has not started")
    {
        bench.now += 100ms;
        bench.post(CallFailed { id, run.attempt, true, "the connection ended" });
        CHECK(bench.only<Refuse>().error.code == ResultCode::CrashesReplicas);
    }
    CHECK(bench.effects<Send>().empty());
    CHECK(bench.finished() == 1);
}

TEST_CASE("a complete answer is reported, so that no gateway refuses the request; a draining replica does not count as crashed")
{
    Bench bench;
    bench.serve().replica("a").replica("b");
    bench.post(crashReport(2));
    bench.submit("/once/x", {}, crashing);
    bench.now += 100ms;
    bench.answer(bench.only<Send>(), 200);
    auto reported = bench.only<ReportCrashes>();
    CHECK(reported.report.crashes.empty());
    REQUIRE(reported.report.served.size() == 1);
    CHECK((reported.report.served[0].content == crashing));
    auto id = bench.submit("/once/x", {}, crashing);
    auto send = bench.only<Send>();
    bench.replica(send.replica.id, UpstreamKind::Plain, 2, ReplicaState::Draining);
    bench.post(CallFailed { id, send.attempt, true, "the connection ended" });
    CHECK(bench.effects<ReportCrashes>().empty());
}
