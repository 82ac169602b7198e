/** \file
 * The log on a controller's disk: one data folder with an identity, a log file and a snapshot.
 *
 *     identity   the id of this disk, drawn at random when the folder is first used
 *     log        records of `magic, length, checksum, payload`, appended; one for each sync
 *     snapshot   one record: the state up to an index; replaced atomically by rename
 *
 * The folder may also contain `replicas` and `crashes`, which PersistedList writes; they are not read here.
 *
 * Failures and how they are handled:
 * - A crash during a write leaves a torn record at the end. It was never acknowledged, so it is truncated.
 * - A bad record followed by valid ones can't come from a crash but only from a damaged disk. The start is refused, since
 *   continuing without acknowledged entries could lose accepted changes.
 * - After a power loss each write since the last sync may be complete, missing or torn, independently of the others. All
 *   records of one sync are therefore one write under one checksum, so that a later record can't survive without an earlier
 *   one and look like damage.
 * - On a full disk the write fails. The partial record is truncated and the error returned; everything before it is intact.
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

    /// Opens the folder, or reopens it; creates it if it does not exist. \param newDiskId the identity to write if the folder has none.
    Result<raft::Recovered> open(const std::string& folder, DiskId newDiskId);
    /// Adds records to the next write.
    void append(const raft::Persist&);
    /// Writes all added records as one. Durable on return.
    Result<void> sync();
    /// Replaces the snapshot and deletes the log entries that it covers. Durable on return.
    Result<void> saveSnapshot(const raft::Snapshot&);

    [[nodiscard]] DiskId disk() const { return m_disk; }
    /// Bytes truncated from the end of the log when it was opened.
    [[nodiscard]] std::size_t truncatedBytes() const { return m_truncatedBytes; }

private:
    Result<void> openIdentity(DiskId newDiskId);
    Result<raft::Recovered> readLog();
    Result<raft::Snapshot> readSnapshot();
    Result<void> writeRecord(const std::string& payload);
    [[nodiscard]] std::string pathOf(const std::string& name) const { return m_folder + "/" + name; }

    struct Batch;

    std::string m_folder;
    std::unique_ptr<Batch> m_batch; ///< The records that the next sync writes.
    int m_log = -1;
    std::uint64_t m_logSize = 0;
    DiskId m_disk;
    std::size_t m_truncatedBytes = 0;
};

} // namespace wrenhinge
