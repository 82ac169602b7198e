/** \file
 * Messages about the quotas of client accounts.
 */
#pragma once

#include "message/MessageTypes.h"

namespace wrenhinge {

/// What one gateway has admitted for an account since its last report; `amount` is negative if more was refunded than admitted.
struct AccountUsage {
    AccountId account;
    double amount = 0;
    double perSecond = 0; ///< The account's limit.
    bool asksForTotal = false; ///< The gateway uses more than it may without knowing the other gateways' usage.
    double reservedPerSecond = 0; ///< Part of the limit reserved for unreachable gateways, as last received; used by an earlier release.
    MSGPACK_DEFINE(account, amount, perSecond, asksForTotal, reservedPerSecond)
};

/// The gateways that share the limits, as seen by one controller.
struct GatewayCounts {
    std::uint32_t all = 0;
    std::uint32_t unreachable = 0; ///< Of these, the ones that don't report to the controller; part of each limit is reserved for them.
    MSGPACK_DEFINE(all, unreachable)
};

/// From a gateway to all controllers, twice a second and soon after heavy use.
struct QuotaReport {
    std::vector<AccountUsage> uses;
    bool wantsTotals = false; ///< The gateway uses this controller's totals.
    bool asksForAll = false; ///< The gateway doesn't know which accounts are near their limits.
    GatewayCounts knownGateways; ///< From the totals that the gateway used last, for a controller that has just started.
    MSGPACK_DEFINE(uses, wantsTotals, asksForAll, knownGateways)
};

/// What all other gateways have used of an account's limit.
struct AccountTotal {
    AccountId account;
    double othersUsage = 0; ///< Since the last total sent to this gateway, or over a short recent period if that is longer ago.
    double othersPerSecond = 0;
    double reservedPerSecond = 0; ///< Part of the limit reserved for gateways that are unreachable for the sender.
    bool isBusy = false; ///< The account is near its limit; further totals follow soon.
    MSGPACK_DEFINE(account, othersUsage, othersPerSecond, reservedPerSecond, isBusy)
};

/// From a controller to the gateways that use its totals, while accounts are near their limits.
struct QuotaTotals {
    std::vector<AccountTotal> totals;
    bool isComplete = false; ///< No account outside `totals` is near its limit.
    GatewayCounts gateways;
    MSGPACK_DEFINE(totals, isComplete, gateways)
};

} // namespace wrenhinge
