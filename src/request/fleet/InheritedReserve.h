/** \file
 * What a controller that has just started reserves for gateways that were already unreachable for its former run or for another controller.
 *
 * A controller that starts during a network partition knows only the gateways on its side. Those on the other side continue with their
 * shares of each limit (AccountQuota), so without a reservation both sides together would exceed the limit. The gateways on this side were
 * told how many there are and how many are unreachable, and report it.
 */
#pragma once

#include "message/Messages.h"

#include <optional>

namespace wrenhinge {

class InheritedReserve {
public:
    /// \param reservationPeriod for how long the share of an unreachable gateway is reserved.
    explicit InheritedReserve(Duration reservationPeriod)
        : m_reservationPeriod(reservationPeriod)
    {
    }

    void take(const QuotaReport&, Instant now);
    /// The part of each limit that is reserved. It shrinks with each of the gateways that reconnects.
    /// \param gateways that this controller itself counts.
    [[nodiscard]] double share(std::uint32_t gateways, Instant now) const;

private:
    /// Gateways find a new controller and report to it within this time. Counts in later reports may come from its own broadcasts, so they
    /// are ignored.
    static constexpr Duration learningPeriod = 3s;
    /// Gateways that were counted before and have not connected within this time are unreachable, even if no controller had noticed that
    /// before the start.
    static constexpr Duration missingAfter = 2s;

    Duration m_reservationPeriod;
    std::optional<Instant> m_firstReportAt; ///< When the first report arrived.
    GatewayCounts m_knownGateways;
};

} // namespace wrenhinge
