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
 * cut set the same part aside (QuotaExchange). What a gateway uses within its part it may use without hearing of anybody; beyond that it
 * asks to be told of the others.
 */
#pragma once

#include "message/Messages.h"
#include "request/fleet/SharedRetryBudget.h"
#include "request/fleet/UseRate.h"
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
    inline constexpr double busyPart = 0.7;
    /// How often that is.
    inline constexpr Duration tellEvery = 100ms;
    /// What a process uses is taken over this time when it has to go on alone.
    inline constexpr Duration shareMemory = 4s;

    /// The rest goes to all gateways alike, since callers come to other gateways when theirs is gone.
    inline constexpr double partOfUse = 0.75;

    /// The part of a limit that a gateway may use which the others don't hear, and that they set aside for it: by its use, and a rest
    /// to all alike. The parts of all add up to the limit.
    ///
    /// \param reserved what is set aside already, for gateways whose use is not in `all`. Without it, those that are cut off one after the
    /// other would share the whole limit once more each time.
    ///
    /// \param own what it used a second, of \param all that all used; zero: not known here, and less than `busyPart` of the limit.
    double partAlone(double limit, double reserved, double own, double all, std::uint32_t gateways);

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
    void giveBack(double amount, Instant now);
    /// A controller tells of the use of all others.
    void take(const AccountTotal&, Instant now);
    /// A controller tells of all accounts that are busy, and this is none of them.
    void takeCalm();
    /// \param isHearing some controller is heard. \param gateways that share the limit.
    void setContact(bool isHearing, std::uint32_t gateways, Instant now);

    /// What was used here since the last call.
    double takeUnreported();
    /// No controller hears of it: keeps as much as the others' buckets may lose by all gateways that come back together.
    void keepUnreported(Instant now);
    /// Of the limit, as told last.
    [[nodiscard]] double reservedPerSecond() const { return m_reservedPerSecond; }
    [[nodiscard]] double unreported() const { return m_unreported; }
    /// Use beyond this is reported at once: unreported at all gateways, it is a small part of the bucket.
    [[nodiscard]] double reportBeyond() const;
    [[nodiscard]] const QuotaRule& rule() const { return m_rule; }
    [[nodiscard]] bool isLimited() const { return m_rule.perSecond > 0; }
    /// In the bucket now; below zero after others have used more than was known here.
    [[nodiscard]] double left(Instant now);
    /// The account is busy, and no controller has told of it for a while.
    [[nodiscard]] bool missesTotals(Instant now) const
    {
        return (m_isBusy && now - m_toldAt > totalsLate) || (m_askedAt && now - *m_askedAt > totalsLate);
    }
    /// It uses more than its part, so the others' use should be told.
    [[nodiscard]] bool asksForTotal() const { return m_askedAt.has_value() || m_isPressing; }
    /// There is something to report, or totals are awaited.
    [[nodiscard]] bool isActive() const { return m_unreported != 0 || m_isBusy || asksForTotal(); }
    /// What is known of the account's use here; for operators.
    struct Use {
        double ownPerSecond = 0;
        double othersPerSecond = 0; ///< Zero unless the account is busy: nobody is told of it then.
        double left = 0;
        bool isAlone = false; ///< No controller tells of the others.
    };
    [[nodiscard]] Use use(Instant now);
    [[nodiscard]] std::optional<Instant> toldAt() const { return m_toldAt == Instant() ? std::nullopt : std::optional(m_toldAt); }
    [[nodiscard]] std::uint64_t admitted() const { return m_admitted; }
    [[nodiscard]] std::uint64_t refused() const { return m_refused; }

private:
    /// Several tellings were lost, or their sender is cut off.
    static constexpr Duration totalsLate = 300ms;
    /// A gateway that has just come hears of the others within this time, and may then have room.
    static constexpr Duration untilTold = 250ms;
    /// The part of what is allowed beyond the limit that the bucket is deeper by. The rest is for what is admitted before all know of it.
    static constexpr double depthPart = 0.02;
    /// The part of the slack that a bucket holds at first: a gateway that has just started does not know what was used before.
    static constexpr double startPart = 1.0 / 32;
    /// The part of it that all gateways may use beyond their parts before they ask how much the others use: a request or so each.
    static constexpr double mostUnheardPart = 0.1;
    /// The part of it that is not set aside for gateways that are not heard: what these use for a moment is borne by the excess.
    static constexpr double sparePart = 1.0 / 64;

    struct Allowance {
        double perSecond = 0;
        double depth = 0;
    };
    [[nodiscard]] double tolerance() const;
    [[nodiscard]] double depth() const;
    [[nodiscard]] double part(Instant now) const;
    void noteUse(double amount, Instant now);
    [[nodiscard]] bool isAlone(Instant now) const { return !m_isHearing || m_isNew || missesTotals(now); }
    [[nodiscard]] Allowance allowance(Instant now) const;
    void fill(Instant now);
    void becomeAlone(Instant now);
    [[nodiscard]] Duration noteRefusal(double amount, Instant now);

    QuotaRule m_rule;
    QuotaSettings m_settings;
    std::uint32_t m_gateways = SharedRetryBudget::gatewaysUnknown;
    bool m_isHearing = false;
    bool m_isNew = true; ///< Not told of the others since it hears of them: before that it would use up what they have used.
    double m_level = 0;
    Instant m_filledAt;
    double m_unreported = 0;
    UseRate m_own { quota::shareMemory };
    std::optional<double> m_partAlone; ///< Set while it hears of no others: what it may use a second.
    double m_withinPart = 0; ///< What it may use at once without hearing of the others.
    bool m_isPressing = false;
    std::optional<Instant> m_askedAt; ///< For totals that have not come yet.
    // As told last.
    Instant m_toldAt;
    bool m_isBusy = false;
    double m_othersPerSecond = 0;
    double m_reservedPerSecond = 0;
    // Refused callers.
    double m_promised = 0; ///< What they will ask for when they come back.
    Instant m_promisedAt;
    std::uint64_t m_admitted = 0;
    std::uint64_t m_refused = 0;
};

} // namespace wrenhinge
