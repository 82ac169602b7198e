/** \file
 * How much of a process's memory may be used for what its callers and replicas send.
 *
 * Each kind of use has a limit of its own, so that one that is used up leaves the others. Together they are five eighths of the
 * memory. The rest is for the process itself, connections, and strings, whose capacity exceeds their size.
 */
#pragma once

#include "connection/HttpServer.h"

#include <cstddef>

namespace wrenhinge {

class MemoryShares {
public:
    /// \param memory of the process, in bytes.
    explicit MemoryShares(std::size_t memory)
        : m_memory(memory)
    {
    }

    [[nodiscard]] std::size_t receivedRequests() const { return m_memory / shares; } ///< That have not come whole.
    [[nodiscard]] std::size_t requestsInProgress() const { return m_memory / shares; }
    [[nodiscard]] std::size_t bufferedAnswers() const { return m_memory / shares; } ///< Of replicas, that have not come whole.
    [[nodiscard]] std::size_t unsentAnswers() const { return m_memory / shares; } ///< That wait for callers.
    [[nodiscard]] std::size_t unreadBytes() const { return m_memory / shares; } ///< That the kernel holds.

private:
    static constexpr std::size_t shares = 8;
    std::size_t m_memory;
};

/// The limits of a server that follow from the memory; the others are defaults.
inline HttpServer::Limits limitsFor(const MemoryShares& memory)
{
    HttpServer::Limits limits;
    limits.receivingBytes = memory.receivedRequests();
    limits.progressBytes = memory.requestsInProgress();
    limits.unsentBytes = memory.unsentAnswers();
    limits.unreadBytes = memory.unreadBytes();
    return limits;
}

} // namespace wrenhinge
