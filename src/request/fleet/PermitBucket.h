/** \file
 * A gateway's permits to call one replica that states a request rate limit.
 */
#pragma once

#include "message/Messages.h"
#include "request/fleet/DecayingRate.h"

#include <deque>

namespace wrenhinge {

class PermitBucket {
public:
    /// \param now when this gateway learned of the limit.
    PermitBucket(double limit, Instant now)
        : m_limit(limit)
        , m_createdUntil(now)
        , m_retryDemandAt(now)
    {
    }

    /// Sets the limit, in requests per second.
    void setLimit(double limit) { m_limit = limit; }
    [[nodiscard]] double limit() const { return m_limit; }

    /// Creates the permits of this gateway's own right for the time since the last call.
    /// \param share of the limit that this gateway has the right to.
    /// \param from before this time the right was lent to a controller.
    void create(double share, Instant from, Instant now);
    /// Takes a permit. \returns false if there is none. \param draw uniformly distributed from 0 to 1.
    bool tryTake(std::uint32_t rank, Instant now, double draw);
    /// Counts a call that was sent without a permit. Later permits make up for it.
    void charge() { m_own -= 1; }
    /// Puts back the permit of a call that was not sent.
    void putBack() { m_own += 1; }
    /// Adds permits that a controller has issued. \param until when they lapse.
    void add(std::uint32_t count, Instant until, Instant now);

    /// What to request from the controller. Permits that it gives back leave the bucket.
    /// \param share of the limit that this gateway has the right to.
    /// \param lends whether the gateway's right is lent from now on, so that permits of its own go to the controller too.
    PermitDemand demand(LimitId, double share, bool lends, Instant now);
    /// Whether permits are needed that the last request for them does not cover.
    [[nodiscard]] bool hasNewDemand() const { return m_hasNewDemand; }

    /// Permits that can be used now.
    [[nodiscard]] double remaining(Instant now);
    /// Records a caller that will retry. \returns when.
    Duration recordRefusal(double share, Instant now);
    /// When a permit may be left for one more caller.
    [[nodiscard]] Duration retryAfter(double share, Instant now);

private:
    /// Without a controller, and with less than one permit as its part of the capacity, a gateway keeps a fraction of a permit and draws
    /// lots for a whole one. The number of winners varies, so less is created than the limit allows.
    static constexpr double drawnCreationFraction = 0.5;
    static constexpr double drawnCapacityFraction = 0.15;
    static constexpr Duration demandTimeConstant = 2s;
    /// The time for which permits are requested ahead: longer than a request and the grant for it take.
    static constexpr Duration lookahead = 300ms;
    /// A permit that was not used for this long is given back, since another gateway may have a caller for it.
    static constexpr Duration returnAfter = 900ms;
    /// A refused call asks for a permit this long, in which its caller may come back.
    static constexpr Duration refusalMemory = 1s;
    /// For this long after a call, the gateway keeps permits for the next ones if there are any to spare: one, or this part of its share.
    static constexpr Duration spareTime = 30s;
    static constexpr double sparePart = 0.8;

    struct Batch {
        std::uint32_t count = 0;
        Instant addedAt;
        Instant until;
    };

    void dropLapsed(Instant now);
    [[nodiscard]] double issued() const;
    bool takeIssued();
    bool takeOwn(double draw);
    void recordRefused(std::uint32_t rank, Instant now);
    [[nodiscard]] bool isRefusing(Instant now) const { return m_refusedAt && now - *m_refusedAt <= refusalMemory; }
    [[nodiscard]] std::uint32_t removeOld(Instant now);
    [[nodiscard]] double wanted(Instant now) const;
    [[nodiscard]] double usageFraction(double share, Instant now) const;

    double m_limit;
    std::deque<Batch> m_issued; ///< By controllers.
    double m_own = 0; ///< Created by this gateway; negative after calls without a permit.
    bool m_isDrawn = false; ///< Whether lots are drawn for the permits of its own.
    Instant m_createdUntil;
    DecayingRate m_demand { demandTimeConstant };
    std::optional<Instant> m_lastDemandAt;
    DecayingRate m_used { demandTimeConstant };
    std::uint32_t m_refusedRank = 0; ///< The most urgent rank that was refused lately.
    std::optional<Instant> m_refusedAt;
    std::uint32_t m_requested = 0; ///< Permits that were requested and have not arrived.
    std::uint32_t m_requestedRank = 0;
    bool m_hasNewDemand = false;
    double m_retryDemand = 0; ///< Refused callers that will retry.
    Instant m_retryDemandAt;
};

} // namespace wrenhinge
