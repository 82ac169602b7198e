/** \file
 * Writes a log's lines without ever making the one who logs wait.
 *
 * A pipe that nobody reads blocks its writer for good, and so does a full disk's retry or a slow terminal; a gateway that logged on its
 * requests' strand then answered nobody. Here lines go to a bounded queue, a thread of its own writes them, many at a time, and
 * what does not fit is left out and counted.
 */
#pragma once

#include "base/Time.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

namespace wrenhinge {

class LineWriter {
public:
    /// What waits at most: some 1,500 lines, several seconds of a gateway at the heaviest load seen (300 lines a second).
    static constexpr std::size_t maxQueuedBytes = 256 * 1024;
    /// Lines gather for this long, so that a busy second costs twenty writes and not three hundred.
    static constexpr Duration batchInterval = 50ms;
    /// At the end what waits is written for this long; a reader that has stalled does not keep the process.
    static constexpr Duration shutdownTimeout = 300ms;

    /// \param fd where to write; it stays the caller's.
    explicit LineWriter(int fd);
    ~LineWriter();
    LineWriter(const LineWriter&) = delete;
    LineWriter& operator=(const LineWriter&) = delete;

    /// \returns false if there was no room; the line is left out. Any thread; never waits for the descriptor.
    bool write(const std::string& line);

private:
    void run();
    bool writeSome(std::string& bytes) const;

    int m_fd;
    std::mutex m_mutex; ///< Guards what follows; nothing is locked under it.
    std::condition_variable m_changed;
    std::string m_queue;
    std::size_t m_bytesBeingWritten = 0; ///< Bytes that the thread has taken and not written.
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread; ///< Last: it uses everything above.
};

} // namespace wrenhinge
