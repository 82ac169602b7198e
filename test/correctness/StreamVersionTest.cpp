/** \file
 * Tests that a stream continues only at the software version that began it: the directory of streams, the gateway's decisions one event
 * at a time, and gateways, holders, replicas and callers together under random failures.
 */
#include "ForwardBench.h"
#include "StreamFleet.h"
#include "connection/MessageCheck.h"
#include "message/Codec.h"

#include <doctest/doctest.h>

using namespace wrenhinge;
using namespace wrenhinge::forward;
using namespace wrenhinge::bench;
using wrenhinge::test::StreamFleet;

namespace {

constexpr PeerId holder { 70 };
constexpr PeerId otherHolder { 71 };
const StreamOrigin origin { "engine", "v1" };

Bench& withReplicas(Bench& bench)
{
    return bench.serve()
        .replica("d1", UpstreamKind::Decode)
        .replica("d2", UpstreamKind::Decode, 1, ReplicaState::Ready, {}, "v2")
        .replica("d3", UpstreamKind::Decode, 1, ReplicaState::Ready, {}, "v2");
}

RequestId submit(Bench& bench, const std::string& callerId, std::optional<std::string> resumed = {})
{
    RequestMetadata request;
    request.callerRequestId = callerId;
    if (resumed)
        request.resumeAfter = 5;
    request.resumedRequest = std::move(resumed);
    return bench.submit("/resumable/x", 14s, {}, "", request);
}

/// The request gets its reservation. \returns the call that runs it.
Send reserve(Bench& bench)
{
    auto reserve = bench.only<ReserveAtReplica>();
    bench.post(ReservationGranted { reserve.id, reserve.attempt, "reservation-1" });
    return bench.only<Send>();
}

void sendEvent(Bench& bench, const Send& send, int n)
{
    if (n == 1)
        bench.streamHead(send);
    bench.post(AnswerBody { send.id, send.attempt, "id: " + std::to_string(n) + "\ndata: a\n\n" });
}

void connectHolders(Bench& bench)
{
    for (auto peer : { holder, otherHolder })
        bench.post(StreamHolderConnected { peer, Role::Controller, "zone-1" });
    bench.now += StreamDirectoryClient::settlingTime;
}

void checkFinalRefusal(Bench& bench)
{
    CHECK(bench.only<Refuse>().error.code == ResultCode::NotResumable);
    CHECK(httpStatusOf(bench.only<Refuse>().error.code) == 503);
    CHECK(!bench.only<Refuse>().error.retryAfter);
    CHECK(bench.effects<Send>().empty());
    CHECK(bench.effects<ReserveAtReplica>().empty());
}

} // namespace

TEST_CASE("a stream that its replica breaks off continues only at a replica of the same software version")
{
    bool hasOther = false;
    SUBCASE("there is one") { hasOther = true; }
    SUBCASE("there is none") { }
    Bench bench;
    withReplicas(bench);
    if (hasOther)
        bench.replica("d4", UpstreamKind::Decode);
    submit(bench, "q1");
    auto first = reserve(bench);
    auto version = first.replica.id == "d1" || first.replica.id == "d4" ? "v1" : "v2";
    sendEvent(bench, first, 1);
    bench.post(CallFailed { first.id, first.attempt, true, "reset" });
    if (version == std::string("v1") && !hasOther) {
        CHECK(bench.effects<Send>().empty());
        CHECK(bench.effects<AbortStream>().size() == 1);
        return;
    }
    auto second = bench.only<Send>().replica.id;
    CHECK((second == "d1" || second == "d4") == (version == std::string("v1")));
}

TEST_CASE("the events of a stream are held back until a holder has its record")
{
    Bench bench;
    withReplicas(bench);
    connectHolders(bench);
    submit(bench, "q1");
    auto send = reserve(bench);
    sendEvent(bench, send, 1);
    CHECK(bench.effects<SendStreamRecords>().size() == 2);
    CHECK(bench.effects<BeginStream>().empty());
    sendEvent(bench, send, 2);
    CHECK(bench.effects<StreamBytes>().empty());
    SUBCASE("it confirms that")
    {
        bench.post(StreamRecordsConfirmed { holder, { { streamIdOf("", "q1") } } });
        CHECK(bench.effects<BeginStream>().size() == 1);
        CHECK(bench.effects<StreamBytes>().size() == 2);
    }
    SUBCASE("none replies in time, and the next stream isn't delayed")
    {
        bench.wait(StreamDirectoryClient::recordTimeout);
        CHECK(bench.effects<BeginStream>().size() == 1);
        CHECK(bench.effects<StreamBytes>().size() == 2);
        submit(bench, "q2");
        sendEvent(bench, reserve(bench), 1);
        CHECK(bench.effects<StreamBytes>().size() == 1);
    }
    SUBCASE("the answer ends first")
    {
        bench.post(AnswerEnd { send.id, send.attempt });
        CHECK(bench.effects<StreamBytes>().size() == 2);
        CHECK(bench.effects<EndStream>().size() == 1);
    }
    SUBCASE("the caller leaves first")
    {
        bench.post(CallerDisconnected { send.id });
        bench.post(StreamRecordsConfirmed { holder, { { streamIdOf("", "q1") } } });
        CHECK(bench.effects<StreamBytes>().empty());
    }
}

TEST_CASE("a record is valid for its holders, whatever timeout a caller states and however late its first event is processed")
{
    // Guards against links to all holders that end because of one caller, or after a freeze.
    Bench bench;
    withReplicas(bench);
    connectHolders(bench);
    RequestMetadata request;
    request.callerRequestId = std::string(1u << 16, 'q');
    bool isLate = false;
    Duration timeout = longestSpan;
    SUBCASE("a timeout of years") { }
    SUBCASE("after a freeze")
    {
        isLate = true;
        timeout = 14s;
    }
    bench.submit("/resumable/x", timeout, {}, "", request);
    auto send = reserve(bench);
    bench.now += isLate ? Duration(60s) : Duration(0s);
    sendEvent(bench, send, 1);
    for (const auto& sent : bench.effects<SendStreamRecords>())
        CHECK(!faultOf(Message(sent.message)));
    CHECK(bench.effects<SendStreamRecords>().size() == 2);
}

TEST_CASE("a stream that its caller resumes continues at the version that a holder names")
{
    Bench bench;
    withReplicas(bench);
    connectHolders(bench);
    for (int i = 0; i < 20; ++i) {
        submit(bench, "q2", "q1");
        CHECK(bench.effects<SendStreamLookup>().size() == 2);
        CHECK(bench.effects<ReserveAtReplica>().empty());
        bench.post(StreamLookupReplied { otherHolder, { streamIdOf("", "q1"), StreamKnowledge::Unknown, {} } });
        CHECK(bench.effects<Refuse>().empty());
        bench.post(StreamLookupReplied { holder, { streamIdOf("", "q1"), StreamKnowledge::Known, origin } });
        auto send = reserve(bench);
        CHECK(send.replica.id == "d1");
        bench.post(CallerDisconnected { send.id });
    }
}

TEST_CASE("a stream that began here is resumed here without a lookup, also by an attempt that names the first one")
{
    Bench bench;
    withReplicas(bench);
    submit(bench, "q1");
    auto first = reserve(bench);
    sendEvent(bench, first, 1);
    bench.post(CallerDisconnected { first.id });
    for (const auto* attempt : { "q2", "q3" }) {
        submit(bench, attempt, "q1");
        auto again = reserve(bench);
        CHECK((again.replica.id == "d1") == (first.replica.id == "d1"));
        bench.post(CallerDisconnected { again.id });
    }
}

TEST_CASE("a stream that its caller resumes after the last event ends at once as complete")
{
    // Guards against taking the missing events for a failure: the run would be repeated, and the caller told that its stream failed.
    Bench bench;
    withReplicas(bench);
    submit(bench, "q1");
    auto first = reserve(bench);
    sendEvent(bench, first, 1);
    bench.post(CallerDisconnected { first.id });
    submit(bench, "q2", "q1");
    auto again = reserve(bench);
    bench.streamHead(again);
    bench.post(AnswerEnd { again.id, again.attempt });
    CHECK(bench.effects<BeginStream>().size() == 1);
    CHECK(bench.effects<EndStream>().size() == 1);
    CHECK(bench.effects<ReserveAtReplica>().empty());
}

TEST_CASE("a stream whose origin no process knows is refused at once")
{
    Bench bench;
    withReplicas(bench);
    SUBCASE("all holders say so: coming back doesn't help")
    {
        connectHolders(bench);
        submit(bench, "q2", "q1");
        for (auto peer : { holder, otherHolder })
            bench.post(StreamLookupReplied { peer, { streamIdOf("", "q1"), StreamKnowledge::Unknown, {} } });
        checkFinalRefusal(bench);
    }
    SUBCASE("a holder is lost before it replies: coming back may help")
    {
        connectHolders(bench);
        submit(bench, "q2", "q1");
        bench.post(StreamLookupReplied { holder, { streamIdOf("", "q1"), StreamKnowledge::Unknown, {} } });
        bench.post(PeerDisconnected { otherHolder });
        CHECK(bench.only<Refuse>().error.code == ResultCode::NotResumable);
        CHECK(bench.only<Refuse>().error.retryAfter);
    }
    SUBCASE("a holder doesn't reply in time")
    {
        connectHolders(bench);
        submit(bench, "q2", "q1");
        bench.wait(StreamDirectoryClient::lookupTimeout);
        CHECK(bench.only<Refuse>().error.retryAfter);
    }
    SUBCASE("two streams of its account have its id")
    {
        connectHolders(bench);
        submit(bench, "q2", "q1");
        bench.post(StreamLookupReplied { holder, { streamIdOf("", "q1"), StreamKnowledge::Ambiguous, {} } });
        checkFinalRefusal(bench);
    }
    SUBCASE("there is no holder")
    {
        connectHolders(bench);
        bench.post(PeerDisconnected { holder });
        bench.post(PeerDisconnected { otherHolder });
        submit(bench, "q2", "q1");
        CHECK(bench.only<Refuse>().error.code == ResultCode::NotResumable);
        CHECK(bench.only<Refuse>().error.retryAfter);
    }
    SUBCASE("the request names no stream")
    {
        RequestMetadata request;
        request.resumeAfter = 5;
        bench.submit("/resumable/x", 14s, {}, "", request);
        checkFinalRefusal(bench);
    }
    CHECK(bench.finished() == 1);
}

TEST_CASE("a gateway that has just started asks holders that connect while the caller waits")
{
    // Guards against a refusal because the first holder that a new gateway reaches doesn't know the stream.
    Bench bench;
    withReplicas(bench);
    bench.post(StreamHolderConnected { holder, Role::Controller, "zone-1" });
    submit(bench, "q2", "q1");
    bench.post(StreamLookupReplied { holder, { streamIdOf("", "q1"), StreamKnowledge::Unknown, {} } });
    CHECK(bench.effects<Refuse>().empty());
    bench.post(StreamHolderConnected { otherHolder, Role::Controller, "zone-2" });
    CHECK((bench.only<SendStreamLookup>().holder == otherHolder));
    bench.post(StreamLookupReplied { otherHolder, { streamIdOf("", "q1"), StreamKnowledge::Known, origin } });
    CHECK(reserve(bench).replica.id == "d1");
}

TEST_CASE("a stream whose software version no replica runs any more is refused at once")
{
    Bench bench;
    withReplicas(bench);
    connectHolders(bench);
    submit(bench, "q2", "q1");
    SUBCASE("no replica that is known ran it") { }
    SUBCASE("its last replica is draining") { bench.replica("d1", UpstreamKind::Decode, 2, ReplicaState::Draining); }
    StreamOrigin gone { "engine", bench.logic().replicas().isReady({ "d1", {} }) ? "v0" : "v1" };
    bench.post(StreamLookupReplied { holder, { streamIdOf("", "q1"), StreamKnowledge::Known, gone } });
    checkFinalRefusal(bench);
}

TEST_CASE("a stream continues at the service that began it, though the route is split or has moved")
{
    auto split = document(2);
    auto& targets = split.routes.back().targets;
    ServiceRule other = split.services.back();
    other.name = "other";
    split.services.push_back(other);
    bool isMoved = false;
    SUBCASE("split") { targets = { { "engine", 1 }, { "other", 99 } }; }
    SUBCASE("moved")
    {
        isMoved = true;
        targets = { { "other", 1 } };
    }
    Bench bench;
    withReplicas(bench);
    bench.post(DocumentReceived { split, true });
    connectHolders(bench);
    submit(bench, "q2", "q1");
    bench.post(StreamLookupReplied { holder, { streamIdOf("", "q1"), StreamKnowledge::Known, origin } });
    if (isMoved)
        return checkFinalRefusal(bench);
    CHECK(reserve(bench).replica.id == "d1");
}

TEST_CASE("a resumed stream that waits at a replica which has other software now continues elsewhere")
{
    // Guards against a belief that is a restart late: the replica comes back under its id before its announcement arrives.
    Bench bench;
    bench.serve().replica("d1", UpstreamKind::Decode);
    connectHolders(bench);
    submit(bench, "q2", "q1");
    bench.post(StreamLookupReplied { holder, { streamIdOf("", "q1"), StreamKnowledge::Known, origin } });
    auto send = reserve(bench);
    bench.replica("d4", UpstreamKind::Decode);
    bench.replica("d1", UpstreamKind::Decode, 1, ReplicaState::Ready, ReplicaStart(1'764'700'000'000), "v2");
    CHECK(bench.effects<CancelCall>().size() == 1);
    CHECK(bench.only<Send>().replica.id == "d4");
}

TEST_CASE("a stream of a replica that had other software by its first event is not resumed")
{
    Bench bench;
    bench.serve().replica("d1", UpstreamKind::Decode);
    submit(bench, "q1");
    auto send = reserve(bench);
    bench.replica("d4", UpstreamKind::Decode);
    bench.replica("d1", UpstreamKind::Decode, 1, ReplicaState::Ready, ReplicaStart(1'764'700'000'000), "v2");
    sendEvent(bench, send, 1);
    CHECK(bench.effects<SendStreamRecords>().empty());
    bench.post(CallFailed { send.id, send.attempt, true, "reset" });
    CHECK(bench.effects<AbortStream>().size() == 1);
}

TEST_CASE("a controller that connects learns of the streams that began here")
{
    Bench bench;
    withReplicas(bench);
    submit(bench, "q1");
    auto send = reserve(bench);
    sendEvent(bench, send, 1);
    bench.post(StreamHolderConnected { holder, Role::Controller, "zone-1" });
    auto records = bench.only<SendStreamRecords>().message.records;
    REQUIRE(records.size() == 1);
    CHECK((records[0].stream == streamIdOf("", "q1")));
    bench.post(StreamHolderConnected { otherHolder, Role::Sidecar, "zone-1" });
    CHECK(bench.effects<SendStreamRecords>().empty());
}

TEST_CASE("the directory of streams")
{
    StreamDirectory directory;
    auto now = start;
    auto id = streamIdOf("desk", "q1");
    SUBCASE("knows a stream until its caller can't resume it any more")
    {
        directory.add({ id, origin, 10s }, now);
        CHECK(directory.find(id, now + 10s - 1us).knowledge == StreamKnowledge::Known);
        CHECK(directory.find(id, now + 10s).knowledge == StreamKnowledge::Unknown);
        directory.removeExpired(now + 10s);
        CHECK(directory.size() == 0);
    }
    SUBCASE("keeps a stream longer when it is recorded again, never shorter")
    {
        directory.add({ id, origin, 10s }, now);
        directory.add({ id, origin, 20s }, now);
        directory.add({ id, origin, 5s }, now);
        CHECK(directory.find(id, now + 19s).knowledge == StreamKnowledge::Known);
        CHECK(directory.records(now).size() == 1);
    }
    SUBCASE("says that two streams with one id are ambiguous")
    {
        directory.add({ id, origin, 10s }, now);
        directory.add({ id, { "engine", "v2" }, 10s }, now);
        directory.add({ id, origin, 10s }, now);
        CHECK(directory.find(id, now).knowledge == StreamKnowledge::Ambiguous);
        CHECK(directory.records(now).empty());
    }
    SUBCASE("keeps the streams of client accounts apart")
    {
        directory.add({ id, origin, 10s }, now);
        CHECK(directory.find(streamIdOf("other", "q1"), now).knowledge == StreamKnowledge::Unknown);
        CHECK(directory.find(streamIdOf("", "deskq1"), now).knowledge == StreamKnowledge::Unknown);
        CHECK((streamIdOf("", std::string(1u << 20, 'x')) != id));
    }
    SUBCASE("doesn't believe that a caller waits for ever")
    {
        directory.add({ id, origin, 1000h }, now);
        CHECK(directory.find(id, now + StreamDirectory::longestRetention).knowledge == StreamKnowledge::Unknown);
    }
}

TEST_CASE("a record has holders in several availability zones, and sidecars only if there are too few controllers")
{
    StreamDirectoryClient client;
    for (std::uint64_t i = 1; i <= 9; ++i)
        client.connected(PeerId(i), i <= 6 ? Role::Controller : Role::Sidecar, i <= 4 ? "a" : i == 5 ? "b" : "c", start);
    for (std::uint64_t n = 0; n < 100; ++n) {
        auto holders = client.record({ StreamId(n), origin, 10s }, start);
        REQUIRE(holders.size() == StreamDirectoryClient::copies);
        std::set<PeerId> chosen(holders.begin(), holders.end());
        CHECK(chosen.size() == holders.size());
        CHECK(chosen.contains(PeerId(5)));
        CHECK(chosen.contains(PeerId(6)));
    }
    for (std::uint64_t i = 1; i <= 5; ++i)
        client.disconnected(PeerId(i));
    auto holders = client.record({ StreamId(1), origin, 10s }, start);
    CHECK(holders.size() == 3);
    CHECK((holders.front() == PeerId(6)));
}

// --- Gateways, holders, replicas and callers together ---------------------------------------------------------------

TEST_CASE("without failures all streams that callers resume go on")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        auto outcome = StreamFleet({ .seed = seed }).play();
        CAPTURE(seed);
        CHECK(outcome.mixed == 0);
        CHECK(outcome.unanswered == 0);
        CHECK(outcome.refused == 0);
        CHECK(outcome.takenUp > 50);
        CHECK(outcome.wentOn >= outcome.takenUp * 95 / 100);
    }
}

TEST_CASE("streams go on after restarts of gateways, and beside restarts of replicas")
{
    // Guards against a record of where a stream began that ends with the gateway.
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        auto outcome = StreamFleet({ .seed = seed, .gatewayRestarts = 1, .replicaRestarts = 0.5 }).play();
        CAPTURE(seed);
        CHECK(outcome.mixed == 0);
        CHECK(outcome.unanswered == 0);
        CHECK(2 * outcome.wentOn >= outcome.takenUp);
    }
}

TEST_CASE("whatever fails, no stream holds events of two software versions")
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        StreamFleet::Settings settings { .seed = seed, .gatewayRestarts = 2, .holderRestarts = 2, .replicaRestarts = 2, .cuts = 3 };
        auto outcome = StreamFleet(settings).play();
        CAPTURE(seed);
        CHECK(outcome.mixed == 0);
        CHECK(outcome.unanswered == 0);
        CHECK(outcome.begun > 50);
    }
}

TEST_CASE("a caller that resumes a stream waits for capacity like one with a new request, not like one that was refused before")
{
    Bench bench;
    bench.serve().replica("d1", UpstreamKind::Decode);
    connectHolders(bench);
    bench.post(CallerDisconnected { submit(bench, "q0") });
    RequestMetadata request;
    request.callerRequestId = "q2";
    request.resumedRequest = "q1";
    request.resumeAfter = 5;
    bench.submit("/resumable/x", 8s, {}, "", request);
    bench.post(StreamLookupReplied { holder, { streamIdOf("", "q1"), StreamKnowledge::Known, origin } });
    auto full = bench.only<ReserveAtReplica>();
    bench.post(ReservationRefused { full.id, full.attempt, true });
    bench.wait(ReservationQueue::maxLateWait + 10ms);
    CHECK(bench.effects<Refuse>().empty());
}

// --- Releases -------------------------------------------------------------------------------------------------------

namespace {

/// As the release before sends it.
struct FormerHello {
    PeerId id;
    Role role = Role::Gateway;
    std::string name;
    std::string site;
    std::string zone;
    std::string adminAddress;
    DiskId disk;
    MSGPACK_DEFINE(id, role, name, site, zone, adminAddress, disk)
};

} // namespace

TEST_CASE("processes of the release before understand a Hello, and are not sent messages that they don't know")
{
    // Guards against links that end with each stream while a site is upgraded.
    Hello hello;
    hello.name = "c";
    hello.messageTypes = std::variant_size_v<Message>;
    CHECK(knows<StreamRecords>(hello));
    CHECK(knows<StreamLookupReply>(hello));
    auto former = decodeValue<FormerHello>(encodeValue(hello));
    REQUIRE(former);
    CHECK(former->name == "c");
    auto received = decodeValue<Hello>(encodeValue(*former));
    REQUIRE(received);
    CHECK(received->name == "c");
    CHECK(!knows<StreamRecords>(*received));
}
