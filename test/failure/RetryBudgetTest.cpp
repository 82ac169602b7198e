/** \file
 * The retries that all gateways together send stay within the service's budget, whatever is restarted, cut off or gone.
 */
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "ForwardBench.h"
#include "RetryFleet.h"

using namespace wrenhinge;
using wrenhinge::retries::Fleet;

namespace {

constexpr RetryBudgetSettings settings { 0.2, 250, 10s };

} // namespace

TEST_CASE("gateways that start again one after the other don't exceed the retry budget together")
{
    for (std::size_t gateways : { 9, 46, 66 }) {
        for (double load : { 30.0, 290.0 }) {
            for (int starts : { 1, 3, 5 }) {
                CAPTURE(gateways);
                CAPTURE(load);
                CAPTURE(starts);
                Fleet fleet(gateways, settings, 1);
                fleet.load = load;
                fleet.run(20s);
                for (int i = 0; i < starts; ++i) {
                    fleet.restartAll();
                    fleet.run(2500ms);
                }
                fleet.run(20s);
                CHECK(fleet.worst() <= 1);
            }
        }
    }
}

TEST_CASE("gateways of a site of any size that start while no controller can be reached don't exceed the retry budget together")
{
    // Guards against a share of the slack that goes by an assumed number of gateways.
    for (std::size_t gateways : { 361, 722 }) {
        for (double load : { 30.0, 290.0 }) {
            CAPTURE(gateways);
            CAPTURE(load);
            Fleet fleet(gateways, { 0.2, 1040, 10s }, 1);
            fleet.load = load;
            fleet.run(20s);
            fleet.restartAll();
            for (std::size_t i = 0; i < gateways; ++i)
                fleet.cut(i, 30s);
            fleet.run(40s);
            CHECK(fleet.worst() <= 1);
        }
    }
}

TEST_CASE("callers that move from gateways which have retried to others don't raise the retry budget")
{
    Fleet fleet(40, settings, 1);
    fleet.load = 2000;
    fleet.spread(1);
    for (int i = 0; i < 6; ++i) {
        fleet.wantsRetries = false;
        fleet.run(8s);
        fleet.wantsRetries = true;
        fleet.run(200ms);
        fleet.spread(8);
    }
    CHECK(fleet.worst() <= 1);
}

TEST_CASE("gateways without failures may use most of the slack of the retry budget")
{
    Fleet fleet(10, settings, 1);
    fleet.load = 1;
    fleet.run(60s);
    CHECK(fleet.worst() >= 0.75);
    CHECK(fleet.worst() <= 1);
}

TEST_CASE("what follows prefills in progress at replicas that have gone stays within the retry budget")
{
    using namespace wrenhinge::bench;
    Bench bench;
    bench.serve().replica("d", UpstreamKind::Decode);
    for (int i = 0; i < 200; ++i)
        bench.replica("p-" + std::to_string(i), UpstreamKind::Prefill);
    constexpr int requests = 100;
    std::vector<Send> calls;
    auto recordCalls = [&] {
        for (const auto& send : bench.effects<Send>())
            calls.push_back(send);
    };
    for (int i = 0; i < requests; ++i) {
        bench.submit("/stream/x");
        bench.post(ReservationGranted { bench.only<ReserveAtReplica>().id, bench.only<ReserveAtReplica>().attempt, "reservation-1" });
        recordCalls();
    }
    for (std::size_t i = 0; i < calls.size(); ++i) {
        if (!calls[i].isPrefill)
            continue;
        bench.post(PrefillFailed { calls[i].id, calls[i].attempt, true, true });
        recordCalls();
    }
    CHECK(calls.size() >= requests);
    // All calls beyond the first of their request count.
    CHECK(static_cast<double>(calls.size()) - requests <= 0.2 * requests + 60);
}
