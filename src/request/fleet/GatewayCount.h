/** \file
 * The number of gateways that share what is limited for all of them together.
 */
#pragma once

#include "base/Time.h"

#include <cstdint>
#include <optional>

namespace wrenhinge {

/// A smaller number is used only once no larger one was reported for a while: gateways that have ended have used their share, and a
/// controller that has just started counts only the gateways that have connected so far.
class GatewayCount {
public:
    /// The number until one is reported: about as many as the largest sites have. With a smaller number, the gateways of a site that
    /// restarts after a power loss would together exceed the limits, when replicas can least handle it.
    static constexpr std::uint32_t assumed = 100;

    /// The memory of a controller for those that share a budget: a gateway that is cut off still uses its share, and one that starts again
    /// is connected only seconds later. Cuts between regions last minutes, but one that is longer is rare.
    static constexpr Duration controllerMemory = 60s;

    /// \param memory for how long a larger number counts.
    explicit GatewayCount(Duration memory)
        : m_memory(memory)
    {
    }

    /// \param n zero: not known.
    void report(std::uint32_t n, Instant now)
    {
        bool isLarger = n >= m_value || !m_reportedAt;
        if (!n || (!isLarger && now - *m_reportedAt <= m_memory))
            return;
        m_value = n;
        m_reportedAt = now;
    }
    [[nodiscard]] std::uint32_t value() const { return m_value; }
    /// Nothing until a number is reported.
    [[nodiscard]] std::optional<std::uint32_t> known() const { return m_reportedAt ? std::optional(m_value) : std::nullopt; }

private:
    Duration m_memory;
    std::uint32_t m_value = assumed;
    std::optional<Instant> m_reportedAt; ///< When this number or a larger one was last reported.
};

} // namespace wrenhinge
