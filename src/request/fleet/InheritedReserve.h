/** \file
 * What a controller that has just started sets aside for gateways that its former run, or another controller, did not hear.
 *
 * A controller that starts during a cut knows only the gateways on its side. Those on the other side go on by their parts of each limit
 * (AccountQuota), so were nothing set aside for them, both sides together would use more than the limit. The gateways on this side were
 * told what was set aside before, and report it with their use.
 */
#pragma once

#include "message/Messages.h"

#include <optional>
#include <unordered_map>

namespace wrenhinge {

class InheritedReserve {
public:
    /// \param reservationPeriod for how long a gateway that is not heard has its part set aside.
    explicit InheritedReserve(Duration reservationPeriod)
        : m_reservationPeriod(reservationPeriod)
    {
    }

    void take(const QuotaReport&, Instant now);
    /// What is set aside of the account's limit, a second. It gets less with each of those gateways that comes back.
    /// \param gateways that this controller knows itself.
    [[nodiscard]] double perSecond(AccountId, double limit, std::uint32_t gateways, Instant now) const;

private:
    /// Gateways find a new controller, and report, within this time. What they report later they may have been told by it.
    static constexpr Duration learningPeriod = 3s;
    /// Gateways that were counted before and have not come by then are not heard, though nobody may have noticed before the start.
    static constexpr Duration missingAfter = 2s;

    Duration m_reservationPeriod;
    std::optional<Instant> m_firstReportAt; ///< The first report.
    GatewayCounts m_gatewaysSeen;
    std::unordered_map<AccountId, double> m_perSecond;
};

} // namespace wrenhinge
