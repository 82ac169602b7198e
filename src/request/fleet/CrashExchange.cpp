#include "request/fleet/CrashExchange.h"

#include <set>

namespace wrenhinge {

using Status = CrashTracker::Status;

CrashExchange::Updates CrashExchange::take(const CrashReport& report, Instant now)
{
    Updates updates;
    updates.controllers = m_tracker.take(report, now);
    std::set<RequestFingerprint> requests;
    for (const auto& crash : updates.controllers.crashes)
        requests.insert(crash.request);
    for (const auto& request : requests) {
        auto statusOf = m_tracker.statusOf(request, now);
        // All its crashes: gateways know only those that they saw themselves, and pass over what they know.
        if (statusOf >= Status::Watched)
            m_tracker.describe(request, updates.gateways, now);
        if (statusOf == Status::Refused)
            updates.refused.push_back(request);
    }
    updates.gateways.served = updates.controllers.served;
    return updates;
}

CrashReport CrashExchange::snapshotFor(Role role, Instant now) const
{
    return m_tracker.describeAll(role == Role::Controller ? Status::Unknown : Status::Watched, now);
}

} // namespace wrenhinge
