/** \file
 * The requests of a gateway that wait for a place at a decode replica: who goes first, and who is better told to come back.
 *
 * What binds on the heaviest days is the KV memory of the decode replicas: with prompts of 5,000 tokens and answers of 4 s one
 * holds about a dozen requests, and a surge of twice the usual traffic asks for more than all of them hold. A prompt that is
 * read without a place waiting for it is read in vain, so the place comes first.
 *
 * Order: by the route's rank; then those that can still be in time, by arrival; then those that can't. One that can't be in time
 * any more would take a place from one that can, for a fraction of its worth, so at that moment it is told when to come back.
 * A caller that has come back is late already, which shows in what is left of its patience: it goes behind, and waits a little
 * for what the others leave.
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
    /// A request that waits.
    struct Waiter {
        RequestId id;
        std::uint32_t rank = 0;
        Instant arrivedAt;
        Instant admitBy; ///< A place that comes later is too late for the target.
        Instant expiresAt; ///< It is refused then.
    };

    /// A late request waits this long: time to ask each replica that has not just refused once or twice. Waiting 1.2 s instead
    /// took places from requests that could be in time and held callers who were refused in the end: 0.662 against 0.678 (mean
    /// worth of eight days of surge and trouble with nine engines, twice).
    static constexpr Duration maxLateWait = 150ms;

    static Waiter makeWaiter(const RequestId&, std::uint32_t rank, Instant arrivedAt, Instant admitBy, Instant now);

    void add(const Waiter&);
    void remove(const RequestId&);
    /// The waiters in the order in which places are tried for them.
    [[nodiscard]] std::vector<RequestId> inOrder(Instant now) const;
    /// Takes out those whose time to leave has come.
    std::vector<RequestId> takeExpired(Instant now);
    [[nodiscard]] Instant nextExpiry() const;
    [[nodiscard]] std::size_t size() const { return m_waiters.size(); }

private:
    std::vector<Waiter> m_waiters; ///< By arrival.
};

} // namespace wrenhinge
