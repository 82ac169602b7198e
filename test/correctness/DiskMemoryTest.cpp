/** \file
 * The lists of replicas, and of requests that end them, which a controller keeps on its disk.
 */
#include "ControllerFolder.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <thread>

using namespace wrenhinge;
using namespace wrenhinge::test;

namespace {

std::vector<Announcement> replicas(const std::vector<std::string>& ids)
{
    std::vector<Announcement> list;
    for (const auto& id : ids) {
        Announcement announcement;
        announcement.id = id;
        announcement.service = "app";
        announcement.address = "10.0.0." + std::to_string(list.size() + 1) + ":80";
        announcement.zone = "z";
        announcement.slots = 4;
        announcement.kind = UpstreamKind::Decode;
        announcement.sequence = 7;
        list.push_back(announcement);
    }
    return list;
}

} // namespace

TEST_CASE("replicas are remembered as they were saved last")
{
    ControllerFolder at;
    PersistedReplicas memory(at.folder.path(), at.log, at.refusals);
    CHECK(memory.load().empty());
    memory.save(replicas({ "a" }));
    memory.save(replicas({ "a", "b" }));
    auto list = written(memory, 2);
    CHECK(list[1].id == "b");
    CHECK(list[1].address == "10.0.0.2:80");
    CHECK(list[1].kind == UpstreamKind::Decode);
    CHECK(list[1].sequence == 7);
    memory.save(replicas({ "c" }));
    CHECK(written(memory, 1)[0].id == "c");
}

TEST_CASE("a list that a power loss has torn is forgotten, with a line in the log, and replaced by the next one")
{
    ControllerFolder at;
    PersistedReplicas memory(at.folder.path(), at.log, at.refusals);
    memory.save(replicas({ "a", "b" }));
    written(memory, 2);
    std::filesystem::resize_file(at.folder.file("replicas"), std::filesystem::file_size(at.folder.file("replicas")) - 3);
    CHECK(memory.load().empty());
    auto events = at.log.events("");
    CHECK(std::any_of(events.begin(), events.end(), [](const auto& event) { return event.code == EventCode::ReplicasForgotten; }));
    memory.save(replicas({ "d" }));
    CHECK(written(memory, 1)[0].id == "d");
}

TEST_CASE("an entry on the disk that can't be used is dropped alone")
{
    // Guards against a list of replicas that is lost as a whole over one invalid entry.
    ControllerFolder at;
    PersistedReplicas memory(at.folder.path(), at.log, at.refusals);
    auto list = replicas({ "a", "b", "c", "d", "e", "f" });
    list[1].state = static_cast<ReplicaState>(7);
    list[2].address = "nowhere";
    list[3].slots = 0;
    list[4].id = "e\r\nX: y";
    memory.save(list);
    auto kept = written(memory, 2);
    CHECK(kept[0].id == "a");
    CHECK(kept[1].id == "f");
    CHECK(at.refusals.count(InputSource::StateFile) >= 4);
}

TEST_CASE("a disk that refuses writes is noted and ends nothing")
{
    ControllerFolder at;
    PersistedReplicas memory(at.folder.path() + "/missing", at.log, at.refusals);
    memory.save(replicas({ "a" }));
    while (at.log.events("").empty())
        std::this_thread::sleep_for(5ms);
    CHECK(at.log.events("").front().code == EventCode::ReplicasForgotten);
}

TEST_CASE("requests that end replicas are remembered beside the replicas, each in its file")
{
    // Guards against forgetting, in a power loss, which requests crash replicas.
    ControllerFolder at;
    PersistedReplicas replicaMemory(at.folder.path(), at.log, at.refusals);
    PersistedCrashes memory(at.folder.path(), at.log, at.refusals);
    CHECK(memory.load().empty());
    replicaMemory.save(replicas({ "a" }));
    memory.save({ { ContentFingerprint(7), "i-1", ReplicaStart(5), 3s, 100ms }, { ContentFingerprint(7), "", {}, 3s, 100ms } });
    written(replicaMemory, 1);
    // The one without an id can't be used.
    auto list = written(memory, 1);
    CHECK((list[0].content == ContentFingerprint(7)));
    CHECK((list[0].run() == ReplicaRun { "i-1", ReplicaStart(5) }));
    CHECK(list[0].age == 3s);
}

TEST_CASE("the number of gateways is remembered, and one that can't be is not")
{
    ControllerFolder at;
    PersistedGatewayCount memory(at.folder.path(), at.log, at.refusals);
    memory.save({ StoredGatewayCount { 361 } });
    CHECK(written(memory, 1)[0].gateways == 361);
    memory.save({ StoredGatewayCount { 4'000'000'000 } });
    CHECK(written(memory, 0).empty());
}
