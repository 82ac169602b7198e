/** \file
 * A controller's permits to call replicas that state a request rate limit: it creates them by the rights that gateways lend to it, and
 * issues them to the gateways that have calls (PermitTerms.h).
 *
 * A gateway that can no longer be reached takes its right with it when its loan ends, and creates permits itself. Nothing has to be
 * reserved for it, and a controller that has just started needs to know nothing of before.
 */
#pragma once

#include "message/Messages.h"

#include <deque>
#include <map>
#include <utility>
#include <vector>

namespace wrenhinge {

class PermitPool {
public:
    /// Sets the limits in force, in requests per second. The permits for limits that were in force before are kept.
    void setLimits(const std::map<LimitId, double>&, Instant now);
    void disconnected(PeerId gateway);
    void take(PeerId gateway, const PermitRequest&, Instant now);
    /// Returns the grants to send, with their recipients. Call it every `permits::grantInterval`.
    std::vector<std::pair<PeerId, PermitGrant>> grants(Instant now);

private:
    /// A grant that the gateway may not have received yet.
    struct UnconfirmedGrant {
        Instant at;
        std::uint32_t count = 0;
    };
    struct Demand {
        double held = 0; ///< As last reported.
        std::deque<UnconfirmedGrant> unconfirmed;
        std::uint32_t wanted = 0;
        std::uint32_t rank = 0;
        Instant askedAt; ///< Of gateways with the same rank, the one that has waited longest is served first.
        bool waited = false; ///< Permits that were requested before had not been issued when the last request arrived.
        [[nodiscard]] bool isEmpty() const { return held == 0 && wanted == 0 && unconfirmed.empty(); }
    };
    struct Gateway {
        double lentShare = 0;
        Instant lentUntil;
        std::int64_t requestSentAt = 0; ///< By the gateway's clock.
        Instant heardAt;
        bool awaitsReply = false;
        bool isGone = false;
        std::map<LimitId, Demand> demands;
    };
    struct Pool {
        double limit = 0;
        double permits = 0;
    };

    void create(Instant now);
    void dropGone(Instant now);
    [[nodiscard]] double lentShare(Instant now) const;
    [[nodiscard]] double issued(LimitId, Instant now) const;
    using Grants = std::map<PeerId, PermitGrant>;
    void issue(LimitId, Pool&, Grants&, Instant now);

    std::map<LimitId, Pool> m_pools;
    std::map<PeerId, Gateway> m_gateways;
    Instant m_createdUntil;
};

} // namespace wrenhinge
