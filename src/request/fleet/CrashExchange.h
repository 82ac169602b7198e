/** \file
 * Decides which crashes of replicas a controller passes on, and to whom.
 *
 * New crashes go to all other controllers, since a gateway may reach only one side of a network partition. Gateways receive the crashes
 * under some content only once one more crash would convict it, and each further one after that: an engine that crashes leaves some tens of
 * requests with one crash each, and sending these to a hundred gateways would cost thousands of messages to no effect. A process that
 * connects receives a snapshot, so that a gateway or controller that restarts knows what it knew before.
 */
#pragma once

#include "request/fleet/CrashTracker.h"

namespace wrenhinge {

class CrashExchange {
public:
    struct Updates {
        CrashReport controllers;
        CrashReport gateways;
        std::vector<ContentFingerprint> convicted; ///< Content in the report that is convicted and had a new crash.
    };

    /// \returns what to pass on to all but the sender.
    Updates take(const CrashReport&, Instant now);
    /// What to send to a process that has just connected.
    [[nodiscard]] CrashReport snapshotFor(Role, Instant now) const;
    /// Clears crashes that announcements have refuted, and removes expired ones.
    void check(const ReplicaRegistry& registry, Instant now) { m_tracker.dropRefuted(registry, now); }
    [[nodiscard]] const CrashTracker& tracker() const { return m_tracker; }

private:
    CrashTracker m_tracker;
};

} // namespace wrenhinge
