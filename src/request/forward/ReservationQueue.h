/** \file
 * The requests of a gateway that wait for a reservation at a decode replica, in the order in which they are admitted.
 *
 * Under the heaviest load the KV memory of the decode replicas is the bottleneck: with prompts of 5,000 tokens and answers of 4 s one
 * replica holds about a dozen requests, and a surge of twice the usual traffic needs more than all of them have. A prefill is wasted
 * if no decode replica has memory for the request, so the reservation is made before the prefill.
 *
 * Order: by rank, lowest first; then requests that can still meet the target, by arrival; then late ones. A request that can't meet
 * the target any more would take a reservation from one that can, so it is refused with Retry-After at that moment. A caller that
 * retries after such a refusal is late already, which shows in its remaining timeout: its request is queued behind the others and
 * waits for a short time for capacity that they leave.
 */
#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <optional>
#include <set>
#include <tuple>
#include <vector>

namespace wrenhinge {

class ReservationQueue {
public:
    /// A queued request.
    struct Waiter {
        RequestId id;
        std::uint32_t rank = 0;
        Instant arrivedAt;
        Instant admitBy; ///< A later reservation is too late to meet the target.
        Instant expiresAt; ///< The request is refused at this time.
    };

    /// A late request waits this long: enough to ask each replica that has not just refused once or twice. Waiting 1.2 s instead took
    /// reservations from requests that could be in time and delayed refusals: a mean score of 0.662 against 0.678 (two runs of eight
    /// test days of surges and failures with nine engines).
    static constexpr Duration maxLateWait = 150ms;

    static Waiter makeWaiter(const RequestId&, std::uint32_t rank, Instant arrivedAt, Instant admitBy, Instant now);

    void add(const Waiter&);
    void remove(const RequestId&);
    /// The queued requests in the order in which to try reservations for them.
    [[nodiscard]] std::vector<RequestId> inOrder(Instant now) const;
    /// Removes the requests that have expired. \returns their ids.
    std::vector<RequestId> takeExpired(Instant now);
    [[nodiscard]] Instant nextExpiry() const;
    [[nodiscard]] std::size_t size() const { return m_waiters.size(); }

private:
    std::vector<Waiter> m_waiters; ///< In order of insertion.
};

} // namespace wrenhinge
