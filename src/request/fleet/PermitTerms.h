/** \file
 * What gateways (PermitClient) and controllers (PermitPool) agree on about the permits for replicas that state a request rate limit.
 *
 * Each of n gateways has the right to create an n-th of the permits that a limit allows. A right is exercised at one place at a time: by
 * the gateway itself or, while the gateway lends it, by one controller. The permits that exist unused at one time are bounded too. So
 * whatever the demand and whoever fails, the calls in any time t are at most `limit * t + capacity(limit)`.
 *
 * The users' rule allows 1.5 times the limit plus 5 requests in 4 s, which is `limit * 4 s + 2 s * limit + 5`.
 */
#pragma once

#include "base/Time.h"

namespace wrenhinge::permits {

/// For how long a request lends a gateway's right to the controller. The controller counts from a time before the request was sent, the
/// gateway from the sending, so the controller always stops first, however long the request was on its way.
inline constexpr Duration lendTerm = 1500ms;
/// A permit that has not been used this long after the request for it lapses.
inline constexpr Duration lifetime = 2s;
/// Interval between two grants of a controller.
inline constexpr Duration grantInterval = 100ms;

/// The number of permits that may exist unused at one time, for a limit in requests per second. It is three fifths of what the users' rule
/// tolerates beyond the limit. The rest covers permits that outlast a lent right, and calls that reach a replica closer together than
/// they were sent.
constexpr double capacity(double limit)
{
    constexpr double perSecond = 1.2;
    constexpr double fixed = 3;
    return perSecond * limit + fixed;
}

} // namespace wrenhinge::permits
