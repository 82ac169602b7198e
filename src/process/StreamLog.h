/** \file
 * A controller's stream records on disk, so that callers can resume their streams after all processes have ended at once.
 *
 * Records are appended, and written a moment after they have been confirmed to the gateway, on a separate thread: a stalled disk must not
 * delay the first events of streams. A stream that began in that moment is refused after such a loss. Records are valid for a short time
 * only, so a file is deleted as a whole once all its records have expired.
 */
#pragma once

#include "message/Messages.h"
#include "process/EventLog.h"
#include "process/RefusalLog.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace wrenhinge {

class StreamLog {
public:
    /// Records that arrive within this time are written and synced together.
    static constexpr Duration batchDelay = 100ms;
    /// A file takes records for this long.
    static constexpr Duration fileSpan = 20s;
    /// Records that may wait for the disk. While it is stalled, later ones are not stored.
    static constexpr std::size_t maxUnwritten = 1u << 16;

    /// \param folder the controller's data folder, which must exist.
    StreamLog(std::string folder, EventLog&, RefusalLog&);
    ~StreamLog();
    StreamLog(const StreamLog&) = delete;
    StreamLog& operator=(const StreamLog&) = delete;

    /// The records of former processes that are still valid, in the order in which they were written; empty after the first call.
    [[nodiscard]] std::vector<StreamRecord> takeRestored() { return std::exchange(m_restored, {}); }
    /// Returns immediately. Thread-safe.
    void append(const std::vector<StreamRecord>&);

    /// Records that were written together; one record of the file.
    struct Batch {
        Duration writtenAt {}; ///< Since 1970.
        std::vector<StreamRecord> records;
        MSGPACK_DEFINE(writtenAt, records)
    };
    /// The records in a file's contents that are valid at a time, up to the first damaged batch. \param now since 1970.
    /// \param refused called for each record that can't be used.
    static std::vector<StreamRecord> read(std::string_view bytes, Duration now, const std::function<void(const std::string& why)>& refused);

private:
    struct File {
        std::string path;
        Duration expiresAt {}; ///< Of its last record, since 1970.
    };

    void loadFiles();
    void run();
    void write(const std::vector<StreamRecord>&);
    Result<void> writeBatch(const Batch&);
    Result<void> beginFile(Duration now);
    void endFile();
    void deleteExpired(Duration now);

    std::string m_folder;
    EventLog& m_log;
    RefusalLog& m_refusals;
    std::vector<StreamRecord> m_restored;
    std::vector<File> m_files; ///< The last one is written to if `m_fd` is open.
    std::uint64_t m_lastNumber = 0; ///< Of a file.
    int m_fd = -1;
    Duration m_fileBeganAt {};
    bool m_isFailing = false; ///< The last batch was not written.
    std::mutex m_mutex; ///< Guards the members below; no other mutex is locked while it is held.
    std::condition_variable m_changed;
    std::vector<StreamRecord> m_unwritten;
    bool m_isStopping = false;
    std::thread m_thread; ///< Last, as the thread uses the members above.
};

} // namespace wrenhinge
