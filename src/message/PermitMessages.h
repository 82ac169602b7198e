/** \file
 * Messages about the request rate limits that replicas state, and the permits for calls to these replicas.
 */
#pragma once

#include "message/QuotaMessages.h"

#include <optional>

namespace wrenhinge {

/// What a run of a replica states of the requests that it takes from all gateways together.
struct ReplicaRateLimit {
    std::string replica;
    ReplicaStart start;
    std::optional<double> perSecond; ///< Unset: it states no limit any more.
    std::uint64_t revision = 0; ///< How many changes of this limit the gateways had observed one after the other.
    [[nodiscard]] ReplicaRun run() const { return { replica, start }; }
    MSGPACK_DEFINE(replica, start, perSecond, revision)
};

/// Changes of limits, or all of them at the start of a link: from gateways to controllers, between controllers, and from controllers to
/// gateways.
struct ReplicaRateLimits {
    std::vector<ReplicaRateLimit> limits;
    MSGPACK_DEFINE(limits)
};

/// What a gateway needs of the permits for one limit.
struct PermitDemand {
    LimitId limit;
    double held = 0; ///< Permits that it has and has not used yet.
    double returned = 0; ///< Permits that it gives back: it can't use them any more.
    std::uint32_t wanted = 0;
    std::uint32_t rank = 0; ///< Of the most urgent call that waits for a permit; lower ones are more urgent.
    MSGPACK_DEFINE(limit, held, returned, wanted, rank)
};

/// From a gateway to the controller that issues its permits. Clock readings are only compared by the process that they come from.
struct PermitRequest {
    std::int64_t sentAt = 0; ///< By the gateway's clock, in microseconds.
    std::int64_t grantSentAt = 0; ///< `sentAt` of the last grant that has arrived; zero: none.
    double lentShare = 0; ///< The part of each limit that the gateway lends to the controller for `permits::lendTerm`.
    std::vector<PermitDemand> demands; ///< Limits that are left out need nothing.
    MSGPACK_DEFINE(sentAt, grantSentAt, lentShare, demands)
};

/// Permits for one limit.
struct IssuedPermits {
    LimitId limit;
    std::uint32_t count = 0;
    MSGPACK_DEFINE(limit, count)
};

/// From a controller to a gateway: the answer to its last request.
struct PermitGrant {
    std::int64_t sentAt = 0; ///< By the controller's clock, in microseconds.
    std::int64_t requestSentAt = 0; ///< `sentAt` of that request.
    std::vector<IssuedPermits> permits;
    MSGPACK_DEFINE(sentAt, requestSentAt, permits)
};

/// From a gateway to a controller while limits are in force.
struct ReplicaUsageReport {
    QuotaReport report; ///< Used by an earlier release, which counted the calls instead; empty.
    PermitRequest permits;
    MSGPACK_DEFINE(report, permits)
};

/// From a controller to a gateway.
struct ReplicaUsageTotals {
    QuotaTotals totals; ///< Used by an earlier release; empty.
    PermitGrant grant;
    MSGPACK_DEFINE(totals, grant)
};

} // namespace wrenhinge
