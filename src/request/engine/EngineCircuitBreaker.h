/** \file
 * Whether an engine is worth sending to, by how what was sent there ended.
 *
 * An engine may say that it is well and reset whatever it is sent. Its own report doesn't show that, and a gateway finds it out alone, by a
 * request that is lost and a prompt that was read for nothing; with tens of gateways that is as many of them. The engine's sidecar
 * hears of all ends: after a few broken ones in a row nothing more is sent, then one at a time, until one comes to its end.
 *
 * Only ends in a row count, from more than one gateway: a cut that some gateways feel, answers that are lost now and then, and one
 * caller whose requests break leave an engine that serves others in use.
 */
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <optional>
#include <set>

namespace wrenhinge {

class EngineCircuitBreaker {
public:
    /// Broken ends in a row after which nothing more is sent.
    static constexpr std::size_t failureThreshold = 3;
    /// For how long, at first; twice as long after each try that is broken too, up to the longest.
    static constexpr Duration initialOpenTime = 500ms;
    static constexpr Duration maxOpenTime = 4s;
    /// A try that has not ended by then, with the longest streams of 14 s, is followed by another one.
    static constexpr Duration probeTimeout = 5s;

    [[nodiscard]] bool isClosed() const { return m_broken < failureThreshold || m_gateways.size() < 2; }
    /// Whether another request may be sent now.
    [[nodiscard]] bool allowsRequest(Instant now) const;
    /// A request is sent.
    void recordSent(const RequestId&, Instant now);
    void recordSuccess() { *this = {}; }
    void recordFailure(PeerId gateway, const RequestId&, Instant now);
    /// The request was not sent after all.
    void recordUnused(const RequestId&);

private:
    std::size_t m_broken = 0; ///< In a row.
    std::set<PeerId> m_gateways; ///< That have told of these.
    Duration m_pause = initialOpenTime;
    Instant m_closedUntil;
    std::optional<RequestId> m_try; ///< The one that decides.
    Instant m_triedAt;
};

} // namespace wrenhinge
