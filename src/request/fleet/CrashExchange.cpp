#include "request/fleet/CrashExchange.h"

#include <set>

namespace wrenhinge {

using Status = CrashTracker::Status;

CrashExchange::Updates CrashExchange::take(const CrashReport& report, Instant now)
{
    Updates updates;
    updates.controllers = m_tracker.take(report, now);
    std::set<ContentFingerprint> requests;
    for (const auto& crash : updates.controllers.crashes)
        requests.insert(crash.request);
    for (const auto& request : requests) {
        auto status = m_tracker.statusOf(request, now);
        // All crashes of the request, not just the new ones: gateways know only those that they observed themselves, and ignore duplicates.
        if (status >= Status::Watched)
            m_tracker.describe(request, updates.gateways, now);
        if (status == Status::Refused)
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
