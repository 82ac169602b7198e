/** \file
 * Writes log lines asynchronously, so that logging never blocks the caller.
 *
 * A pipe that nobody reads blocks its writer forever, and so do retries on a full disk or a slow terminal. A gateway that wrote its log
 * on the strand of its requests stopped responding to all of them. Here lines are put in a bounded queue, a dedicated thread writes them
 * in batches, and lines that do not fit in the queue are dropped and counted by the caller.
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
    /// Capacity of the queue: about 1,500 lines, or several seconds of log from a gateway at the highest load seen (300 lines per second).
    static constexpr std::size_t maxQueuedBytes = 256 * 1024;
    /// Lines are collected for this long before they are written, so that a busy second takes 20 writes instead of 300.
    static constexpr Duration batchInterval = 50ms;
    /// The destructor writes queued lines for at most this long, so that a stalled reader does not delay the end of the process.
    static constexpr Duration shutdownTimeout = 300ms;

    /// \param fd the descriptor to write to; it is not closed.
    explicit LineWriter(int fd);
    ~LineWriter();
    LineWriter(const LineWriter&) = delete;
    LineWriter& operator=(const LineWriter&) = delete;

    /// Queues a line. Thread-safe; never waits for the descriptor. \returns false if the queue is full and the line was dropped.
    bool write(const std::string& line);

private:
    void run();
    bool writeSome(std::string& bytes) const;

    int m_fd;
    std::mutex m_mutex; ///< Guards the members below; no other lock is taken while it is held.
    std::condition_variable m_changed;
    std::string m_queue;
    std::size_t m_bytesBeingWritten = 0; ///< Size of the batch that the thread has taken from the queue, until it is written.
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread; ///< Declared last, since it uses all other members.
};

} // namespace wrenhinge
