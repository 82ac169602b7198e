#include "version/MembershipPlan.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace wrenhinge::membership {

namespace {

    using Names = std::vector<std::string>;

    /// Fewer members than these are not made fewer only to have an odd number: two disks hold more than one.
    constexpr std::size_t minMembersToShrink = 3;

    /// The others of a view by what they are at present.
    struct Peers {
        std::vector<const PeerStatus*> voters;
        std::vector<const PeerStatus*> learners; ///< Fit to be added at once.
        const PeerStatus* unavailable = nullptr; ///< The member that has been silent for longest, if one is gone.
        std::size_t healthy = 0; ///< Members that answer and count, the leader among them.
        std::map<std::string, std::size_t> votersIn; ///< Members that are not gone, by zone.
    };

    bool contains(const Names& names, const std::string& name) { return std::find(names.begin(), names.end(), name) != names.end(); }

    /// A member that does not vote as things are: it is silent, or has turned out to keep nothing.
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

    /// The learner to add: of the zone with the fewest voters, so that a zone takes few of them with it; else the one that lacks least.
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

    /// The member to give up where one is too many: of the zone with most voters, and never the leader.
    const PeerStatus* surplusVoter(const Peers& peers)
    {
        auto isBetter = [&peers](const PeerStatus* a, const PeerStatus* b) {
            return std::pair(votersIn(peers, a->zone), a->name) < std::pair(votersIn(peers, b->zone), b->name);
        };
        auto it = std::max_element(peers.voters.begin(), peers.voters.end(), isBetter);
        return it == peers.voters.end() ? nullptr : *it;
    }

    /// Whether the learner in place of a voter of the fullest zone spreads the members more evenly.
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
        // An even number is on its way to the odd one above it.
        return view.toleratedFailures ? 2 * view.toleratedFailures + 1 : view.members.size() | 1;
    }

    /// The member to remove, or nullptr.
    const PeerStatus* memberToRemove(const ClusterView& view, const Peers& peers)
    {
        auto size = view.members.size();
        // Those left must be a majority of the present members too, or the removal takes away more than the loss did.
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
    // An even number bears no more losses than the odd one below it, so it is only a step on the way.
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
