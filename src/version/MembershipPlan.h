/** \file
 * Decides which change of the log's members the leader makes next, one member at a time.
 *
 * The aim is that as many members as the operator wants may be lost at once, and that a loss is repaired before the next one
 * comes. To bear f losses the log needs 2f + 1 members: those that are left elect a leader, and they alone can register the
 * disks of those that come back wiped. With three members and two disks wiped at once the log would be at an end for good, with
 * any number of sound controllers beside it.
 *
 * Growth. The founders are a few; learners that have caught up are added until there are 2f + 1 members, in pairs, since an
 * even number bears no more losses than the odd one below it. With fewer disks there are as many members as the largest odd
 * number of them. A learner of the zone with the fewest voters goes first, and a zone with two voters more than a learner's
 * gives one up for it: an even spread over three zones or more bears the loss of any one zone as well.
 *
 * Replacement. A controller that is gone for good leaves a group that bears one loss less; nobody says that it won't return,
 * and a new one at another address says nothing of whom it replaces. So a learner takes the place of a member that has stayed
 * silent: it is added first, then the silent one is removed, so that each step's majorities share a member with the step
 * before. A silent member without a learner to take its place stays: removing it would make the group smaller than its
 * operator wanted.
 *
 * Example: members A, B, C; C is lost, D comes. D learns the log, [A, B, C, D] is committed by A, B and D, then [A, B, D] by
 * two of these. If C comes back, it is a learner, ready for the next loss; with E beside it and two losses to bear, both are added.
 */
#pragma once

#include "base/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wrenhinge::membership {

/// A member that is silent for this long is replaced if a learner is at hand. Longer than a restart of a process (about a
/// second), and short enough that both steps end well before a second loss is to be borne, 4 s after a repair.
constexpr Duration memberReplacementTimeout = 1800ms;
/// A learner has caught up if it lacks at most this many entries and was heard of within `learnerContactTimeout`.
constexpr std::uint64_t learnerLagLimit = 16;
constexpr Duration learnerContactTimeout = 600ms;

/// Another controller, as the leader sees it.
struct PeerStatus {
    std::string name;
    std::string zone; ///< Its availability zone; empty if it is not known.
    bool isLinked = false;
    bool isDiskless = false; ///< It keeps nothing, so it can't be a member.
    bool countsTowardsQuorum = true; ///< Its disk is the registered one, and it knows that.
    std::uint64_t match = 0; ///< The last log index that is known to be on its disk.
    Duration sinceLastReply {};
};

/// What the leader decides from.
struct ClusterView {
    std::vector<std::string> members;
    std::string self;
    std::string selfZone;
    std::vector<PeerStatus> peers;
    std::uint64_t commit = 0; ///< The leader's commit index.
    std::size_t toleratedFailures = 0; ///< Zero: the number of members stays.
};

/// The next list of members, or nothing if the present one is right.
std::optional<std::vector<std::string>> plan(const ClusterView&);

} // namespace wrenhinge::membership
