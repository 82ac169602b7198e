/** \file
 * Bounds the memory of all requests in progress.
 */
#pragma once

#include "base/DynamicThreshold.h"

#include <memory>

namespace wrenhinge {

class RequestMemory {
public:
    /// What one request takes, returned when it is destroyed.
    class Share {
    public:
        Share(std::shared_ptr<std::size_t> used, std::size_t bytes)
            : m_used(std::move(used))
            , m_bytes(bytes)
        {
            *m_used += m_bytes;
        }
        ~Share() { *m_used -= m_bytes; }
        Share(const Share&) = delete;
        Share& operator=(const Share&) = delete;

    private:
        std::shared_ptr<std::size_t> m_used; ///< Shared, as a request may outlive its server.
        std::size_t m_bytes;
    };

    /// \param limit of all requests together, in bytes.
    explicit RequestMemory(std::size_t limit)
        : m_limit(limit)
    {
    }

    void setLimit(std::size_t limit) { m_limit = limit; }
    [[nodiscard]] std::size_t used() const { return *m_used; }

    /// \returns nullptr if the request can't be admitted now. One that is alone always is.
    [[nodiscard]] std::shared_ptr<const Share> take(std::size_t bytes)
    {
        if (!fitsBeside(used(), bytes, m_limit))
            return nullptr;
        return std::make_shared<const Share>(m_used, bytes);
    }

private:
    std::size_t m_limit;
    std::shared_ptr<std::size_t> m_used = std::make_shared<std::size_t>(0);
};

} // namespace wrenhinge
