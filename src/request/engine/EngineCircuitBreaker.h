/** \file
 * A circuit breaker for an engine, driven by how the requests sent to it ended.
 *
 * An engine can report itself healthy and still reset every request. Its own report doesn't show that, and without the breaker each
 * gateway finds out alone, at the cost of a lost request and a wasted prefill: with tens of gateways, tens of both. The engine's sidecar
 * learns how all requests ended. After a few failures in a row the breaker opens and no more requests are sent; then it lets one probe
 * request through at a time, and closes after the first success.
 *
 * Only consecutive failures reported by more than one gateway count, so that an engine that serves others stays in use when a network
 * partition affects some gateways, when answers are lost occasionally, or when the requests of one caller fail.
 */
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <optional>
#include <set>

namespace wrenhinge {

class EngineCircuitBreaker {
public:
    /// Consecutive failures after which the breaker opens.
    static constexpr std::size_t failureThreshold = 3;
    /// How long it stays open before the first probe; doubled after each failed probe, up to `maxOpenTime`.
    static constexpr Duration initialOpenTime = 500ms;
    static constexpr Duration maxOpenTime = 4s;
    /// If a probe has not ended after this time, another one is sent. The longest streams take 14 s.
    static constexpr Duration probeTimeout = 5s;

    [[nodiscard]] bool isClosed() const { return m_failures < failureThreshold || m_gateways.size() < 2; }
    /// Whether another request may be sent now: always while closed, else only as a probe.
    [[nodiscard]] bool allowsRequest(Instant now) const;
    /// A request was sent; if the breaker is not closed, it is the probe.
    void recordSent(const RequestId&, Instant now);
    void recordSuccess() { *this = {}; }
    void recordFailure(PeerId gateway, const RequestId&, Instant now);
    /// The request was not sent in the end.
    void recordUnused(const RequestId&);

private:
    std::size_t m_failures = 0; ///< Consecutive ones.
    std::set<PeerId> m_gateways; ///< The gateways that reported them.
    Duration m_openTime = initialOpenTime;
    Instant m_openUntil;
    std::optional<RequestId> m_probe; ///< The request whose outcome closes the breaker or keeps it open.
    Instant m_probeSentAt;
};

} // namespace wrenhinge
