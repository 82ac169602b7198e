/** \file
 * The mechanisms that uphold the invariants, each of which a test can disable to see the invariant fail.
 *
 * A test that passes with and without the mechanism that it covers proves nothing. Each scenario therefore names the
 * safeguard that it covers, and a check runs it again with the safeguard disabled and requires it to fail. The daemon
 * always runs with all of them enabled: only tests set one to false.
 */
#pragma once

namespace wrenhinge {

struct Safeguards {
    // Sidecar.
    bool refusesOtherIncarnation = true; ///< A sidecar refuses a dispatch addressed to an earlier incarnation of it.
    bool honoursSeals = true; ///< A sidecar never admits a sealed attempt.
    bool dropsDuplicates = true; ///< A duplicate message from a gateway starts no work.
    bool releasesForLostGateway = true; ///< The resources of a lost gateway are released.
    bool expiresGrants = true; ///< A grant that is not used in time expires.
    // Gateway.
    bool checksAttempts = true; ///< Messages about an earlier attempt are dropped.
    bool recordsIntent = true; ///< A call with an idempotency key is recorded in the ledger before it is sent.
    bool neverRepeats = true; ///< A call that may have run and is not repeatable is never sent again.
    bool expiresLeases = true; ///< An upstream whose lease has expired gets no new work.
    bool refusesCrashingRequests = true; ///< A request that crashed three replicas is not sent to another one.
    bool cancelsForGoneCaller = true; ///< When a caller disconnects, its request is cancelled at the sidecars.
    bool refusesWithoutLedger = true; ///< Without a majority, a call with an idempotency key is refused instead of being sent unrecorded.
    // Controllers and their followers.
    bool countsOnlyKnownDisks = true; ///< A member with a new disk neither votes nor counts towards a quorum until it is registered.
    bool stepsDownWithoutQuorum = true; ///< A leader that can't reach a majority steps down.
    bool recognisesResends = true; ///< A change that is sent again gets the first reply again.
    bool refusesEqualNumbers = true; ///< Of two changes with the same number, only one is accepted.
    bool neverStepsBack = true; ///< A follower ignores an older configuration.
    bool keepsVotes = true; ///< A vote is written to disk before it is sent.
};

} // namespace wrenhinge
