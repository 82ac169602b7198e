/** \file
 * The list of replicas that a controller keeps on its disk.
 */
#include "process/ReplicaMemory.h"
#include "Folder.h"

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
        announcement.address = id + ":80";
        announcement.kind = UpstreamKind::Decode;
        announcement.sequence = 7;
        list.push_back(announcement);
    }
    return list;
}

/// Waits until the memory has written what it was given, as another start would find it.
std::vector<Announcement> written(const ReplicaMemory& memory, std::size_t n)
{
    for (;;) {
        if (auto list = memory.load(); list.size() == n)
            return list;
        std::this_thread::sleep_for(5ms);
    }
}

} // namespace

TEST_CASE("replicas are remembered as they were saved last")
{
    Folder folder;
    LogSettings settings;
    EventLog log(settings, "test");
    ReplicaMemory memory(folder.path(), log);
    CHECK(memory.load().empty());
    memory.save(replicas({ "a" }));
    memory.save(replicas({ "a", "b" }));
    auto list = written(memory, 2);
    CHECK(list[1].id == "b");
    CHECK(list[1].address == "b:80");
    CHECK(list[1].kind == UpstreamKind::Decode);
    CHECK(list[1].sequence == 7);
    memory.save(replicas({ "c" }));
    CHECK(written(memory, 1)[0].id == "c");
}

TEST_CASE("a list that a power loss has torn is forgotten, with a line in the log, and replaced by the next one")
{
    Folder folder;
    LogSettings settings;
    EventLog log(settings, "test");
    ReplicaMemory memory(folder.path(), log);
    memory.save(replicas({ "a", "b" }));
    written(memory, 2);
    std::filesystem::resize_file(folder.file("replicas"), std::filesystem::file_size(folder.file("replicas")) - 3);
    CHECK(memory.load().empty());
    auto events = log.events("");
    CHECK(std::any_of(events.begin(), events.end(), [](const auto& event) { return event.code == EventCode::ReplicasForgotten; }));
    memory.save(replicas({ "d" }));
    CHECK(written(memory, 1)[0].id == "d");
}

TEST_CASE("a disk that refuses writes is noted and ends nothing")
{
    Folder folder;
    LogSettings settings;
    EventLog log(settings, "test");
    ReplicaMemory memory(folder.path() + "/missing", log);
    memory.save(replicas({ "a" }));
    while (log.events("").empty())
        std::this_thread::sleep_for(5ms);
    CHECK(log.events("").front().code == EventCode::ReplicasForgotten);
}
