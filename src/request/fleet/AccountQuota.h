/** \file
 * What one client account may still ask for, as one gateway sees it: its share of a limit that all gateways keep together.
 *
 * A bucket: it fills at the account's rate, up to its depth, and what any gateway admits is taken out of it; the gateway's own admissions
 * at once, those of the others when a controller tells of them. So a gateway that hears the controllers refuses nobody while the
 * account is below its limit, wherever its callers come in, and all gateways together admit no more than the rate but for what is on
 * its way.
 *
 * Between two tellings the others are taken to go on as they did. A gateway that hears of no others (a cut, a freeze, its own start) keeps
 * to its part of the rate by what was known last. The parts of all gateways add up to the rate, and the controllers on the other side of a
 * cut set the same part aside (QuotaAggregator). What a gateway uses within its part it may use without hearing of anybody; beyond that it
 * asks to be told of the others.
 */
#pragma once

#include "message/Messages.h"
#include "request/fleet/DecayingRate.h"
#include "request/fleet/SharedRetryBudget.h"
#include "version/RoutingDocument.h"

namespace wrenhinge {

/// How far all gateways together may go beyond an account's limit, in any window.
struct QuotaSettings {
    Duration window = 8s;
    double excess = 0; ///< Of what the limit allows in the window.
    double slack = 0; ///< In the unit of the limit.
};

namespace quota {

    /// An account counts as busy from this part of its limit on: all gateways are then told of its use several times a second. Below
    /// it nobody needs to know, as each one's bucket fills faster than all together empty it.
    inline constexpr double busyFraction = 0.7;
    /// How often that is.
    inline constexpr Duration broadcastInterval = 100ms;
    /// What a process uses is taken over this time when it has to go on alone.
    inline constexpr Duration usageTimeConstant = 4s;

    /// The rest goes to all gateways alike, since callers come to other gateways when theirs is gone.
    inline constexpr double usageWeight = 0.75;

    /// The part of a limit that a gateway may use which the others don't hear, and that they set aside for it: by its use, and a rest
    /// to all alike. The parts of all add up to the limit.
    ///
    /// \param reserved what is set aside already, for gateways whose use is not in `all`. Without it, those that are cut off one after the
    /// other would share the whole limit once more each time.
    ///
    /// \param own what it used a second, of \param all that all used; zero: not known here, and less than `busyFraction` of the limit.
    double isolatedShare(double limit, double reserved, double own, double all, std::uint32_t gateways);

} // namespace quota

class AccountQuota {
public:
    /// \param now when the rule was first heard of here.
    AccountQuota(const QuotaRule&, const QuotaSettings&, Instant now);

    /// A newer document. What a higher limit allows more is there at once; what a lower one takes away is gone at once.
    void setRule(const QuotaRule&);

    struct Verdict {
        bool isAdmitted = true;
        Duration retryAfter {}; ///< When the bucket will hold enough, after those that were refused before.
    };
    /// Takes the amount out, or says when to come back.
    Verdict admit(double amount, Instant now);
    /// What was admitted has not run.
    void refund(double amount, Instant now);
    /// A controller tells of the use of all others.
    void take(const AccountTotal&, Instant now);
    /// A controller tells of all accounts that are busy, and this is none of them.
    void markNotBusy();
    /// \param hasContact some controller is heard. \param gateways that share the limit.
    void setContact(bool hasContact, std::uint32_t gateways, Instant now);

    /// What was used here since the last call.
    double takeUnreported();
    /// No controller hears of it: keeps as much as the others' buckets may lose by all gateways that come back together.
    void capUnreported(Instant now);
    /// Of the limit, as told last.
    [[nodiscard]] double reservedPerSecond() const { return m_reservedPerSecond; }
    [[nodiscard]] double unreported() const { return m_unreported; }
    /// Use beyond this is reported at once: unreported at all gateways, it is a small part of the bucket.
    [[nodiscard]] double reportThreshold() const;
    [[nodiscard]] const QuotaRule& rule() const { return m_rule; }
    [[nodiscard]] bool isLimited() const { return m_rule.perSecond > 0; }
    /// In the bucket now; below zero after others have used more than was known here.
    [[nodiscard]] double remaining(Instant now);
    /// The account is busy, and no controller has told of it for a while.
    [[nodiscard]] bool isTotalOverdue(Instant now) const
    {
        return (m_isBusy && now - m_lastTotalAt > totalTimeout) || (m_requestedAt && now - *m_requestedAt > totalTimeout);
    }
    /// It uses more than its part, so the others' use should be told.
    [[nodiscard]] bool asksForTotal() const { return m_requestedAt.has_value() || m_exceedsShare; }
    /// There is something to report, or totals are awaited.
    [[nodiscard]] bool isActive() const { return m_unreported != 0 || m_isBusy || asksForTotal(); }
    /// What is known of the account's use here; for operators.
    struct Usage {
        double ownPerSecond = 0;
        double othersPerSecond = 0; ///< Zero unless the account is busy: nobody is told of it then.
        double remaining = 0;
        bool isIsolated = false; ///< No controller tells of the others.
    };
    [[nodiscard]] Usage usage(Instant now);
    [[nodiscard]] std::optional<Instant> lastTotalAt() const
    {
        return m_lastTotalAt == Instant() ? std::nullopt : std::optional(m_lastTotalAt);
    }
    [[nodiscard]] std::uint64_t admitted() const { return m_admitted; }
    [[nodiscard]] std::uint64_t refused() const { return m_refused; }

private:
    /// Several tellings were lost, or their sender is cut off.
    static constexpr Duration totalTimeout = 300ms;
    /// A gateway that has just come hears of the others within this time, and may then have room.
    static constexpr Duration firstTotalDelay = 250ms;
    /// The part of what is allowed beyond the limit that the bucket is deeper by. The rest is for what is admitted before all know of it.
    static constexpr double depthFraction = 0.02;
    /// The part of the slack that a bucket holds at first: a gateway that has just started does not know what was used before.
    static constexpr double initialFillFraction = 1.0 / 32;
    /// The part of it that all gateways may use beyond their parts before they ask how much the others use: a request or so each.
    static constexpr double maxOverdraftFraction = 0.1;
    /// The part of it that is not set aside for gateways that are not heard: what these use for a moment is borne by the excess.
    static constexpr double unreservedFraction = 1.0 / 64;

    struct Allowance {
        double perSecond = 0;
        double depth = 0;
    };
    [[nodiscard]] double tolerance() const;
    [[nodiscard]] double depth() const;
    [[nodiscard]] double share(Instant now) const;
    void recordUsage(double amount, Instant now);
    [[nodiscard]] bool isIsolated(Instant now) const { return !m_hasContact || m_isNew || isTotalOverdue(now); }
    [[nodiscard]] Allowance allowance(Instant now) const;
    void fill(Instant now);
    void enterIsolation(Instant now);
    [[nodiscard]] Duration recordRefusal(double amount, Instant now);

    QuotaRule m_rule;
    QuotaSettings m_settings;
    std::uint32_t m_gateways = SharedRetryBudget::assumedGateways;
    bool m_hasContact = false;
    bool m_isNew = true; ///< Not told of the others since it hears of them: before that it would use up what they have used.
    double m_level = 0;
    Instant m_filledAt;
    double m_unreported = 0;
    DecayingRate m_ownRate { quota::usageTimeConstant };
    std::optional<double> m_isolatedShare; ///< Set while it hears of no others: what it may use a second.
    double m_shareLevel = 0; ///< What it may use at once without hearing of the others.
    bool m_exceedsShare = false;
    std::optional<Instant> m_requestedAt; ///< For totals that have not come yet.
    // As told last.
    Instant m_lastTotalAt;
    bool m_isBusy = false;
    double m_othersPerSecond = 0;
    double m_reservedPerSecond = 0;
    // Refused callers.
    double m_retryDemand = 0; ///< What they will ask for when they come back.
    Instant m_retryDemandAt;
    std::uint64_t m_admitted = 0;
    std::uint64_t m_refused = 0;
};

} // namespace wrenhinge
