/** \file
 * The log on a controller's disk: one data folder with an identity, a log file and a snapshot.
 *
 *     identity   who this disk is, drawn when the folder is first used
 *     log        records of `mark, length, checksum, payload`, appended; one for each sync
 *     snapshot   one record: the state up to an index; replaced whole by rename
 *
 * Beside them may lie `replicas` and `crashes`, which DiskMemory keeps and nothing here reads.
 *
 * What goes wrong here and how it is met: a crash in the middle of a write leaves a torn record at the end, which was
 * never acknowledged, so it is cut. A bad record with good ones behind it can't come from a crash; something damaged the
 * disk, so the start is refused: going on without acknowledged entries could lose accepted changes. After a power loss each
 * write since the last sync is there, missing or torn on its own; the records of one sync are therefore one write under one
 * checksum, so that a later one can't outlive an earlier one and look like damage. A full disk fails the write; the partial
 * record is cut off again and the error returned, with everything before it intact.
 */
#pragma once

#include "version/Raft.h"

#include <memory>
#include <string>

namespace wrenhinge {

class LogStorage {
public:
    LogStorage();
    ~LogStorage();
    LogStorage(const LogStorage&) = delete;
    LogStorage& operator=(const LogStorage&) = delete;

    /// Opens the folder, making it if need be; again, if it is open. \param newDiskId the identity to give a folder that has none.
    Result<raft::Recovered> open(const std::string& folder, DiskId newDiskId);
    /// Adds records to the next write.
    void append(const raft::Persist&);
    /// Writes what was added as one record. Durable on return.
    Result<void> sync();
    /// Replaces the snapshot and drops the entries that it covers. Durable on return.
    Result<void> saveSnapshot(const raft::Snapshot&);

    [[nodiscard]] DiskId disk() const { return m_disk; }
    /// Bytes that were cut off the end of the log when it was opened.
    [[nodiscard]] std::size_t truncatedBytes() const { return m_truncatedBytes; }

private:
    Result<void> openIdentity(DiskId newDiskId);
    Result<raft::Recovered> readLog();
    Result<raft::Snapshot> readSnapshot();
    Result<void> writeRecord(const std::string& payload);
    [[nodiscard]] std::string pathOf(const std::string& name) const { return m_folder + "/" + name; }

    struct Batch;

    std::string m_folder;
    std::unique_ptr<Batch> m_batch; ///< What the next sync writes.
    int m_log = -1;
    std::uint64_t m_logSize = 0;
    DiskId m_disk;
    std::size_t m_truncatedBytes = 0;
};

} // namespace wrenhinge
