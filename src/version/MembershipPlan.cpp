#include "version/MembershipPlan.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace wrenhinge::membership {

namespace {

    using Names = std::vector<std::string>;

    /// An even number of members is made odd by a removal only above this number: two disks are safer than one.
    constexpr std::size_t minMembersToShrink = 3;

    /// The other controllers, classified by their current state.
    struct Peers {
        std::vector<const PeerStatus*> voters;
        std::vector<const PeerStatus*> learners; ///< Those that have caught up and can be added.
        const PeerStatus* unavailable = nullptr; ///< The unavailable member with the oldest last reply, if any.
        std::size_t healthy = 0; ///< Available members that count towards a majority, including the leader.
        std::map<std::string, std::size_t> votersIn; ///< Available members by zone.
    };

    bool contains(const Names& names, const std::string& name) { return std::find(names.begin(), names.end(), name) != names.end(); }

    /// Whether a member can't vote now: it has not replied for too long, or it has reported that it has no disk.
    bool isUnavailable(const PeerStatus& member) { return member.sinceLastReply >= memberReplacementTimeout || member.isDiskless; }

    bool hasCaughtUp(const PeerStatus& learner, std::uint64_t commit)
    {
        return learner.isLinked && !learner.isDiskless && learner.match && learner.sinceLastReply <= learnerContactTimeout
            && learner.match + learnerLagLimit >= commit;
    }

    Peers classifyPeers(const ClusterView& view)
    {
        Peers peers;
        if (contains(view.members, view.self)) {
            peers.healthy = 1;
            peers.votersIn[view.selfZone] = 1;
        }
        for (const auto& peer : view.peers) {
            if (!contains(view.members, peer.name)) {
                if (hasCaughtUp(peer, view.commit))
                    peers.learners.push_back(&peer);
            } else if (isUnavailable(peer)) {
                if (!peers.unavailable || peer.sinceLastReply > peers.unavailable->sinceLastReply)
                    peers.unavailable = &peer;
            } else {
                peers.voters.push_back(&peer);
                ++peers.votersIn[peer.zone];
                peers.healthy += peer.countsTowardsQuorum ? 1 : 0;
            }
        }
        return peers;
    }

    std::size_t votersIn(const Peers& peers, const std::string& zone)
    {
        auto it = peers.votersIn.find(zone);
        return it == peers.votersIn.end() ? 0 : it->second;
    }

    /// The learner to add: one in the zone with the fewest voters, so that the failure of a zone affects few voters; among these the most
    /// up-to-date one.
    const PeerStatus* preferredLearner(const Peers& peers)
    {
        auto isBetter = [&peers](const PeerStatus* a, const PeerStatus* b) {
            auto inA = votersIn(peers, a->zone);
            auto inB = votersIn(peers, b->zone);
            return std::tie(inA, b->match, a->name) < std::tie(inB, a->match, b->name);
        };
        auto it = std::min_element(peers.learners.begin(), peers.learners.end(), isBetter);
        return it == peers.learners.end() ? nullptr : *it;
    }

    /// The member to remove if there are too many: one in the zone with the most voters, never the leader.
    const PeerStatus* surplusVoter(const Peers& peers)
    {
        auto isBetter = [&peers](const PeerStatus* a, const PeerStatus* b) {
            return std::pair(votersIn(peers, a->zone), a->name) < std::pair(votersIn(peers, b->zone), b->name);
        };
        auto it = std::max_element(peers.voters.begin(), peers.voters.end(), isBetter);
        return it == peers.voters.end() ? nullptr : *it;
    }

    /// Whether replacing a voter in the zone with the most voters by the learner spreads the members more evenly.
    bool improvesZoneSpread(const ClusterView& view, const Peers& peers, const PeerStatus& learner)
    {
        if (!view.toleratedFailures || learner.zone.empty())
            return false;
        auto limit = votersIn(peers, learner.zone) + 2;
        return std::any_of(peers.votersIn.begin(), peers.votersIn.end(),
            [limit](const auto& zone) { return !zone.first.empty() && zone.second >= limit; });
    }

    std::size_t targetMemberCount(const ClusterView& view)
    {
        // An even number is a step towards the odd number above it.
        return view.toleratedFailures ? 2 * view.toleratedFailures + 1 : view.members.size() | 1;
    }

    /// The member to remove, or nullptr.
    const PeerStatus* memberToRemove(const ClusterView& view, const Peers& peers)
    {
        auto size = view.members.size();
        // The healthy members must be a majority of the current members too; otherwise the removal would make availability worse.
        if (peers.healthy <= size / 2)
            return nullptr;
        bool isEven = size % 2 == 0;
        bool hasTooMany = size > targetMemberCount(view);
        if (peers.unavailable && (isEven || hasTooMany))
            return peers.unavailable;
        bool cannotGrow = isEven && size > minMembersToShrink && peers.learners.empty();
        return hasTooMany || cannotGrow ? surplusVoter(peers) : nullptr;
    }

    /// The learner to add, or nullptr.
    const PeerStatus* learnerToAdd(const ClusterView& view, const Peers& peers)
    {
        const auto* learner = preferredLearner(peers);
        auto size = view.members.size();
        if (!learner || peers.healthy + 1 <= (size + 1) / 2)
            return nullptr;
        bool isEven = size % 2 == 0;
        bool grows = size < targetMemberCount(view) && peers.learners.size() >= 2;
        return isEven || peers.unavailable || grows || improvesZoneSpread(view, peers, *learner) ? learner : nullptr;
    }

} // namespace

std::optional<std::vector<std::string>> plan(const ClusterView& view)
{
    auto peers = classifyPeers(view);
    auto next = view.members;
    // An even number tolerates no more failures than the odd number below it, so it is only an intermediate step.
    if (const auto* removed = memberToRemove(view, peers)) {
        std::erase(next, removed->name);
        return next;
    }
    if (const auto* added = learnerToAdd(view, peers)) {
        next.push_back(added->name);
        return next;
    }
    return std::nullopt;
}

} // namespace wrenhinge::membership
