/** \file
 * One gateway's view of a client account's rate limit, which all gateways enforce together.
 *
 * Each gateway keeps a token bucket per account. It fills at the account's full rate up to its depth, and the admissions of all gateways
 * are deducted from it: the gateway's own immediately, those of the others when a controller broadcasts them. A gateway in contact with a
 * controller therefore refuses nothing while the account is below its limit, whichever gateways its callers use, and all gateways together
 * exceed the rate only by what has not been reported yet.
 *
 * Between two broadcasts the other gateways are assumed to continue at their last known rate. A gateway that receives no broadcasts
 * (network partition, frozen process, own start) is isolated and admits only an even share of the rate, which the controllers on the other
 * side of a partition reserve for it (QuotaAggregator). A gateway may use its share, and some more, without knowing the usage of the
 * others; beyond that it waits for their total.
 */
#pragma once

#include "message/Messages.h"
#include "request/fleet/DecayingRate.h"
#include "request/fleet/GatewayCount.h"
#include "version/RoutingDocument.h"

namespace wrenhinge {

/// How far all gateways together may exceed an account's limit in any window.
struct QuotaSettings {
    Duration window = 8s;
    double excess = 0; ///< As a fraction of what the limit allows in the window.
    double slack = 0; ///< Added to that, in the unit of the limit.
};

namespace quota {

    /// An account that uses more than this fraction of its limit is busy, and its usage is broadcast to all gateways. Below it no broadcast
    /// is needed, since each bucket fills faster than all gateways together drain it.
    inline constexpr double busyFraction = 0.7;
    /// Interval between two broadcasts of the usage of busy accounts.
    inline constexpr Duration broadcastInterval = 100ms;
    /// Time constant of the average usage.
    inline constexpr Duration usageTimeConstant = 4s;

    /// The share of a limit that an isolated gateway may use, and that the controllers reserve for it. It depends on nothing that the two
    /// could see differently: shares by usage, each taken at another moment of a burst, can add up to twice the limit.
    inline double isolatedShare(double limit, std::uint32_t gateways) { return limit / std::max(1u, gateways); }

} // namespace quota

class AccountQuota {
public:
    /// \param now when this gateway first received the rule.
    AccountQuota(const QuotaRule&, const QuotaSettings&, Instant now);

    /// Applies the rule of a newer document. A higher limit immediately adds the difference in depth to the bucket; a lower one caps the
    /// bucket at the new depth.
    void setRule(const QuotaRule&);

    struct Verdict {
        bool isAdmitted = true;
        Duration retryAfter {}; ///< When the bucket will hold enough, counting the requests that were refused before this one.
    };
    /// Takes the amount from the bucket, or refuses it and says when to retry.
    Verdict admit(double amount, Instant now);
    /// Puts back what was admitted but has not run.
    void refund(double amount, Instant now);
    /// Applies the usage of all other gateways, as broadcast by a controller.
    void take(const AccountTotal&, Instant now);
    /// A controller has broadcast all busy accounts, and this one is not among them.
    void markNotBusy(Instant now);
    /// \param hasContact whether heartbeats from some controller arrive.
    /// \param gateways that share the limit.
    void setContact(bool hasContact, std::uint32_t gateways, Instant now);

    /// Returns the usage since the last call, to be reported.
    double takeUnreported();
    /// Called while no controller is reachable. Limits the backlog of unreported usage to what the buckets of the others can bear if all
    /// isolated gateways reconnect at the same time.
    void capUnreported(Instant now);
    /// The part of the limit reserved for unreachable gateways, as last broadcast.
    [[nodiscard]] double reservedPerSecond() const { return m_reservedPerSecond; }
    [[nodiscard]] double unreported() const { return m_unreported; }
    /// Unreported usage above this is reported without delay. If every gateway has this much unreported, the sum is still a small part of
    /// the bucket.
    [[nodiscard]] double reportThreshold() const;
    [[nodiscard]] const QuotaRule& rule() const { return m_rule; }
    [[nodiscard]] bool isLimited() const { return m_rule.perSecond > 0; }
    /// The level of the bucket; negative after other gateways have used more than was known here.
    [[nodiscard]] double remaining(Instant now);
    /// Whether the account is busy, or its total was requested, and no total has arrived within `totalTimeout`.
    [[nodiscard]] bool isTotalOverdue(Instant now) const
    {
        return (m_isBusy && now - m_lastTotalAt > totalTimeout) || (m_requestedAt && now - *m_requestedAt > totalTimeout);
    }
    /// Whether this gateway uses more than its share, so that it needs to know the usage of the others.
    [[nodiscard]] bool asksForTotal() const { return m_requestedAt.has_value() || m_exceedsShare; }
    /// Whether there is usage to report, or a total is expected.
    [[nodiscard]] bool isActive() const { return m_unreported != 0 || m_isBusy || asksForTotal(); }
    /// The account's usage as known to this gateway; for operators.
    struct Usage {
        double ownPerSecond = 0;
        double othersPerSecond = 0; ///< Zero unless the account is busy, since it is not broadcast otherwise.
        double remaining = 0;
        bool isIsolated = false; ///< No controller provides the usage of the others.
    };
    [[nodiscard]] Usage usage(Instant now);
    [[nodiscard]] std::optional<Instant> lastTotalAt() const
    {
        return m_lastTotalAt == Instant() ? std::nullopt : std::optional(m_lastTotalAt);
    }
    [[nodiscard]] std::uint64_t admitted() const { return m_admitted; }
    [[nodiscard]] std::uint64_t refused() const { return m_refused; }

private:
    /// After this time without a total, several broadcasts were lost or their sender is unreachable.
    static constexpr Duration totalTimeout = 300ms;
    /// A gateway that has just started receives its first total within this time, and may be able to admit more then.
    static constexpr Duration firstTotalDelay = 250ms;
    /// The fraction of the tolerance by which the bucket is deeper than the burst. The rest of the tolerance covers requests that are
    /// admitted before all gateways know of them.
    static constexpr double depthFraction = 0.02;
    /// The fraction of the slack that a new bucket holds. It is small because a gateway that has just started does not know what was used
    /// before.
    static constexpr double initialFillFraction = 1.0 / 32;
    /// The fraction of the tolerance that all gateways together may use beyond their shares before they know the usage of the others.
    static constexpr double maxOverdraftFraction = 0.25;
    /// Reservations up to this fraction of the tolerance don't reduce the limit: the tolerance covers what unreachable gateways use for a
    /// short time.
    static constexpr double unreservedFraction = 1.0 / 64;
    /// Smallest rate for which a Retry-After is computed.
    static constexpr double minRetryPerSecond = 0.01;

    struct Allowance {
        double perSecond = 0;
        double depth = 0;
    };
    /// Whether the usage of the others was known lately.
    [[nodiscard]] bool hasRecentTotal(Instant now) const { return now - std::max(m_lastTotalAt, m_knownCalmAt) <= totalTimeout; }
    bool mustAwaitTotal(Instant now);
    [[nodiscard]] double tolerance() const;
    [[nodiscard]] double depth() const;
    [[nodiscard]] double shareDepth() const { return depth() / m_gateways; }
    [[nodiscard]] double maxOverdraft() const { return maxOverdraftFraction * tolerance() / m_gateways; }
    [[nodiscard]] double share() const { return quota::isolatedShare(m_rule.perSecond, m_gateways); }
    void recordUsage(double amount, Instant now);
    [[nodiscard]] double usageFraction(Instant now) const;
    [[nodiscard]] Duration recordRefusal(double amount, Instant now);
    [[nodiscard]] Duration timeUntil(double amount, Instant now);
    void decayRetryDemand(Instant now);
    [[nodiscard]] bool isIsolated(Instant now) const { return !m_hasContact || m_isNew || isTotalOverdue(now); }
    [[nodiscard]] Allowance allowance(Instant now) const;
    void fill(Instant now);
    void refillShare();

    QuotaRule m_rule;
    QuotaSettings m_settings;
    std::uint32_t m_gateways = GatewayCount::assumed;
    bool m_hasContact = false;
    bool m_isNew = true; ///< No total has arrived since contact began; until then this gateway might admit what others have used already.
    double m_level = 0;
    Instant m_filledAt;
    double m_unreported = 0;
    DecayingRate m_ownRate { quota::usageTimeConstant };
    double m_shareLevel = 0; ///< What this gateway may use at once without knowing the usage of the others.
    bool m_exceedsShare = false;
    std::optional<Instant> m_requestedAt; ///< Set while a requested total has not arrived.
    // As last broadcast.
    Instant m_lastTotalAt;
    Instant m_knownCalmAt; ///< When a controller last broadcast that the account is not busy.
    bool m_isBusy = false;
    double m_othersPerSecond = 0;
    double m_reservedPerSecond = 0;
    // Refused callers.
    double m_retryDemand = 0; ///< What they will request when they retry.
    Instant m_retryDemandAt;
    std::uint64_t m_admitted = 0;
    std::uint64_t m_refused = 0;
};

} // namespace wrenhinge
