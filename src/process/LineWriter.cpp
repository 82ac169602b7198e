#include "process/LineWriter.h"

#include "base/SystemClock.h"

#include <cerrno>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace wrenhinge {

namespace {

    /// A pipe that polls as writable takes this much without blocking (PIPE_BUF).
    constexpr std::size_t bytesPerWrite = 4096;
    constexpr int pollMilliseconds = 50;

} // namespace

LineWriter::LineWriter(int fd)
    : m_fd(fd)
    , m_thread([this] { run(); })
{
}

LineWriter::~LineWriter()
{
    {
        std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_one();
    m_thread.join();
}

bool LineWriter::write(const std::string& line)
{
    std::lock_guard lock(m_mutex);
    if (m_queue.size() + m_bytesBeingWritten + line.size() > maxQueuedBytes)
        return false;
    bool wasEmpty = m_queue.empty();
    m_queue += line;
    if (wasEmpty)
        m_changed.notify_one();
    return true;
}

void LineWriter::run()
{
    for (;;) {
        std::string bytes;
        {
            std::unique_lock lock(m_mutex);
            m_changed.wait(lock, [this] { return m_isStopping || !m_queue.empty(); });
            m_changed.wait_for(lock, batchInterval, [this] { return m_isStopping.load(); });
            bytes = std::exchange(m_queue, {});
            m_bytesBeingWritten = bytes.size();
            if (bytes.empty())
                return;
        }
        auto deadline = Instant::max();
        while (!bytes.empty()) {
            if (m_isStopping && deadline == Instant::max())
                deadline = currentInstant() + shutdownTimeout;
            if (currentInstant() >= deadline || !writeSome(bytes))
                return;
        }
        std::lock_guard lock(m_mutex);
        m_bytesBeingWritten = 0;
    }
}

/// Waits for room for a moment and writes what surely does not block. \returns false if nobody will ever read.
bool LineWriter::writeSome(std::string& bytes) const
{
    pollfd descriptor { m_fd, POLLOUT, 0 };
    int ready = ::poll(&descriptor, 1, pollMilliseconds);
    if (ready < 0)
        return errno == EINTR;
    if (descriptor.revents & (POLLERR | POLLNVAL))
        return false;
    if (!ready)
        return true;
    auto n = ::write(m_fd, bytes.data(), std::min(bytes.size(), bytesPerWrite));
    if (n < 0)
        return errno == EINTR || errno == EAGAIN;
    bytes.erase(0, static_cast<std::size_t>(n));
    return true;
}

} // namespace wrenhinge
