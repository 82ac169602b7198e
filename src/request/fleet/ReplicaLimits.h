/** \file
 * A gateway's view of the request rate limits that replicas state, which all gateways enforce together.
 *
 * A limit is a few requests a second for all gateways, so a gateway's share would be one request in many seconds, or minutes. A controller
 * issues permits to the gateways that have calls instead (PermitClient).
 *
 * A gateway asks `mayCall` for the replica that it prefers. What is granted is a permit for its next call there, so that asking twice for
 * one request takes nothing twice.
 */
#pragma once

#include "request/fleet/PermitClient.h"
#include "request/fleet/ReplicaLimitTable.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace wrenhinge {

class ReplicaLimits {
public:
    /// An unused permit lapses: many unused ones would together allow a burst.
    static constexpr Duration permitLifetime = 200ms;
    /// After a request was refused, less urgent ones get no permit for this long, in which the next permit is due.
    static constexpr Duration urgentHoldTime = 1s;

    /// \param seed of the random draws.
    explicit ReplicaLimits(std::uint64_t seed)
        : m_permits(seed)
    {
    }

    // Which limits there are.
    /// See ReplicaLimitTable::observe.
    std::optional<ReplicaRateLimit> observe(const ReplicaRun&, const StatedRateLimit&, Instant calledAt, Instant now);
    /// See ReplicaLimitTable::take.
    std::vector<ReplicaRateLimit> take(const std::vector<ReplicaRateLimit>&, Instant now);
    [[nodiscard]] std::vector<ReplicaRateLimit> all() const { return m_table.all(); }
    void dropEnded(const ReplicaRegistry&, Instant now);

    // What they allow.
    [[nodiscard]] bool isEmpty() const { return m_limited.empty(); }
    [[nodiscard]] std::size_t size() const { return m_limited.size(); }
    /// Whether the replica may get a call now. \param rank of the request; lower ones are more urgent.
    bool mayCall(const ReplicaRun&, std::uint32_t rank, Instant now);
    /// Counts a call that is sent to the replica, with a permit or, if it can't be avoided, without.
    void recordCall(const ReplicaRun&, Instant now);
    /// A recorded call was not sent after all.
    void undoCall(const ReplicaRun&, Instant now);
    /// When the first of these replicas may get another request; nothing if one of them has no limit.
    std::optional<Duration> retryAfter(const std::vector<ReplicaRun>&, Instant now);
    /// Number of times that a replica was passed over because of its limit.
    [[nodiscard]] std::uint64_t refusals() const { return m_refusals; }
    /// The limit of a replica in requests per second, and what is left of it now; for operators.
    struct Usage {
        double perSecond = 0;
        double remaining = 0;
    };
    std::optional<Usage> usage(const ReplicaRun&, Instant now);

    PermitClient& permits() { return m_permits; }
    [[nodiscard]] Instant nextPermitRequest() const { return m_permits.nextRequest(); }

private:
    struct Limited {
        LimitId id;
        std::optional<Instant> permitUntil;
        std::uint32_t refusedRank = 0; ///< The most urgent rank that was refused lately.
        std::optional<Instant> refusedAt;
    };

    void applyLimits(Instant now);
    PermitBucket* bucketOf(const ReplicaRun&, Instant now);

    ReplicaLimitTable m_table;
    PermitClient m_permits;
    std::map<ReplicaRun, Limited> m_limited;
    std::uint64_t m_refusals = 0;
};

} // namespace wrenhinge
