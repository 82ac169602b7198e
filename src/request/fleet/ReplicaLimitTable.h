/** \file
 * The request rate limits that replicas state in their answers, as known to one gateway or controller.
 *
 * Several gateways observe the same replica, and their reports cross. Each change that a gateway observes therefore has a revision one
 * above the one it knew. The higher revision counts; of two with the same revision the lower limit counts, so all processes agree in
 * whatever order they receive the changes.
 *
 * A limit is raised or lifted only by an answer to a call that was sent after this process knew of the limit: an answer that was already
 * on its way says nothing about the present. A limit that is stated, or lowered, applies at once.
 *
 * Entries belong to a run of a replica and are dropped with it: a replica that restarts has stated nothing yet.
 */
#pragma once

#include "request/fleet/ReplicaRegistry.h"
#include "request/fleet/StatedRateLimit.h"

#include <map>
#include <optional>
#include <vector>

namespace wrenhinge {

class ReplicaLimitTable {
public:
    /// A run that the registry does not know may be announced late. Its entry is kept for this long.
    static constexpr Duration unknownRetention = 60s;

    /// Applies what an answer of the replica states. \param calledAt when the call was sent. \returns the change, if it is one.
    std::optional<ReplicaRateLimit> observe(const ReplicaRun&, const StatedRateLimit&, Instant calledAt, Instant now);
    /// Applies changes that other processes have observed. \returns those that were new here.
    std::vector<ReplicaRateLimit> take(const std::vector<ReplicaRateLimit>&, Instant now);
    /// All entries, also those of limits that were lifted, for a process that has just connected.
    [[nodiscard]] std::vector<ReplicaRateLimit> all() const;
    /// The limits in force, in requests per second, at least `minRequestsPerSecond`.
    [[nodiscard]] std::map<ReplicaRun, double> limits() const;
    [[nodiscard]] std::map<LimitId, double> limitsById() const;
    [[nodiscard]] bool hasLimits() const;
    /// Drops the entries of runs that have ended. \returns these runs.
    std::vector<ReplicaRun> dropEnded(const ReplicaRegistry&, Instant now);

private:
    struct Entry {
        std::optional<double> perSecond; ///< Unset: lifted.
        std::uint64_t revision = 0;
        Instant changedAt; ///< When this process learned of it.
    };

    std::map<ReplicaRun, Entry> m_entries;
};

/// The id that stands for the limit of this run in messages between processes.
LimitId limitId(const ReplicaRun&);

} // namespace wrenhinge
