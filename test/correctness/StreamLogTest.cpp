/** \file
 * The stream records that a controller keeps on its disk.
 */
#include "process/StreamLog.h"
#include "ControllerFolder.h"
#include "message/Codec.h"
#include "version/DiskFile.h"

#include <doctest/doctest.h>
#include <filesystem>

using namespace wrenhinge;
using namespace wrenhinge::test;

namespace {

const StreamOrigin origin { "engine", "v1" };

StreamRecord record(std::uint64_t stream, Duration keepFor = 1h) { return { StreamId(stream), origin, keepFor }; }

std::vector<StreamRecord> restored(ControllerFolder& at) { return StreamLog(at.folder.path(), at.log, at.refusals).takeRestored(); }

/// Waits until another start would find so many records.
std::vector<StreamRecord> stored(ControllerFolder& at, std::size_t n)
{
    for (;;) {
        if (auto list = restored(at); list.size() == n)
            return list;
        std::this_thread::sleep_for(5ms);
    }
}

std::vector<std::string> files(const ControllerFolder& at)
{
    std::vector<std::string> names;
    for (const auto& entry : std::filesystem::directory_iterator(at.folder.path()))
        names.push_back(entry.path().filename().string());
    std::sort(names.begin(), names.end());
    return names;
}

std::string batch(Duration writtenAt, std::vector<StreamRecord> records)
{
    return disk::encodeRecord(encodeValue(StreamLog::Batch { writtenAt, std::move(records) }));
}

std::vector<StreamRecord> read(const std::string& bytes, Duration now)
{
    return StreamLog::read(bytes, now, [](const std::string&) {});
}

bool hasForgotten(ControllerFolder& at)
{
    auto events = at.log.events("");
    return std::any_of(events.begin(), events.end(), [](const auto& event) { return event.code == EventCode::StreamsForgotten; });
}

} // namespace

TEST_CASE("streams are restored in the order in which they were stored, over several starts")
{
    ControllerFolder at;
    for (std::uint64_t start = 1; start <= 3; ++start) {
        StreamLog log(at.folder.path(), at.log, at.refusals);
        CHECK(log.takeRestored().size() == 2 * (start - 1));
        log.append({ record(10 * start), record(10 * start + 1) });
        auto list = stored(at, 2 * start);
        CHECK((list[list.size() - 2].stream == StreamId(10 * start)));
        CHECK((list.back().stream == StreamId(10 * start + 1)));
        CHECK((list.back().origin == origin));
        CHECK(list.back().keepFor <= 1h);
        CHECK(list.back().keepFor > 30min);
    }
}

TEST_CASE("a stored stream is valid for no longer than its caller can resume it")
{
    auto bytes = batch(100s, { record(1, 10s), record(2, 30s) }) + batch(115s, { record(3, 10s) });
    CHECK(read(bytes, 100s).size() == 3);
    auto list = read(bytes, 110s);
    REQUIRE(list.size() == 2);
    CHECK((list[0].stream == StreamId(2)));
    CHECK(list[0].keepFor == 20s);
    SUBCASE("a clock that was set back makes none valid for longer") { CHECK(read(bytes, 50s)[0].keepFor == 10s); }
}

TEST_CASE("the batches before one that a power loss has torn are restored, and later ones are stored")
{
    ControllerFolder at;
    {
        StreamLog log(at.folder.path(), at.log, at.refusals);
        log.append({ record(1) });
        stored(at, 1);
        log.append({ record(2) });
        stored(at, 2);
    }
    auto file = at.folder.file(files(at).front());
    std::filesystem::resize_file(file, std::filesystem::file_size(file) - 3);
    StreamLog log(at.folder.path(), at.log, at.refusals);
    REQUIRE(log.takeRestored().size() == 1);
    log.append({ record(3) });
    CHECK((stored(at, 2).back().stream == StreamId(3)));
}

TEST_CASE("a file whose streams have all expired is deleted, others are kept")
{
    ControllerFolder at;
    for (auto keepFor : { Duration(1h), Duration(1us) }) {
        StreamLog log(at.folder.path(), at.log, at.refusals);
        auto before = files(at);
        log.append({ record(1, keepFor) });
        while (files(at) == before)
            std::this_thread::sleep_for(5ms);
    }
    REQUIRE(files(at).size() == 2);
    StreamLog log(at.folder.path(), at.log, at.refusals);
    log.append({ record(2) });
    stored(at, 2);
    while (files(at).size() != 2)
        std::this_thread::sleep_for(5ms);
    CHECK(files(at) == std::vector<std::string> { "streams-1", "streams-3" });
}

TEST_CASE("a file that took no more is not continued")
{
    // Guards against streams that can't be read back, since they follow an incomplete batch.
    ControllerFolder at;
    StreamLog log(at.folder.path(), at.log, at.refusals);
    auto first = at.folder.file("streams-1");
    std::filesystem::create_symlink("/dev/full", first);
    log.append({ record(1) });
    while (std::filesystem::is_symlink(first))
        std::this_thread::sleep_for(5ms);
    CHECK(hasForgotten(at));
    log.append({ record(2) });
    CHECK((stored(at, 1).front().stream == StreamId(2)));
    CHECK(files(at) == std::vector<std::string> { "streams-2" });
}

TEST_CASE("a stored stream that can't be used is dropped alone")
{
    auto unusable = record(2);
    unusable.origin.service = "engine\r\nX: y";
    int refused = 0;
    auto list = StreamLog::read(batch(1s, { record(1), unusable, record(3) }), 1s, [&](const std::string&) { ++refused; });
    CHECK(list.size() == 2);
    CHECK(refused == 1);
}

TEST_CASE("a disk that takes no streams is tried again, and the log says so once")
{
    ControllerFolder at;
    auto folder = at.folder.path() + "/later";
    StreamLog log(folder, at.log, at.refusals);
    log.append({ record(1) });
    while (!hasForgotten(at))
        std::this_thread::sleep_for(5ms);
    std::filesystem::create_directory(folder);
    log.append({ record(2) });
    while (StreamLog(folder, at.log, at.refusals).takeRestored().empty())
        std::this_thread::sleep_for(5ms);
    auto events = at.log.events("");
    CHECK(std::count_if(events.begin(), events.end(), [](const auto& event) { return event.code == EventCode::StreamsForgotten; }) == 1);
}
