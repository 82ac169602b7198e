/** \file
 * Tests of BufferBudget, RequestMemory and the share of descriptors, and of what a gateway does when the answers in progress exceed theirs.
 */
#include "base/BufferBudget.h"
#include "base/RequestMemory.h"

#include "ForwardBench.h"
#include "process/DescriptorShare.h"

using namespace wrenhinge;
using namespace wrenhinge::forward;
using namespace wrenhinge::bench;

namespace {

void sendBytes(Bench& bench, const Send& send, std::size_t n) { bench.post(AnswerBody { send.id, send.attempt, std::string(n, 'x') }); }

/// A call whose answer has begun.
Send beginAnswer(Bench& bench, const std::string& path)
{
    bench.submit(path);
    auto send = bench.only<Send>();
    AnswerMetadata metadata;
    metadata.status = 200;
    bench.post(AnswerHead { send.id, send.attempt, metadata, {} });
    return send;
}

} // namespace

TEST_CASE("requests in progress are admitted while they take at most half of what is free, and give back what they took")
{
    // Guards against a few large requests that leave no room for all the small ones.
    RequestMemory memory(1000);
    auto large = memory.take(900);
    CHECK(large);
    CHECK(!memory.take(51));
    auto small = memory.take(50);
    CHECK(small);
    CHECK(memory.used() == 950);
    large.reset();
    CHECK(!memory.take(476));
    CHECK(memory.take(475));
    small.reset();
    CHECK(memory.used() == 0);
    CHECK(memory.take(5000)); // Alone.
}

TEST_CASE("callers never take all descriptors of a process")
{
    // Guards against a process that has read requests and can't call a replica for them.
    rlimit limit {};
    REQUIRE(::getrlimit(RLIMIT_NOFILE, &limit) == 0);
    CHECK(connectionsWithinDescriptors(2) == 2);
    CHECK((limit.rlim_cur == RLIM_INFINITY || connectionsWithinDescriptors(limit.rlim_cur) < limit.rlim_cur));
}

TEST_CASE("the holder with the most bytes is given up, and only while all together exceed the limit")
{
    BufferBudget<int> budget(100);
    budget.set(1, 60);
    budget.set(2, 40);
    CHECK(!budget.excess());
    budget.set(3, 1);
    CHECK(budget.excess() == 1);
    budget.set(2, 80);
    CHECK(budget.excess() == 2);
    budget.set(2, 0);
    CHECK(!budget.excess());
    budget.set(1, 100);
    CHECK(budget.excess() == 1);
    budget.setLimit(101);
    CHECK(!budget.excess());
}

TEST_CASE("of answers that need more memory than there is the largest is given up, and the others arrive")
{
    // Guards against a gateway that is ended for its memory, with all requests in progress, over a few endless answers.
    Bench bench;
    bench.serve().replica("a").replica("b");
    auto small = beginAnswer(bench, "/once/x");
    sendBytes(bench, small, 1000);
    std::vector<Send> large;
    for (int i = 0; i < 3; ++i)
        large.push_back(beginAnswer(bench, "/once/x"));
    constexpr auto third = ForwardLogic::maxBufferedBytes / 3;
    for (const auto& send : large)
        sendBytes(bench, send, third - 1000);
    CHECK(bench.effects<CancelCall>().empty());
    sendBytes(bench, large[1], 5000);
    CHECK((bench.only<CancelCall>().id == large[1].id));
    CHECK(httpStatusOf(bench.only<Refuse>().error.code) == 502);
    bench.post(AnswerEnd { small.id, small.attempt });
    CHECK(bench.only<Reply>().body.size() == 1000);
    // What was given up needs nothing any more, and what has ended neither.
    sendBytes(bench, large[0], 5000);
    CHECK(bench.effects<CancelCall>().empty());
    bench.post(AnswerEnd { large[0].id, large[0].attempt });
    sendBytes(bench, large[2], third);
    CHECK(bench.effects<CancelCall>().empty());
}

TEST_CASE("an event without end ends its call; the stream continues at another replica if it may")
{
    Bench bench;
    bench.serve().replica("d1", UpstreamKind::Decode).replica("d2", UpstreamKind::Decode).replica("p", UpstreamKind::Prefill);
    bool isResumable = false;
    SUBCASE("it may not") { }
    SUBCASE("it may") { isResumable = true; }
    auto send = bench.run(bench.submit(isResumable ? "/resumable/x" : "/stream/x", 14s));
    bench.streamHead(send);
    bench.post(AnswerBody { send.id, send.attempt, "id: 1\ndata: a\n\n" });
    sendBytes(bench, send, ForwardLogic::maxEventBytes);
    CHECK(bench.effects<CancelCall>().empty());
    sendBytes(bench, send, 1);
    CHECK((bench.only<CancelCall>().id == send.id));
    CHECK(bench.effects<Send>().size() == (isResumable ? 1 : 0));
    CHECK(bench.effects<AbortStream>().size() == (isResumable ? 0 : 1));
    if (isResumable)
        CHECK(bench.only<Send>().resumeAfter == 1);
}
