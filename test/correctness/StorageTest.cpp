/** \file
 * The log on disk: recovery after a crash, detection of damage, and errors of a full disk.
 */
#include "Folder.h"
#include "version/LogStorage.h"

#include <csignal>
#include <cstdlib>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <sys/resource.h>

using namespace wrenhinge;
using wrenhinge::test::Folder;

namespace {

raft::Persist entries(std::uint64_t from, std::uint64_t to)
{
    raft::Persist persist;
    for (auto i = from; i <= to; ++i)
        persist.entries.push_back({ 1, i, ConfigCommand { i, "id" + std::to_string(i), "me", { { "account/a/rate", "1/s" } }, {} } });
    return persist;
}

std::uint64_t recoveredEntries(const std::string& path)
{
    LogStorage storage;
    auto recovered = storage.open(path, DiskId(2));
    REQUIRE(recovered);
    return recovered.value().entries.size();
}

void corruptByte(const std::string& file, std::streamoff at)
{
    std::fstream f(file, std::ios::in | std::ios::out | std::ios::binary);
    f.seekg(at);
    char c = 0;
    f.get(c);
    f.seekp(at);
    f.put(static_cast<char>(c ^ 0x55));
}

/// Writes and syncs each entry on its own.
void writeEach(LogStorage& storage, std::uint64_t from, std::uint64_t to)
{
    for (auto i = from; i <= to; ++i) {
        storage.append(entries(i, i));
        REQUIRE(storage.sync());
    }
}

} // namespace

TEST_CASE("synced records and the disk's identity are read back")
{
    Folder folder;
    {
        LogStorage storage;
        REQUIRE(storage.open(folder.path(), DiskId(7)));
        storage.append({ raft::HardState { 4, "b", true }, 0, {} });
        storage.append(entries(1, 5));
        raft::Persist cut;
        cut.truncateFrom = 4;
        storage.append(cut);
        REQUIRE(storage.sync());
    }
    LogStorage storage;
    auto recovered = storage.open(folder.path(), DiskId(99));
    REQUIRE(recovered);
    CHECK(storage.disk() == DiskId(7));
    CHECK(recovered.value().hardState.term == 4);
    CHECK(recovered.value().hardState.votedFor == "b");
    CHECK(recovered.value().entries.size() == 3);
}

TEST_CASE("a torn record at the end is truncated and the rest kept")
{
    // Guards against a controller that does not start after a power failure during a write.
    for (std::uintmax_t lost = 1; lost < 40; lost += 5) { // Less than one record.
        Folder folder;
        {
            LogStorage storage;
            REQUIRE(storage.open(folder.path(), DiskId(7)));
            writeEach(storage, 1, 3);
        }
        auto size = std::filesystem::file_size(folder.file("log"));
        std::filesystem::resize_file(folder.file("log"), size - lost);
        CHECK(recoveredEntries(folder.path()) == 2);
        CHECK(recoveredEntries(folder.path()) == 2);
    }
}

TEST_CASE("damage in the middle of the log is refused, with a remedy in the error")
{
    Folder folder;
    {
        LogStorage storage;
        REQUIRE(storage.open(folder.path(), DiskId(7)));
        writeEach(storage, 1, 10);
    }
    corruptByte(folder.file("log"), 100);
    LogStorage storage;
    auto recovered = storage.open(folder.path(), DiskId(7));
    REQUIRE(!recovered);
    CHECK(recovered.error().code == ResultCode::StorageCorrupt);
    CHECK(recovered.error().message.find("replace this controller's disk") != std::string::npos);
}

TEST_CASE("a damaged snapshot or identity is refused")
{
    for (const auto* file : { "snapshot", "identity" }) {
        Folder folder;
        {
            LogStorage storage;
            REQUIRE(storage.open(folder.path(), DiskId(7)));
            REQUIRE(storage.saveSnapshot({ 1, 1, "state" }));
        }
        corruptByte(folder.file(file), 13);
        LogStorage storage;
        CHECK(storage.open(folder.path(), DiskId(7)).error().code == ResultCode::StorageCorrupt);
    }
}

TEST_CASE("a snapshot replaces the entries that it covers")
{
    Folder folder;
    {
        LogStorage storage;
        REQUIRE(storage.open(folder.path(), DiskId(7)));
        storage.append({ raft::HardState { 2, "", true }, 0, {} });
        writeEach(storage, 1, 100);
        auto before = std::filesystem::file_size(folder.file("log"));
        REQUIRE(storage.saveSnapshot({ 90, 1, "state" }));
        CHECK(std::filesystem::file_size(folder.file("log")) < before / 5);
        writeEach(storage, 101, 102);
    }
    LogStorage storage;
    auto recovered = storage.open(folder.path(), DiskId(7));
    REQUIRE(recovered);
    CHECK(recovered.value().snapshot.bytes == "state");
    CHECK(recovered.value().entries.size() == 12);
    CHECK(recovered.value().hardState.term == 2);
}

TEST_CASE("on a full disk the write fails and earlier records are kept")
{
    // A limit on the file size simulates a full disk.
    Folder folder;
    std::signal(SIGXFSZ, SIG_IGN);
    rlimit former {};
    getrlimit(RLIMIT_FSIZE, &former);
    {
        LogStorage storage;
        REQUIRE(storage.open(folder.path(), DiskId(7)));
        writeEach(storage, 1, 3);
        rlimit small { std::filesystem::file_size(folder.file("log")) + 30, former.rlim_max };
        setrlimit(RLIMIT_FSIZE, &small);
        storage.append(entries(4, 4));
        auto written = storage.sync();
        setrlimit(RLIMIT_FSIZE, &former);
        CHECK(!written);
        writeEach(storage, 4, 5);
    }
    CHECK(recoveredEntries(folder.path()) == 5);
}

TEST_CASE("a log with a missing entry is refused")
{
    Folder folder;
    {
        LogStorage storage;
        REQUIRE(storage.open(folder.path(), DiskId(7)));
        writeEach(storage, 1, 2);
        writeEach(storage, 4, 5);
    }
    LogStorage storage;
    CHECK(storage.open(folder.path(), DiskId(7)).error().code == ResultCode::StorageCorrupt);
}

TEST_CASE("the records of one sync are recovered completely or not at all")
{
    // Guards against a controller that reports a damaged log after a power loss and does not start.
    Folder folder;
    {
        LogStorage storage;
        REQUIRE(storage.open(folder.path(), DiskId(7)));
        writeEach(storage, 1, 3);
        storage.append(entries(4, 6));
        storage.append({ raft::HardState { 9, "c", true }, 0, {} });
        REQUIRE(storage.sync());
    }
    auto size = std::filesystem::file_size(folder.file("log"));
    corruptByte(folder.file("log"), static_cast<std::streamoff>(size) - 40);
    CHECK(recoveredEntries(folder.path()) == 3);
}

TEST_CASE("a torn record of megabytes is truncated without trying every byte as the start of a record")
{
    // Guards against a controller that takes minutes to start after power has failed during the write of a large document.
    Folder folder;
    {
        LogStorage storage;
        REQUIRE(storage.open(folder.path(), DiskId(7)));
        writeEach(storage, 1, 3);
        std::string text(8u << 20, '\0');
        for (std::size_t i = 2; i < text.size(); i += 4)
            text[i] = 2; // Read as a length at any offset, this is some hundred kilobytes.
        raft::Persist persist;
        persist.entries = { { 1, 4, DocumentCommand { 1, text } } };
        storage.append(persist);
        REQUIRE(storage.sync());
    }
    std::filesystem::resize_file(folder.file("log"), std::filesystem::file_size(folder.file("log")) - 10);
    CHECK(recoveredEntries(folder.path()) == 3);
}
