/** \file
 * Keeps a sidecar's calls within the request rate limit that its upstream states in its answers, and away from it while it rests.
 *
 * All requests to the upstream pass through its sidecar, so a token bucket here holds the limit for all gateways together. It holds one
 * request at most, and is empty when the upstream states a limit.
 */
#pragma once

#include "base/Time.h"
#include "request/fleet/StatedRateLimit.h"

#include <algorithm>
#include <cstddef>
#include <optional>

namespace wrenhinge {

class CallRateLimiter {
public:
    /// Applies what an answer states. A limit is raised or lifted only by the answer to a call that was sent after the limit was known.
    /// \returns whether the limit has changed.
    bool observe(const StatedRateLimit&, Instant calledAt, Instant now);
    /// The upstream has asked for no calls before this time. Of several rests, the one that ends last counts.
    void rest(Instant until) { m_restsUntil = std::max(m_restsUntil, until); }
    [[nodiscard]] bool isResting(Instant now) const { return now < m_restsUntil; }
    [[nodiscard]] bool mayCall(Instant now) const { return !isResting(now) && (!m_perSecond || level(now) >= 1); }
    void recordCall(Instant now) { add(-1, now); }
    /// A recorded call was not sent after all.
    void undoCall(Instant now) { add(1, now); }
    /// Time until a call may be sent before which `ahead` others are to be sent.
    [[nodiscard]] Duration waitFor(std::size_t ahead, Instant now) const;
    /// In requests per second; unset while the upstream states none.
    [[nodiscard]] const std::optional<double>& limit() const { return m_perSecond; }

private:
    [[nodiscard]] double level(Instant now) const;
    void add(double calls, Instant now);

    std::optional<double> m_perSecond;
    Instant m_changedAt; ///< When `m_perSecond` was set or lifted.
    Instant m_restsUntil;
    double m_level = 0;
    Instant m_filledAt;
};

} // namespace wrenhinge
