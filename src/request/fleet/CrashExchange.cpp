#include "request/fleet/CrashExchange.h"

#include <set>

namespace wrenhinge {

using Status = CrashTracker::Status;

CrashExchange::Updates CrashExchange::take(const CrashReport& report, Instant now)
{
    Updates updates;
    updates.controllers = m_tracker.take(report, now);
    std::set<ContentFingerprint> contents;
    for (const auto& crash : updates.controllers.crashes)
        contents.insert(crash.content);
    for (const auto& content : contents) {
        auto status = m_tracker.statusOf(content, now);
        // All crashes under the content, not just the new ones: gateways know only those that they observed themselves, and ignore
        // duplicates.
        if (status >= Status::Watched)
            m_tracker.describe(content, updates.gateways, now);
        if (status == Status::Convicted)
            updates.convicted.push_back(content);
    }
    updates.gateways.served = updates.controllers.served;
    return updates;
}

CrashReport CrashExchange::snapshotFor(Role role, Instant now) const
{
    return m_tracker.describeAll(role == Role::Controller ? Status::Unknown : Status::Watched, now);
}

} // namespace wrenhinge
