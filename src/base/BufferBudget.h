/** \file
 * How many bytes are buffered for each of several holders, such as requests or connections, and which holder to give up if these are too
 * many together.
 *
 * A faulty peer may send bytes without end, or read none. Of many holders that each stay below a limit of their own the memory may still
 * be too small for all, so the sum is limited too. The holder with the most bytes is given up, which spares the many small ones.
 */
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace wrenhinge {

template <typename Holder> class BufferBudget {
public:
    /// \param limit of all holders together, in bytes.
    explicit BufferBudget(std::size_t limit)
        : m_limit(limit)
    {
    }

    void setLimit(std::size_t limit) { m_limit = limit; }

    void set(const Holder& holder, std::size_t bytes)
    {
        auto it = m_bytes.find(holder);
        auto former = it == m_bytes.end() ? 0 : it->second;
        if (former == bytes)
            return;
        m_sum += bytes - former;
        m_bySize.erase({ former, holder });
        if (!bytes) {
            m_bytes.erase(it);
            return;
        }
        m_bytes[holder] = bytes;
        m_bySize.insert({ bytes, holder });
    }

    /// The holder with the most bytes if all together exceed the limit, else nothing.
    [[nodiscard]] std::optional<Holder> excess() const { return m_sum > m_limit ? std::optional(m_bySize.rbegin()->second) : std::nullopt; }

private:
    std::size_t m_limit;
    std::size_t m_sum = 0;
    std::map<Holder, std::size_t> m_bytes; ///< Holders with at least one byte.
    std::set<std::pair<std::size_t, Holder>> m_bySize;
};

} // namespace wrenhinge
