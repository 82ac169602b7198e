/** \file
 * The decisions of a gateway that calls upstreams itself, one event at a time and without a network.
 */
#include "ForwardBench.h"

using namespace wrenhinge;
using namespace wrenhinge::forward;
using namespace wrenhinge::bench;

TEST_CASE("before a document is known requests are refused as not run, never as unknown")
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

TEST_CASE("a request that comes just before the document is served by it")
{
    // Symptom: after a restart of the whole site callers are told to come back though the gateway could serve them 0.2 s later,
    // and come back too late for their target. Cause: every request before the document was refused at once.
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

TEST_CASE("a request that waits is served by a document that nobody confirms once that is used")
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

TEST_CASE("a document that nobody confirms is used after a while, and an older one never replaces a newer one")
{
    // Symptom: a gateway that has just started serves by routes that were removed. Sequence: it links to a controller that was
    // cut off first, and takes its document for the newest.
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

TEST_CASE("a host and path without a route is unknown")
{
    Bench bench;
    bench.serve().replica("a");
    bench.submit("/nowhere/");
    CHECK(bench.only<Refuse>().error.code == ResultCode::UnknownService);
}

TEST_CASE("a call that may have run and may not be repeated is answered as failed, and never sent again")
{
    // Symptom: an escort is sent twice. Sequence: the replica runs the call and its answer is lost with the connection.
    Bench bench;
    bench.serve().replica("a").replica("b");
    bench.submit("/once/x");
    auto send = bench.only<Send>();
    bench.post(CallFailed { send.id, send.attempt, true, "reset" });
    CHECK(bench.effects<Send>().empty());
    CHECK(httpStatusOf(bench.only<Refuse>().error.code) == 502);
    CHECK(!bench.only<Refuse>().error.retryAfter);
}

TEST_CASE("a call that surely did not run goes to another replica")
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

TEST_CASE("a replica whose address belongs to another one now is forgotten")
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
    // Symptom: a caller that was told "not run" sends again, and the request runs twice. Sequence: one replica breaks off, the
    // next one refuses, and only the last outcome is looked at.
    Bench bench;
    bench.serve().replica("a").replica("b");
    bench.submit("/often/x");
    auto first = bench.only<Send>();
    bench.post(CallFailed { first.id, first.attempt, true, "reset" });
    bench.answer(bench.only<Send>(), 503, true);
    CHECK(httpStatusOf(bench.only<Refuse>().error.code) == 502);
}

TEST_CASE("an idempotent call that failed is repeated within the route's attempts, and a late answer of the first is dropped")
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

TEST_CASE("a replica is told no more time than the caller has left")
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

TEST_CASE("a draining or ended replica gets no new work, and a late announcement does not bring it back")
{
    Bench bench;
    bench.serve().replica("a").replica("b");
    bench.replica("a", UpstreamKind::Plain, 5, ReplicaState::Draining).replica("a", UpstreamKind::Plain, 4);
    bench.post(ReplicaWithdrawn { "b" });
    bench.replica("b", UpstreamKind::Plain, 9);
    bench.submit("/once/x");
    CHECK(bench.only<Refuse>().error.code == ResultCode::NoUpstream);
}

TEST_CASE("a caller that leaves releases the call, the place and the prompt")
{
    Bench bench;
    bench.serve().replica("d", UpstreamKind::Decode).replica("p", UpstreamKind::Prefill);
    SUBCASE("while the place is asked for")
    {
        auto id = bench.submit("/stream/x");
        bench.post(CallerDisconnected { id });
        CHECK(bench.effects<CancelCall>().size() == 1);
    }
    SUBCASE("while the prompt is read")
    {
        auto id = bench.submit("/stream/x");
        auto take = bench.only<ReserveAtReplica>();
        bench.post(ReservationGranted { take.id, take.attempt, "place-1" });
        bench.post(CallerDisconnected { id });
        CHECK(bench.effects<CancelCall>().size() == 1);
        CHECK(bench.only<ReleaseReservation>().reservation.id == "place-1");
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

TEST_CASE("a request to an engine has a place first, then its prompt read, then runs with both")
{
    Bench bench;
    bench.serve().replica("d", UpstreamKind::Decode).replica("p", UpstreamKind::Prefill);
    auto id = bench.submit("/stream/x");
    CHECK(bench.only<ReserveAtReplica>().tokens == 5000 + 1.3 * 400);
    auto send = bench.run(id);
    CHECK(send.replica.id == "d");
    CHECK(send.reservation == "place-1");
    REQUIRE(send.source);
    CHECK(send.source->address == "p:80");
    CHECK(send.source->handle == "kv-1");
}

TEST_CASE("without a sound prefill replica the decode replica reads the prompt itself")
{
    Bench bench;
    bench.serve().replica("d", UpstreamKind::Decode).replica("p", UpstreamKind::Prefill);
    bench.submit("/stream/x");
    auto take = bench.only<ReserveAtReplica>();
    bench.post(ReservationGranted { take.id, take.attempt, "place-1" });
    auto prefill = bench.only<Send>();
    bench.post(CallFailed { prefill.id, prefill.attempt, true, "reset" });
    auto send = bench.only<Send>();
    CHECK(send.replica.id == "d");
    CHECK(!send.source);
    CHECK(send.reservation == "place-1");
}

TEST_CASE("a prefill that surely was not accepted is asked of another replica, one that may have been is not")
{
    // Symptom: streams pause at decode replicas while a prefill replica is dark, though others have time. Sequence: the connection
    // to the dark one is not made, and the decode replica is sent the prompt to read. Cause: no other prefill replica was asked.
    enum class Answer { NoConnection, StatedNotRun, Lost };
    for (auto answer : { Answer::NoConnection, Answer::StatedNotRun, Answer::Lost }) {
        Bench bench;
        bench.serve().replica("d", UpstreamKind::Decode).replica("p", UpstreamKind::Prefill).replica("q", UpstreamKind::Prefill);
        auto id = bench.submit("/stream/x");
        auto take = bench.only<ReserveAtReplica>();
        bench.post(ReservationGranted { id, take.attempt, "place-1" });
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
        CHECK(bench.only<Send>().reservation == "place-1");
    }
}

TEST_CASE("each prefill that is refused takes from the retry budget, whether or not another one follows")
{
    // Symptom: more calls beyond the first reach a service than the site's bound allows. Sequence: replicas have changed their stage
    // unnoticed, and refuse prompts, two for each request. Cause: only the second prefill was taken from the budget, so that two refusals
    // cost one, and one cost nothing once the budget was used up.
    Bench bench;
    bench.serve().replica("d", UpstreamKind::Decode).replica("p", UpstreamKind::Prefill).replica("q", UpstreamKind::Prefill);
    auto left = [&bench] { return bench.logic().retryBudget(bench.now).at("engine"); };
    auto id = bench.submit("/stream/x");
    auto whole = left();
    bench.post(ReservationGranted { id, bench.only<ReserveAtReplica>().attempt, "place-1" });
    bench.post(PrefillFailed { id, bench.only<Send>().attempt, true, true });
    CHECK(left() == whole - 1);
    REQUIRE(bench.only<Send>().isPrefill);
    bench.post(PrefillFailed { id, bench.only<Send>().attempt, true, true });
    CHECK(left() == whole - 2);
    CHECK(!bench.only<Send>().isPrefill);
}

TEST_CASE("a prompt that was read stays of use when the decode replica turns out to be another one")
{
    // Symptom: after a restart prompts are read twice. Sequence: a decode replica crashed and another run came at its address, which sets
    // a place aside without looking whom the call means, and refuses the run. Cause: the KV cache was taken for spent.
    for (bool isReached : { true, false }) {
        Bench bench;
        bench.serve().replica("d", UpstreamKind::Decode).replica("p", UpstreamKind::Prefill);
        auto id = bench.submit("/stream/x");
        auto first = bench.run(id);
        REQUIRE(first.source);
        bench.replica("e", UpstreamKind::Decode);
        if (isReached) {
            AnswerMetadata facts;
            facts.status = 421;
            facts.wasNotRun = facts.isMisdirected = true;
            bench.post(AnswerHead { id, first.attempt, facts, {} });
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
    // Symptom: a service whose only engine does both is refused as if no replica were there. Cause: the one that was asked to read the
    // prompt was left out when the run was placed.
    Bench bench;
    auto both = document(1);
    both.services[0].isEngine = true;
    both.services[0].engine = { 64, 60000, 0s, 500ms, 0s };
    bench.post(DocumentReceived { both, true });
    bench.post(RegistryHeartbeat { {}, 1 });
    bench.replica("r1");
    RequestId id { PeerId(1), 77 };
    RequestMetadata submit;
    submit.host = "desk.example";
    submit.path = "/once/x";
    submit.promptTokens = 500;
    bench.post(Submit { id, submit });
    auto read = bench.only<Send>();
    REQUIRE(read.isPrefill);
    bench.post(PrefillFinished { id, read.attempt, "kv-1" });
    CHECK(!bench.only<Send>().isPrefill);
    CHECK(bench.only<Send>().replica.id == "r1");
}

TEST_CASE("a prefill replica that falls silent does not hold the request beyond its target")
{
    // Symptom: a first event after 2.7 s though nothing was full. Sequence: the prefill replica goes dark with the prompt.
    Bench bench;
    bench.serve().replica("d", UpstreamKind::Decode).replica("p", UpstreamKind::Prefill);
    bench.submit("/stream/x");
    auto take = bench.only<ReserveAtReplica>();
    bench.post(ReservationGranted { take.id, take.attempt, "place-1" });
    auto prefill = bench.only<Send>();
    bench.wait(650ms);
    CHECK(bench.only<CancelCall>().attempt == prefill.attempt);
    auto send = bench.only<Send>();
    CHECK(send.reservation == "place-1");
    CHECK(!send.isPrefill);
}

TEST_CASE("a decode replica that does not say whether it has a place is left for another one")
{
    // Symptom: a caller gives up after 3.6 s without a word, and its request reached no replica. Sequence: the replica goes dark
    // while a kept connection to it stays open, and is asked for a place over that. Cause: the question had no time limit.
    Bench bench;
    bench.serve().replica("d", UpstreamKind::Decode).replica("e", UpstreamKind::Decode);
    bench.submit("/stream/x");
    auto first = bench.only<ReserveAtReplica>();
    bench.wait(130ms);
    CHECK((bench.only<CancelCall>().attempt == first.attempt));
    auto second = bench.only<ReserveAtReplica>();
    CHECK((second.replica != first.replica));
    bench.post(ReservationGranted { second.id, second.attempt, "place-1" });
    CHECK((bench.only<Send>().replica == second.replica));
}

TEST_CASE("no place in time: the caller is told when to come back, and nothing was sent")
{
    Bench bench;
    bench.serve().replica("d", UpstreamKind::Decode);
    bench.submit("/stream/x");
    for (int i = 0; i < 30 && bench.effects<Refuse>().empty(); ++i) {
        for (const auto& take : bench.effects<ReserveAtReplica>())
            bench.post(ReservationRefused { take.id, take.attempt, true });
        CHECK(bench.effects<Send>().empty());
        bench.wait(40ms);
    }
    auto refuse = bench.only<Refuse>();
    CHECK(httpStatusOf(refuse.error.code) == 503);
    REQUIRE(refuse.error.retryAfter);
    CHECK(*refuse.error.retryAfter >= 1s);
    CHECK(bench.now - start < 900ms);
    CHECK(bench.logic().requests() == 0);
}

TEST_CASE("a place that comes free goes to a request that can be in time before one that has come back late")
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
    auto takes = bench.effects<ReserveAtReplica>();
    REQUIRE(takes.size() == 3);
    CHECK((takes[0].id == first.id));
    CHECK((takes[1].id == fresh));
    CHECK((takes[2].id == late));
}

TEST_CASE("a stream is passed on in whole events, and breaks off if it can't be finished")
{
    // Symptom: a client's parser fails on half an event. Sequence: the replica crashes inside one.
    Bench bench;
    bench.serve().replica("d", UpstreamKind::Decode);
    auto id = bench.submit("/stream/x");
    auto take = bench.only<ReserveAtReplica>();
    bench.post(ReservationGranted { take.id, take.attempt, "place-1" });
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

TEST_CASE("a resumable stream goes on at another replica after its last whole event, and repeats none")
{
    Bench bench;
    bench.serve().replica("d", UpstreamKind::Decode).replica("e", UpstreamKind::Decode);
    auto id = bench.submit("/resumable/x");
    auto take = bench.only<ReserveAtReplica>();
    bench.post(ReservationGranted { take.id, take.attempt, "place-1" });
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

TEST_CASE("a resend copies what the prefill replica still keeps of the prompt, as long as that one is sound")
{
    // Symptom: streams at a decode replica pause for 0.3 s and more. Sequence: a replica crashes, its resumable streams go on at
    // another one, which reads all their prompts anew between the tokens of its own streams. Cause: the replica that had read the
    // prompt still keeps it in its cache, and was not asked.
    for (bool isReaderThere : { true, false }) {
        Bench bench;
        bench.serve().replica("d", UpstreamKind::Decode).replica("e", UpstreamKind::Decode).replica("p", UpstreamKind::Prefill);
        auto id = bench.submit("/resumable/x");
        auto first = bench.run(id);
        CHECK(first.cacheAddress.empty());
        if (!isReaderThere)
            bench.post(ReplicaWithdrawn { "p" });
        bench.post(CallFailed { id, first.attempt, true, "reset" });
        auto second = bench.only<Send>();
        CHECK(!second.source);
        CHECK(second.cacheAddress == (isReaderThere ? "p:80" : ""));
    }
}

TEST_CASE("a request whose replicas can't be reached did not run, and costs no resend when there is no other replica")
{
    Bench bench;
    bench.serve().replica("a");
    bench.submit("/often/x");
    auto send = bench.only<Send>();
    bench.post(CallFailed { send.id, send.attempt, false, "refused" });
    CHECK(bench.only<Refuse>().error.code == ResultCode::NoUpstream);
    CHECK(bench.only<Refuse>().error.retryAfter);
    // All of what a gateway may use in its first window: 0.4 of a slack of 60, and of 0.2 for the one request.
    CHECK(bench.logic().retryBudget(bench.now).at("plain") > 24);
}

TEST_CASE("a replica is never sent more calls than this gateway's share of its connections")
{
    // Symptom: requests are reset that no replica ever read. Sequence: a slow replica gathers calls of all gateways, until it accepts no
    // more connections. Cause: each gateway opened as many as it liked.
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
    // Fewer gateways, larger shares, once no others can be left that go by the former number.
    bench.post(RegistryHeartbeat { {}, 1 });
    bench.submit("/once/x");
    CHECK(bench.effects<Send>().empty());
    bench.now += 11s;
    bench.post(RegistryHeartbeat { {}, 1 });
    bench.submit("/once/x");
    CHECK(bench.effects<Send>().size() == 1);
}

TEST_CASE("a resend that the budget does not allow is not made")
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

/// Has a gateway serve a number of streams that last so long.
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

} // namespace

TEST_CASE("a gateway that stops refuses at once a stream that might be cut, and names no other way than another gateway")
{
    // Symptom: callers of streams get neither an answer nor a refusal around a planned stop. Sequence: the gateway is told to stop, a
    // stream comes in the seconds in which callers are still sent to it, lasts longer than the process, and is cut.
    Bench bench;
    bench.serve().replica("p", UpstreamKind::Prefill).replica("d", UpstreamKind::Decode).replica("a");
    bench.post(Stop { bench.now + stopLimit });
    bench.submit("/stream/x", 14s);
    auto refusal = bench.only<Refuse>();
    CHECK(refusal.error.code == ResultCode::Draining);
    CHECK(httpStatusOf(refusal.error.code) == 503);
    REQUIRE(refusal.error.retryAfter);
    CHECK(*refusal.error.retryAfter <= 10ms);
    // What ends in time whatever happens, or is no stream, is served.
    bench.submit("/stream/x", 7s);
    CHECK(bench.effects<ReserveAtReplica>().size() == 1);
    bench.submit("/once/x");
    CHECK(bench.effects<Send>().size() == 1);
}

TEST_CASE("a gateway that stops serves the streams that hardly ever last longer than it")
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

TEST_CASE("a caller with less patience than others is refused like them if its stream might be cut")
{
    // Symptom: streams that begin in the seconds after the signal to stop are cut 5 to 7 s later. Sequence: callers' patience at their
    // first attempt differs by 15%, 11.9 to 14 s; nine in ten bring 30 ms less than the most. Cause: the difference was taken for that of a
    // caller which another stopping gateway had refused, and such a one was served unless its stream was more likely cut than not.
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

TEST_CASE("callers that differ in patience at their first attempt wait for a place alike; one that has come back goes behind")
{
    // Symptom: two in three generations that come while all decode replicas are full are refused after 150 ms, the others wait for 0.6 s.
    // Sequence: callers' patience differs by 15%. Cause: each that brought less than the most was taken for one that had come back.
    Bench bench;
    bench.serve().replica("p", UpstreamKind::Prefill).replica("d", UpstreamKind::Decode);
    bench.run(bench.submit("/stream/x", 14s));
    auto isRefusedAfter = [&bench](Duration callerTimeout, Duration wait) {
        bench.submit("/stream/x", callerTimeout);
        auto take = bench.only<ReserveAtReplica>();
        bench.post(ReservationRefused { take.id, take.attempt, true });
        bench.wait(wait);
        bool isRefused = !bench.effects<Refuse>().empty();
        bench.post(CallerDisconnected { take.id });
        return isRefused;
    };
    for (Duration callerTimeout : { Duration(13900ms), Duration(12900ms), Duration(11900ms) })
        CHECK(!isRefusedAfter(callerTimeout, 200ms));
    CHECK(isRefusedAfter(14s - ForwardLogic::minOverloadRetryAfter, 200ms));
}

TEST_CASE("a caller that has made a new connection is not taken for one that has come back")
{
    // Symptom: a stream that began after the signal to stop is cut 7 s later. Sequence: its caller has spent the round trip of a new
    // connection, others on the route came over kept ones. Cause: the difference was taken for that of a caller refused elsewhere.
    Bench bench;
    bench.serve().replica("p", UpstreamKind::Prefill).replica("d", UpstreamKind::Decode);
    bench.post(Stop { bench.now + stopLimit });
    bench.submit("/stream/x", 14s);
    CHECK(bench.only<Refuse>().error.code == ResultCode::Draining);
    bench.submit("/stream/x", 14s - 12ms);
    CHECK(bench.only<Refuse>().error.code == ResultCode::Draining);
}

TEST_CASE("streams that wait for a place when the gateway is told to stop are refused as well")
{
    Bench bench;
    bench.serve().replica("p", UpstreamKind::Prefill).replica("d", UpstreamKind::Decode);
    bench.submit("/stream/x", 14s);
    auto take = bench.only<ReserveAtReplica>();
    bench.post(ReservationRefused { take.id, take.attempt, true });
    CHECK(bench.effects<Refuse>().empty());
    bench.post(Stop { bench.now + stopLimit });
    CHECK((bench.only<Refuse>().id == take.id));
    CHECK(bench.only<Refuse>().error.code == ResultCode::Draining);
}

TEST_CASE("a shorter timeout of the route does not make callers look as if they had come back")
{
    // Symptom: after a change that shortens a route's timeout all its requests go behind those of others, as if they were late.
    // Cause: what a caller brings was taken to be what the route allows it.
    Bench bench;
    bench.serve().replica("p", UpstreamKind::Prefill).replica("d", UpstreamKind::Decode);
    bench.run(bench.submit("/stream/x", 14s));
    auto shorter = document(2);
    for (auto& route : shorter.routes)
        route.timeout = 10s;
    bench.post(DocumentReceived { shorter, true });
    bench.submit("/stream/x", 14s);
    auto take = bench.only<ReserveAtReplica>();
    bench.post(ReservationRefused { take.id, take.attempt, true });
    bench.wait(200ms);
    CHECK(bench.effects<Refuse>().empty());
}

// --- Sidecars beside engines ------------------------------------------------------------------------------------

TEST_CASE("a request reserves at the sidecar of an engine, and the sidecar hears of its end")
{
    Bench bench;
    bench.serve().replica("p", UpstreamKind::Prefill).replica("d", UpstreamKind::Decode);
    constexpr PeerId besideDecode { 5 };
    constexpr PeerId besidePrefill { 6 };
    bench.post(EngineCapacityReported { "d:80", { besideDecode, 60000, 0 } });
    bench.post(EngineCapacityReported { "p:80", { besidePrefill, 0, 0 } });
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
    CHECK(send.reservation.empty()); // The engine knows nothing of it.
    bench.streamHead(send);
    bench.post(AnswerBody { send.id, send.attempt, "id: 1\ndata: a\n\n" });
    bench.post(AnswerEnd { send.id, send.attempt });
    CHECK((bench.only<EndSidecarReservation>().sidecar == besideDecode));
    CHECK(bench.only<EndSidecarReservation>().isComplete);
}

TEST_CASE("a reservation is given back whatever becomes of its request")
{
    for (bool isGranted : { false, true }) {
        Bench bench;
        bench.serve().replica("p", UpstreamKind::Prefill).replica("d", UpstreamKind::Decode);
        bench.post(EngineCapacityReported { "d:80", { PeerId(5), 60000, 0 } });
        auto id = bench.submit("/stream/x");
        if (isGranted)
            bench.post(SidecarReservationReply { id, bench.only<ReserveAtSidecar>().attempt, true, 50000 });
        bench.post(CallerDisconnected { id });
        CHECK((bench.only<EndSidecarReservation>().id == id));
        CHECK(!bench.only<EndSidecarReservation>().isComplete);
        CHECK(bench.effects<ReleaseReservation>().empty());
    }
}

TEST_CASE("a gateway asks an engine with room, waits while none has any, and goes on without sidecars")
{
    Bench bench;
    bench.serve().replica("d", UpstreamKind::Decode).replica("e", UpstreamKind::Decode);
    bench.post(EngineCapacityReported { "d:80", { PeerId(5), 4000, 0 } });
    bench.post(EngineCapacityReported { "e:80", { PeerId(6), 30000, 0 } });
    bench.submit("/stream/x");
    CHECK((bench.only<ReserveAtSidecar>().sidecar == PeerId(6)));
    // The sidecar refuses: another gateway was there first. No room anywhere, so the request waits until there is some.
    bench.post(SidecarReservationReply { bench.only<ReserveAtSidecar>().id, bench.only<ReserveAtSidecar>().attempt, false, 0 });
    CHECK(bench.effects<ReserveAtSidecar>().empty());
    bench.wait(100ms);
    CHECK(bench.effects<ReserveAtSidecar>().empty());
    bench.post(EngineCapacityReported { "d:80", { PeerId(5), 20000, 0 } });
    CHECK((bench.only<ReserveAtSidecar>().sidecar == PeerId(5)));
    // A sidecar that does not answer is left alone, and one that is gone leaves its engine to be asked itself.
    bench.post(PeerDisconnected { PeerId(6) });
    bench.wait(121ms);
    CHECK(bench.effects<EndSidecarReservation>().size() == 1);
    CHECK(bench.only<ReserveAtReplica>().replica.id == "e");
}

TEST_CASE("of prefill replicas the one with the shortest backlog is chosen, whoever has sent there")
{
    // Symptom: first events come 0.7 s late. Sequence: eight gateways send one prompt each at a time; each takes the nearest replica, where
    // 20 prompts wait beside one with 2. Cause: each knew only what it had sent itself.
    Bench bench;
    bench.serve().replica("p", UpstreamKind::Prefill).replica("q", UpstreamKind::Prefill).replica("d", UpstreamKind::Decode);
    std::map<std::string, int> chosen;
    for (int i = 0; i < 10; ++i) {
        bench.post(EngineCapacityReported { "p:80", { PeerId(5), 0, 50000 } });
        bench.post(EngineCapacityReported { "q:80", { PeerId(6), 0, 5000 } });
        auto take = [&] {
            bench.submit("/stream/x");
            return bench.only<ReserveAtReplica>();
        }();
        bench.post(ReservationGranted { take.id, take.attempt, "place" });
        ++chosen[bench.only<Send>().replica.id];
    }
    CHECK(chosen["q"] == 10);
}

// --- Replicas that start again under their id -------------------------------------------------------------------

TEST_CASE("what was taken, read or asked for at a former run is given up at once, and nothing is given back to the newer one")
{
    // Symptom: requests wait for places and prompts that nobody holds, and places of others are dropped. Sequence: an engine crashes and
    // starts again under its id and address, knows nothing of the places and prompts that its former run held, and gives out the same
    // names anew. Cause: the gateway went on by the id.
    Bench bench;
    bench.serve().restart("d", UpstreamKind::Decode).restart("p", UpstreamKind::Prefill).restart("q", UpstreamKind::Prefill);
    auto id = bench.submit("/stream/x");
    auto take = bench.only<ReserveAtReplica>();
    SUBCASE("a place that is asked for is asked for again, and the late answer is dropped")
    {
        bench.restart("d", UpstreamKind::Decode);
        CHECK((bench.only<CancelCall>().attempt == take.attempt));
        auto again = bench.only<ReserveAtReplica>();
        CHECK(again.replica.id == "d");
        CHECK(take.replica.isBefore(again.replica));
        bench.post(ReservationGranted { id, take.attempt, "late" });
        CHECK(bench.effects<Send>().empty());
        bench.post(ReservationGranted { id, again.attempt, "place-2" });
        CHECK(bench.only<Send>().isPrefill);
    }
    SUBCASE("a place that was taken is not used, nor dropped at the newer run")
    {
        bench.post(ReservationGranted { id, take.attempt, "place-1" });
        auto read = bench.only<Send>();
        bench.restart("d", UpstreamKind::Decode);
        CHECK(bench.effects<ReleaseReservation>().empty());
        CHECK(bench.effects<CancelCall>().empty());
        bench.post(PrefillFinished { id, read.attempt, "kv-1" });
        auto run = bench.only<Send>();
        CHECK(run.reservation.empty());
        REQUIRE(run.source);
        CHECK(run.source->handle == "kv-1");
        CHECK(take.replica.isBefore(run.replica));
    }
    SUBCASE("a place that was taken is not dropped when the caller leaves")
    {
        bench.post(ReservationGranted { id, take.attempt, "place-1" });
        bench.restart("d", UpstreamKind::Decode);
        bench.post(CallerDisconnected { id });
        CHECK(bench.effects<ReleaseReservation>().empty());
        CHECK(bench.knowsOnlyPresentRuns());
    }
    SUBCASE("a prompt that is being read is read elsewhere, also where a request may run once only, and the late handle is dropped")
    {
        bench.post(ReservationGranted { id, take.attempt, "place-1" });
        auto read = bench.only<Send>();
        auto left = bench.logic().retryBudget(bench.now).at("engine");
        bench.restart(read.replica.id, UpstreamKind::Prefill);
        CHECK((bench.only<CancelCall>().attempt == read.attempt));
        auto again = bench.only<Send>();
        CHECK(again.isPrefill);
        CHECK((again.replica != read.replica));
        CHECK(bench.logic().retryBudget(bench.now).at("engine") == left - 1);
        bench.post(PrefillFinished { id, read.attempt, "late" });
        CHECK(bench.effects<Send>().empty());
        bench.post(PrefillFinished { id, again.attempt, "kv-2" });
        auto run = bench.only<Send>();
        CHECK(run.reservation == "place-1");
        CHECK(run.source->handle == "kv-2");
        // It has not run yet: a refusal may say so.
        bench.answer(run, 503, true);
        CHECK(httpStatusOf(bench.only<Refuse>().error.code) == 503);
    }
    for (const auto& [run, load] : bench.logic().replicas().loads())
        CHECK(load.calls <= 1);
}

TEST_CASE("a prompt whose KV cache went with its replica is read again before the request is sent once more")
{
    // Symptom: streams at a decode replica pause while it reads a prompt itself. Sequence: a prefill replica has read the prompt, crashes
    // before the decode replica has fetched it, and starts again; the decode replica states that it did not run the request.
    Bench bench;
    bench.serve().restart("d", UpstreamKind::Decode).restart("e", UpstreamKind::Decode);
    bench.restart("p", UpstreamKind::Prefill).restart("q", UpstreamKind::Prefill);
    auto id = bench.submit("/stream/x");
    auto first = bench.run(id);
    REQUIRE(first.source);
    bench.restart(first.source->replica.id, UpstreamKind::Prefill);
    // It may have been fetched by then: the call goes on.
    CHECK(bench.effects<CancelCall>().empty());
    SUBCASE("not run")
    {
        bench.answer(first, 503, true);
        auto read = bench.only<Send>();
        CHECK(read.isPrefill);
        CHECK((read.replica != first.source->replica));
        bench.post(PrefillFinished { id, read.attempt, "kv-2" });
        auto second = bench.only<Send>();
        CHECK((second.replica != first.replica));
        CHECK(second.source->handle == "kv-2");
        CHECK(second.cacheAddress.empty());
        bench.answer(second, 503, true);
        CHECK(httpStatusOf(bench.only<Refuse>().error.code) == 503);
    }
    SUBCASE("not reached: the former run's handle is not named again")
    {
        bench.post(CallFailed { id, first.attempt, false, "refused" });
        CHECK(bench.only<Send>().isPrefill);
    }
    SUBCASE("fetched in time: nothing is read twice")
    {
        bench.streamHead(first);
        bench.post(AnswerBody { id, first.attempt, "id: 1\ndata: a\n\n" });
        bench.post(AnswerEnd { id, first.attempt });
        CHECK(bench.effects<EndStream>().size() == 1);
        CHECK(bench.effects<Send>().empty());
    }
}

TEST_CASE("without budget for another prefill the decode replica reads the prompt itself")
{
    Bench bench;
    bench.serve().restart("d", UpstreamKind::Decode).restart("p", UpstreamKind::Prefill).restart("q", UpstreamKind::Prefill);
    auto id = bench.submit("/stream/x");
    auto take = bench.only<ReserveAtReplica>();
    bench.post(ReservationGranted { id, take.attempt, "place-1" });
    bool wasReadAgain = true;
    while (wasReadAgain) {
        auto read = bench.only<Send>();
        bench.restart(read.replica.id, UpstreamKind::Prefill);
        wasReadAgain = bench.only<Send>().isPrefill;
    }
    CHECK(bench.only<Send>().reservation == "place-1");
    CHECK(!bench.only<Send>().source);
    CHECK(bench.logic().retryBudget(bench.now).at("engine") < 1);
}

TEST_CASE("a call that runs at a former run ends by itself, and is never said not to have run")
{
    // Symptom: a request runs twice, or is refused as not run though it may have. Sequence: its replica crashes while it runs, and starts
    // again before the connection's reset arrives.
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
    SUBCASE("idempotent: goes to the newer run, within the route's attempts")
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
    SUBCASE("an answer that was on its way is passed on")
    {
        bench.submit("/once/x");
        auto send = bench.only<Send>();
        bench.restart("a");
        bench.answer(send, 200);
        CHECK(bench.only<Reply>().status == 200);
    }
    SUBCASE("an answer that the call was meant for another replica ends the former run only")
    {
        bench.submit("/once/x");
        auto send = bench.only<Send>();
        bench.restart("a");
        bench.answer(send, 421, true, true);
        CHECK(send.replica.isBefore(bench.only<Send>().replica));
    }
    CHECK(bench.knowsOnlyPresentRuns());
}

TEST_CASE("kept connections and KV copies of a former run are not used")
{
    Bench bench;
    bench.serve().restart("d", UpstreamKind::Decode).restart("e", UpstreamKind::Decode).restart("p", UpstreamKind::Prefill);
    auto id = bench.submit("/resumable/x");
    auto first = bench.run(id);
    auto reader = first.source->replica;
    bench.restart("p", UpstreamKind::Prefill);
    CHECK((bench.only<DropConnections>().replica == reader));
    CHECK(bench.effects<LogEvent>().front().code == EventCode::UpstreamRestarted);
    bench.streamHead(first);
    bench.post(AnswerBody { id, first.attempt, "id: 1\ndata: a\n\n" });
    bench.post(CallFailed { id, first.attempt, true, "reset" });
    auto second = bench.only<Send>();
    CHECK(!second.isPrefill);
    CHECK(second.cacheAddress.empty());
}

TEST_CASE("a replica that has left and started again takes work, and what its former run says late changes nothing")
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

// --- Replicas that nobody has heard of lately -------------------------------------------------------------------

TEST_CASE("prefills at replicas that nobody has heard of lately stay within the retry budget")
{
    // Symptom: after a loss of a whole large site 1,612 calls beyond the first reach the engines in 10 s, where 899 are allowed. Sequence:
    // gateways start and use the replicas that they remember; many of these have started again under other ids and answer that they are
    // not meant. Cause: a prefill that is refused counts as a call beyond the first, and each request's first one was sent whatever
    // was left of the budget.
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
        bench.post(RelayedAnnouncement { announcement, ReplicaRegistry::overdueAfter + 100ms });
    }
    auto allowed = bench.logic().retryBudget(bench.now)["engine"];
    int refused = 0;
    for (int i = 0; i < 100; ++i) {
        bench.submit("/stream/x");
        auto take = bench.only<ReserveAtReplica>();
        bench.post(ReservationGranted { take.id, take.attempt, "place-1" });
        allowed = std::max(allowed, bench.logic().retryBudget(bench.now)["engine"] + refused);
        while (bench.only<Send>().isPrefill) {
            ++refused;
            auto prefill = bench.only<Send>();
            bench.post(PrefillFailed { prefill.id, prefill.attempt, true, true });
        }
        bench.post(CallerDisconnected { take.id });
    }
    CHECK(refused > 0);
    CHECK(refused <= allowed);
    // One that was heard of reads prompts all the same.
    bench.replica("heard", UpstreamKind::Prefill);
    bench.submit("/stream/x");
    auto take = bench.only<ReserveAtReplica>();
    bench.post(ReservationGranted { take.id, take.attempt, "place-1" });
    CHECK(bench.only<Send>().isPrefill);
    CHECK(bench.only<Send>().replica.id == "heard");
}

// --- Requests that crash replicas -------------------------------------------------------------------------------

namespace {

constexpr RequestFingerprint crashing { 7 };

/// What a controller tells of a request under which so many replicas have ended, a second apart.
CrashesReported told(int crashes, Duration newest = 1s)
{
    CrashesReported event;
    for (int i = 0; i < crashes; ++i)
        event.report.crashes.push_back({ crashing, "gone-" + std::to_string(i), {}, newest + i * 1s, 100ms });
    return event;
}

} // namespace

TEST_CASE("a gateway tells of each replica that ends under a request, and refuses the request after three")
{
    // Symptom: a request ends replica after replica and cuts off all that runs there. Sequence: the replica's connection ends, the caller
    // gets 502 and sends the request again. Cause: a gateway forgot the request with its answer, so each one was a new request.
    Bench bench;
    bench.serve().replica("a").replica("b").replica("c").replica("d");
    for (int i = 0; i < 3; ++i) {
        auto id = bench.submit("/once/x", {}, crashing);
        auto send = bench.only<Send>();
        bench.now += 100ms;
        bench.post(CallFailed { id, send.attempt, true, "the connection ended" });
        auto tell = bench.only<ReportCrashes>();
        CHECK(!tell.controller);
        REQUIRE(tell.report.crashes.size() == 1);
        CHECK((tell.report.crashes[0].request == crashing));
        CHECK((tell.report.crashes[0].run() == send.replica));
        CHECK(tell.report.crashes[0].ranFor == 100ms);
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
    bench.submit("/once/x", {}, RequestFingerprint(8));
    CHECK(bench.effects<Send>().size() == 1);
    CHECK(bench.finished() == 4);
}

TEST_CASE("a request that others have seen end three replicas is refused here, with nothing sent to any")
{
    Bench bench;
    bench.serve().replica("d", UpstreamKind::Decode).replica("p", UpstreamKind::Prefill).replica("a");
    bench.post(told(2));
    bench.submit("/once/x", {}, crashing);
    CHECK(bench.effects<Send>().size() == 1);
    bench.post(told(3));
    CHECK(bench.effects<LogEvent>().back().code == EventCode::RequestCrashesReplicas);
    bench.submit("/stream/x", {}, crashing);
    CHECK(bench.effects<Send>().empty());
    CHECK(bench.effects<ReserveAtReplica>().empty());
    CHECK(bench.only<Refuse>().error.code == ResultCode::CrashesReplicas);
    // A controller that has just started is told what this gateway knows.
    bench.post(ControllerConnected { PeerId(5) });
    CHECK((bench.only<ReportCrashes>().controller == PeerId(5)));
    CHECK(bench.only<ReportCrashes>().report.crashes.size() == 3);
}

TEST_CASE("a request that waits for its place or its prompt ends at once when others like it have ended replicas")
{
    // Symptom: replicas end for some seconds after all gateways know the request. Sequence: several of it come at once and wait for a place
    // or a prefill; meanwhile a third replica ends. Cause: only new requests are refused.
    Bench bench;
    bench.serve().replica("d", UpstreamKind::Decode).replica("p", UpstreamKind::Prefill);
    SUBCASE("asks for a place")
    {
        bench.submit("/stream/x", {}, crashing);
        CHECK(bench.effects<ReserveAtReplica>().size() == 1);
    }
    SUBCASE("waits for one")
    {
        bench.submit("/stream/x", {}, crashing);
        auto take = bench.only<ReserveAtReplica>();
        bench.post(ReservationRefused { take.id, take.attempt, true });
    }
    SUBCASE("has its prompt read")
    {
        bench.submit("/stream/x", {}, crashing);
        auto take = bench.only<ReserveAtReplica>();
        bench.post(ReservationGranted { take.id, take.attempt, "place-1" });
        CHECK(bench.only<Send>().isPrefill);
    }
    bench.post(told(3));
    CHECK(bench.only<Refuse>().error.code == ResultCode::CrashesReplicas);
    CHECK(bench.effects<Send>().empty());
    CHECK(bench.finished() == 1);
    bench.wait(1s);
    CHECK(bench.effects<Send>().empty());
}

TEST_CASE("a stream is not taken over by another replica once three have ended under it")
{
    // Symptom: one request ends two replicas, as its route lets a stream go on elsewhere.
    Bench bench;
    bench.serve().replica("d", UpstreamKind::Decode).replica("e", UpstreamKind::Decode).replica("p", UpstreamKind::Prefill);
    bench.post(told(2));
    auto id = bench.submit("/resumable/x", {}, crashing);
    auto run = bench.run(id);
    SUBCASE("it has begun")
    {
        bench.streamHead(run);
        bench.post(AnswerBody { id, run.attempt, "id: 1\ndata: a\n\n" });
        bench.now += 100ms;
        bench.post(CallFailed { id, run.attempt, true, "the connection ended" });
        CHECK(bench.effects<AbortStream>().size() == 1);
    }
    SUBCASE("it has not")
    {
        bench.now += 100ms;
        bench.post(CallFailed { id, run.attempt, true, "the connection ended" });
        CHECK(bench.only<Refuse>().error.code == ResultCode::CrashesReplicas);
    }
    CHECK(bench.effects<Send>().empty());
    CHECK(bench.finished() == 1);
}

TEST_CASE("a whole answer is told, so that nobody refuses the request; a replica that leaves has not ended under it")
{
    Bench bench;
    bench.serve().replica("a").replica("b");
    bench.post(told(2));
    bench.submit("/once/x", {}, crashing);
    bench.now += 100ms;
    bench.answer(bench.only<Send>(), 200);
    auto tell = bench.only<ReportCrashes>();
    CHECK(tell.report.crashes.empty());
    REQUIRE(tell.report.served.size() == 1);
    CHECK((tell.report.served[0].request == crashing));
    auto id = bench.submit("/once/x", {}, crashing);
    auto send = bench.only<Send>();
    bench.replica(send.replica.id, UpstreamKind::Plain, 2, ReplicaState::Draining);
    bench.post(CallFailed { id, send.attempt, true, "the connection ended" });
    CHECK(bench.effects<ReportCrashes>().empty());
}
