/** \file
 * Decides which membership change the leader makes next, one member at a time.
 *
 * The aim is to tolerate the configured number of simultaneous failures, and to replace a failed member before the next failure.
 * To tolerate f failures the log needs 2f + 1 members: the remaining members elect a leader, and only they can register the
 * disks of members that restart with a wiped disk. With three members and two disks wiped at once the log could never make
 * progress again, whatever the number of healthy controllers that are not members.
 *
 * Growth. A cluster starts with a few members; learners that have caught up are added until there are 2f + 1 members, in pairs,
 * since an even number tolerates no more failures than the odd number below it. With fewer disks the number of members is the
 * largest odd number that the disks allow. A learner in the zone with the fewest voters is added first, and a learner replaces a
 * voter of a zone that has at least two voters more than its own zone: an even spread over three or more zones also tolerates the
 * failure of any one zone.
 *
 * Replacement. A controller that has failed for good leaves a cluster that tolerates one failure less. The leader
 * can't know that it won't return, and a new controller at another address doesn't state which one it replaces. Therefore a learner
 * replaces a member that has not replied for some time: the learner is added first, then the unavailable member is removed, so that the
 * majorities of consecutive steps have a common member. Without a learner an unavailable member stays: removing it would make the
 * cluster smaller than configured.
 *
 * Example: members A, B, C; C fails, D connects. D receives the log, [A, B, C, D] is committed by A, B and D, then [A, B, D] by
 * two of these. If C restarts, it is a learner, ready for the next failure; with a further learner E and two failures to tolerate,
 * both are added.
 */
#pragma once

#include "base/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wrenhinge::membership {

/// A member without a reply for this long is replaced if a learner is available. Longer than a restart of a process (about a
/// second), and short enough that both steps end well before the next failure that must be tolerated, 4 s after a repair.
constexpr Duration memberReplacementTimeout = 1800ms;
/// A learner has caught up if it lacks at most this many entries and has replied within `learnerContactTimeout`.
constexpr std::uint64_t learnerLagLimit = 16;
constexpr Duration learnerContactTimeout = 600ms;

/// The state of another controller, as known to the leader.
struct PeerStatus {
    std::string name;
    std::string zone; ///< Its availability zone; empty if unknown.
    bool isLinked = false;
    bool isDiskless = false; ///< It has no durable storage, so it can't be a member.
    bool countsTowardsQuorum = true; ///< Its disk is registered, and it knows that the registration is committed.
    std::uint64_t match = 0; ///< The last log index known to be on its disk.
    Duration sinceLastReply {};
};

/// The input of a decision: the cluster as known to the leader.
struct ClusterView {
    std::vector<std::string> members;
    std::string self;
    std::string selfZone;
    std::vector<PeerStatus> peers;
    std::uint64_t commit = 0; ///< The leader's commit index.
    std::size_t toleratedFailures = 0; ///< Zero: the number of members stays the same.
};

/// The next list of members, or nothing if no change is needed.
std::optional<std::vector<std::string>> plan(const ClusterView&);

} // namespace wrenhinge::membership
