#include "request/fleet/CrashExchange.h"

#include <set>

namespace wrenhinge {

using Status = CrashTracker::Status;

CrashExchange::Updates CrashExchange::take(const CrashReport& report, Instant now)
{
    Updates told;
    told.controllers = m_tracker.take(report, now);
    std::set<RequestFingerprint> requests;
    for (const auto& crash : told.controllers.crashes)
        requests.insert(crash.request);
    for (const auto& request : requests) {
        auto status = m_tracker.statusOf(request, now);
        // All crashes of the request, not just the new ones: gateways know only those that they observed themselves, and ignore duplicates.
        if (status >= Status::Watched)
            m_tracker.describe(request, told.gateways, now);
        if (status == Status::Refused)
            told.refused.push_back(request);
    }
    told.gateways.served = told.controllers.served;
    return told;
}

CrashReport CrashExchange::snapshotFor(Role role, Instant now) const
{
    return m_tracker.describeAll(role == Role::Controller ? Status::Unknown : Status::Watched, now);
}

} // namespace wrenhinge
