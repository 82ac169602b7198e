/** \file
 * How much of the replicas' capacity one gateway may use, where it receives most callers of a zone.
 */
#include "ForwardBench.h"

#include <doctest/doctest.h>

using namespace wrenhinge;
using namespace wrenhinge::bench;

TEST_CASE("a gateway that receives most callers uses engines whose sidecars admit it beyond its share of their connections")
{
    // Guards against refusals at one gateway while engines have free slots, as the others use hardly any of their shares.
    Bench bench;
    auto limited = document(1);
    limited.services[1].maxConnections = 10;
    bench.post(DocumentReceived { limited, true });
    bench.post(RegistryHeartbeat { {}, 4 });
    bench.replica("d", UpstreamKind::Decode).replica("p", UpstreamKind::Prefill);
    bool hasSidecar = false;
    SUBCASE("the engine's sidecar admits requests")
    {
        hasSidecar = true;
        bench.post(EngineHeadroomReported { "d:80", { PeerId(9), 60'000, 0 } });
    }
    SUBCASE("the engine has no sidecar, so that all gateways together keep to its connections by their shares") { }
    std::size_t admitted = 0;
    for (int i = 0; i < 6; ++i) {
        bench.submit("/stream/x");
        admitted += bench.effects<ReserveAtSidecar>().size() + bench.effects<ReserveAtReplica>().size();
    }
    CHECK(admitted == (hasSidecar ? 6 : 2));
}

TEST_CASE("after a start of the whole site a gateway's share of a replica's connections goes by how many gateways there were before")
{
    // Guards against gateways of a large site that together open more connections than a replica accepts.
    Bench bench;
    auto limited = document(1);
    limited.services[1].maxConnections = 690;
    bench.post(DocumentReceived { limited, true });
    RegistryHeartbeat heartbeat;
    heartbeat.recentGateways = 361;
    bench.post(heartbeat);
    bench.replica("d", UpstreamKind::Decode).replica("p", UpstreamKind::Prefill);
    std::size_t admitted = 0;
    for (int i = 0; i < 6; ++i) {
        bench.submit("/stream/x");
        admitted += bench.effects<ReserveAtReplica>().size();
    }
    CHECK(admitted == 1);
}
