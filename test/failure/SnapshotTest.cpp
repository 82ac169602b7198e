/** \file
 * A snapshot that can't be decoded, as a leader of another release may send it.
 */
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "version/ControllerLogic.h"

#include <doctest/doctest.h>

using namespace wrenhinge;

TEST_CASE("a snapshot that can't be decoded replaces nothing")
{
    // Guards against a controller that exits with "a snapshot with a valid checksum can't be decoded" whenever it receives a snapshot.
    Instant now { 1h };
    raft::Settings settings;
    settings.self = "a";
    settings.members = { "a", "b", "c" };
    settings.disk = DiskId(1);
    settings.isNewCluster = true;
    ControllerLogic logic(settings, {}, now);
    (void)logic.start();
    Hello leader;
    leader.id = PeerId(2);
    leader.role = Role::Controller;
    leader.name = "b";
    leader.disk = DiskId(2);
    std::vector<controller::Event> events { PeerUp { leader },
        PeerMessage { PeerId(2), AppendRequest { 1, 0, 0, 0, 1, { { 1, 1, NoopCommand {} } } } },
        PeerMessage { PeerId(2), SnapshotChunk { 1, 5, 1, 0, "bytes of another release", true } } };
    auto effects = logic.step(events, now);
    for (const auto& effect : effects)
        CHECK(!std::holds_alternative<raft::SaveSnapshot>(effect));
    CHECK(logic.raft().lastIndex() == 1);
}
