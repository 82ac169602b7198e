#include "version/LogStorage.h"

#include "message/Codec.h"
#include "version/DiskFile.h"

#include <fcntl.h>
#include <filesystem>
#include <string_view>
#include <sys/stat.h>
#include <unistd.h>
#include <variant>

namespace wrenhinge {

using namespace disk;

namespace {

    /// Entries from this index on are void.
    struct Truncation {
        std::uint64_t from = 0;
        MSGPACK_DEFINE(from)
    };

    using Record = std::variant<raft::HardState, Truncation, LogEntry>;
    using Records = std::vector<Record>;

    void applyRecord(raft::Recovered& recovered, Record record)
    {
        if (auto* hard = std::get_if<raft::HardState>(&record)) {
            recovered.hardState = *hard;
        } else if (auto* truncation = std::get_if<Truncation>(&record)) {
            std::erase_if(recovered.entries, [from = truncation->from](const LogEntry& entry) { return entry.index >= from; });
        } else {
            recovered.entries.push_back(std::get<LogEntry>(std::move(record)));
        }
    }

} // namespace

struct LogStorage::Batch {
    Records records;
};

LogStorage::LogStorage()
    : m_batch(std::make_unique<Batch>())
{
}

LogStorage::~LogStorage()
{
    if (m_log >= 0)
        ::close(m_log);
}

Result<raft::Recovered> LogStorage::open(const std::string& folder, DiskId newDiskId)
{
    m_folder = folder;
    m_batch->records.clear();
    if (m_log >= 0)
        ::close(std::exchange(m_log, -1));
    std::error_code ec;
    std::filesystem::create_directories(folder, ec);
    if (ec)
        return Error { ResultCode::StorageFailed, "can't make " + folder + ": " + ec.message() + "; check the path in `controller.data`" };
    if (auto identity = openIdentity(newDiskId); !identity)
        return identity.error();
    auto snapshot = readSnapshot();
    if (!snapshot)
        return snapshot.error();
    auto recovered = readLog();
    if (!recovered)
        return recovered.error();
    recovered.value().snapshot = std::move(snapshot.value());
    auto covered = recovered.value().snapshot.lastIndex;
    std::erase_if(recovered.value().entries, [covered](const LogEntry& entry) { return entry.index <= covered; });
    std::uint64_t expected = covered;
    for (const auto& entry : recovered.value().entries) {
        if (entry.index != ++expected)
            return Error { ResultCode::StorageCorrupt,
                folder + ": the log lacks entry " + std::to_string(expected) + "; replace this controller's disk (docs/RECOVERY.md)" };
    }
    return recovered;
}

Result<void> LogStorage::openIdentity(DiskId newDiskId)
{
    auto path = pathOf("identity");
    if (std::filesystem::exists(path)) {
        auto bytes = readFile(path);
        if (!bytes)
            return bytes.error();
        auto payload = recordAt(bytes.value(), 0);
        auto disk = payload ? decodeValue<DiskId>(*payload) : std::nullopt;
        if (!disk)
            return Error { ResultCode::StorageCorrupt, path + " is damaged; replace this controller's disk (docs/RECOVERY.md)" };
        m_disk = *disk;
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    if (std::filesystem::exists(pathOf("log")))
        return Error { ResultCode::StorageCorrupt,
            m_folder + " has a log but no identity; replace this controller's disk (docs/RECOVERY.md)" };
    m_disk = newDiskId;
    return replaceFile(m_folder, "identity", encodeRecord(encodeValue(m_disk)));
}

Result<raft::Snapshot> LogStorage::readSnapshot()
{
    auto path = pathOf("snapshot");
    if (!std::filesystem::exists(path))
        return raft::Snapshot {};
    auto bytes = readFile(path);
    if (!bytes)
        return bytes.error();
    auto payload = recordAt(bytes.value(), 0);
    auto snapshot = payload ? decodeValue<raft::Snapshot>(*payload) : std::nullopt;
    if (!snapshot)
        return Error { ResultCode::StorageCorrupt, path + " is damaged; replace this controller's disk (docs/RECOVERY.md)" };
    return std::move(*snapshot);
}

Result<raft::Recovered> LogStorage::readLog()
{
    auto path = pathOf("log");
    bool isNew = !std::filesystem::exists(path);
    m_log = ::open(path.c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, filePermissions);
    if (m_log < 0)
        return storageError("can't open", path);
    if (isNew) {
        if (auto synced = syncFolder(m_folder); !synced)
            return synced.error();
    }
    auto bytes = readFile(path);
    if (!bytes)
        return bytes.error();
    raft::Recovered recovered;
    std::size_t at = 0;
    while (at < bytes.value().size()) {
        auto payload = recordAt(bytes.value(), at);
        auto records = payload ? decodeValue<Records>(*payload) : std::nullopt;
        if (!records) {
            if (hasRecordAfter(bytes.value(), at))
                return Error { ResultCode::StorageCorrupt,
                    path + " is damaged at byte " + std::to_string(at) + "; replace this controller's disk (docs/RECOVERY.md)" };
            break;
        }
        for (auto& record : *records)
            applyRecord(recovered, std::move(record));
        at += recordHeaderBytes + payload->size();
    }
    m_truncatedBytes = bytes.value().size() - at;
    m_logSize = at;
    if (m_truncatedBytes && (::ftruncate(m_log, static_cast<off_t>(at)) != 0 || ::fsync(m_log) != 0))
        return storageError("can't cut the torn end of", path);
    return recovered;
}

void LogStorage::append(const raft::Persist& persist)
{
    auto& records = m_batch->records;
    if (persist.hardState)
        records.emplace_back(*persist.hardState);
    if (persist.truncateFrom)
        records.emplace_back(Truncation { persist.truncateFrom });
    for (const auto& entry : persist.entries)
        records.emplace_back(entry);
}

Result<void> LogStorage::writeRecord(const std::string& payload)
{
    auto bytes = encodeRecord(payload);
    auto written = writeAll(m_log, bytes, pathOf("log"));
    if (written) {
        m_logSize += bytes.size();
        return written;
    }
    // A half-written record in the middle of the log would look like damage: cut it off while we know where it began.
    if (::ftruncate(m_log, static_cast<off_t>(m_logSize)) != 0)
        return storageError("can't undo a failed write to", pathOf("log"));
    return written;
}

Result<void> LogStorage::sync()
{
    if (m_batch->records.empty())
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    auto written = writeRecord(encodeValue(std::exchange(m_batch->records, {})));
    if (!written)
        return written;
    if (::fdatasync(m_log) != 0)
        return storageError("can't sync", pathOf("log"));
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> LogStorage::saveSnapshot(const raft::Snapshot& snapshot)
{
    // The log is read back below, so that it must hold all that was added.
    if (auto synced = sync(); !synced)
        return synced;
    if (auto saved = replaceFile(m_folder, "snapshot", encodeRecord(encodeValue(snapshot))); !saved)
        return saved;
    ::close(std::exchange(m_log, -1));
    auto recovered = readLog();
    if (!recovered)
        return recovered.error();
    std::string bytes = encodeRecord(encodeValue(Records { recovered.value().hardState }));
    for (const auto& entry : recovered.value().entries) {
        if (entry.index > snapshot.lastIndex)
            bytes += encodeRecord(encodeValue(Records { entry }));
    }
    ::close(std::exchange(m_log, -1));
    if (auto replaced = replaceFile(m_folder, "log", bytes); !replaced)
        return replaced;
    auto reopened = readLog();
    if (!reopened)
        return reopened.error();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace wrenhinge
