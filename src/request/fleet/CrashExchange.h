/** \file
 * What a controller does with the crashes of replicas under requests: what of them it tells whom.
 *
 * What is news goes to all other controllers, as a gateway may reach only one side of a cut. Gateways are told of a request only once one
 * more crash would have it refused, and then of each further one: an engine that crashes leaves some tens of requests with one crash each,
 * and to tell these to a hundred gateways would cost thousands of messages for nothing. A process that links hears all at once, so a
 * gateway that has started again knows what it knew before, and so does a controller.
 */
#pragma once

#include "request/fleet/CrashTracker.h"

namespace wrenhinge {

class CrashExchange {
public:
    struct Updates {
        CrashReport controllers;
        CrashReport gateways;
        std::vector<RequestFingerprint> refused; ///< Requests that are refused, and that something new was said of.
    };

    /// \returns what to pass on to all but the sender.
    Updates take(const CrashReport&, Instant now);
    /// What a process that has just linked should hear.
    [[nodiscard]] CrashReport snapshotFor(Role, Instant now) const;
    /// Drops what the announcements have refuted since.
    void check(const ReplicaRegistry& registry, Instant now) { m_tracker.dropRefuted(registry, now); }
    [[nodiscard]] const CrashTracker& tracker() const { return m_tracker; }

private:
    CrashTracker m_tracker;
};

} // namespace wrenhinge
