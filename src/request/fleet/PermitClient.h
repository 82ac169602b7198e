/** \file
 * The permits of one gateway to call replicas that state a request rate limit: which controller issues them, and what this gateway creates
 * by its own right (PermitTerms.h).
 *
 * All gateways use the reachable controller with the lowest id, so that permits that one doesn't need reach the others. If they disagree,
 * for example on two sides of a network partition, each controller issues what its gateways have lent to it.
 */
#pragma once

#include "request/fleet/GatewayCount.h"
#include "request/fleet/PermitBucket.h"

#include <map>
#include <optional>
#include <random>
#include <utility>

namespace wrenhinge {

class PermitClient {
public:
    /// A controller counts as reachable if something was received from it within this time. Its heartbeats come once a second.
    static constexpr Duration contactTimeout = 1300ms;
    /// Interval between two requests. Each one renews the loan of this gateway's right.
    static constexpr Duration requestInterval = 500ms;
    /// Delay of a request once more permits are needed.
    static constexpr Duration promptRequestDelay = 20ms;

    /// \param seed of the random draws.
    explicit PermitClient(std::uint64_t seed)
        : m_random(seed)
    {
    }

    /// Sets the limits in force, in requests per second. The permits for limits that were in force before are kept.
    void setLimits(const std::map<LimitId, double>&, Instant now);
    /// Takes a permit. \param rank of the call; lower ones are more urgent. \returns false if there is none.
    bool tryTake(LimitId, std::uint32_t rank, Instant now);
    void charge(LimitId, Instant now);
    void putBack(LimitId, Instant now);
    /// The bucket with the permits that exist now, or null if no such limit is in force.
    PermitBucket* find(LimitId, Instant now);
    [[nodiscard]] double share() const { return 1.0 / m_gateways; }

    // Received from controllers.
    void setGateways(std::uint32_t n, Instant now);
    void noteContact(PeerId controller, Instant now) { m_lastHeardAt[controller] = now; }
    void disconnected(PeerId controller);
    void take(PeerId controller, const PermitGrant&, Instant now);

    /// The controller that this gateway requests permits from.
    [[nodiscard]] std::optional<PeerId> controller() const { return m_controller; }
    /// Whether a controller issues permits to this gateway.
    [[nodiscard]] bool hasController(Instant now) const { return m_grantSentAt != 0 && m_controller && isReachable(*m_controller, now); }

    /// The request to send, and to whom. \returns nothing before `nextRequest`, or without contact to a controller.
    std::optional<std::pair<PeerId, PermitRequest>> request(Instant now);
    [[nodiscard]] Instant nextRequest() const { return m_requestAt; }

private:
    /// A controller that does not answer a request within this time is unreachable, even if its heartbeats still arrive.
    static constexpr Duration replyTimeout = 600ms;
    /// For this long it is used only if there is no other.
    static constexpr Duration avoidance = 5s;

    void createOwn(Instant now);
    void chooseController(Instant now);
    [[nodiscard]] bool isReachable(PeerId, Instant now) const;
    [[nodiscard]] bool mayLend(Instant now) const;

    std::map<LimitId, PermitBucket> m_buckets;
    std::uint32_t m_gateways = GatewayCount::assumed;
    std::map<PeerId, Instant> m_lastHeardAt; ///< By controller.
    std::map<PeerId, Instant> m_avoidedUntil; ///< Controllers that have not answered.
    std::optional<PeerId> m_controller; ///< It issues this gateway's permits.
    std::int64_t m_grantSentAt = 0; ///< By its last grant; zero if none has arrived.
    std::optional<Instant> m_unansweredSince; ///< When the first request that it has not answered was sent.
    std::optional<PeerId> m_borrower; ///< The controller that this gateway's right was last lent to.
    Instant m_lentUntil; ///< This gateway creates nothing before.
    bool m_hasStarted = false;
    Instant m_requestAt = Instant::max();
    std::mt19937_64 m_random;
};

} // namespace wrenhinge
