#include "request/fleet/CrashExchange.h"

#include <set>

namespace wrenhinge {

using Standing = CrashTracker::Standing;

CrashExchange::Told CrashExchange::take(const CrashReport& report, Instant now)
{
    Told told;
    told.controllers = m_tracker.take(report, now);
    std::set<RequestFingerprint> requests;
    for (const auto& crash : told.controllers.crashes)
        requests.insert(crash.request);
    for (const auto& request : requests) {
        auto standing = m_tracker.standing(request, now);
        // All its crashes: gateways know only those that they saw themselves, and pass over what they know.
        if (standing >= Standing::Watched)
            m_tracker.describe(request, told.gateways, now);
        if (standing == Standing::Refused)
            told.refused.push_back(request);
    }
    told.gateways.served = told.controllers.served;
    return told;
}

CrashReport CrashExchange::forPeer(Role role, Instant now) const
{
    return m_tracker.describeAll(role == Role::Controller ? Standing::Unknown : Standing::Watched, now);
}

} // namespace wrenhinge
