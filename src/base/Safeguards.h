/** \file
 * The safeguards that the invariants rest on, each of which a test can take out to see the invariant break.
 *
 * A test that passes with and without the mechanism it is meant for proves nothing. Scenarios therefore name the
 * safeguard they are about, and a check runs each one again without it and demands that it fails. The daemon always runs
 * with all of them: nothing but tests sets one to false.
 */
#pragma once

namespace wrenhinge {

struct Safeguards {
    // Sidecar.
    bool refusesOtherIncarnation = true; ///< A dispatch meant for an earlier run of the sidecar is refused.
    bool honoursSeals = true; ///< A sealed attempt is never admitted.
    bool dropsDuplicates = true; ///< A repeated message of a gateway starts nothing.
    bool releasesForLostGateway = true; ///< What a lost gateway held is released.
    bool expiresGrants = true; ///< A grant that is not used lapses.
    // Gateway.
    bool checksAttempts = true; ///< Messages of a former attempt are dropped.
    bool recordsIntent = true; ///< A keyed call is in the ledger before it is sent.
    bool neverRepeats = true; ///< A call that may have run and may not be repeated is not sent again.
    bool expiresLeases = true; ///< An upstream whose lease has run out gets no new work.
    bool refusesCrashingRequests = true; ///< A request under which three replicas have crashed is not sent to another one.
    bool cancelsForGoneCaller = true; ///< A caller's leaving is passed on to the sidecars.
    bool refusesWithoutLedger = true; ///< Without a majority a keyed call is refused, not sent unrecorded.
    // Controllers and those who follow them.
    bool countsOnlyKnownDisks = true; ///< A member with a new disk neither votes nor counts until it is registered.
    bool stepsDownWithoutQuorum = true; ///< A leader that reaches no majority stops leading.
    bool recognisesResends = true; ///< A change that is sent again gets the first answer.
    bool refusesEqualNumbers = true; ///< Of two changes with the same number one loses.
    bool neverStepsBack = true; ///< A follower ignores an older configuration.
    bool keepsVotes = true; ///< A vote is on disk before it is told.
};

} // namespace wrenhinge
