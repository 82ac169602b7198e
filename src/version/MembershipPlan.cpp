#include "version/MembershipPlan.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace wrenhinge::membership {

namespace {

    using Names = std::vector<std::string>;

    /// Fewer members than these are not made fewer only to have an odd number: two disks hold more than one.
    constexpr std::size_t fewestMembers = 3;

    /// The others of a view by what they are at present.
    struct Others {
        std::vector<const Candidate*> voters;
        std::vector<const Candidate*> learners; ///< Fit to be added at once.
        const Candidate* gone = nullptr; ///< The member that has been silent for longest, if one is gone.
        std::size_t healthy = 0; ///< Members that answer and count, the leader among them.
        std::map<std::string, std::size_t> votersIn; ///< Members that are not gone, by zone.
    };

    bool contains(const Names& names, const std::string& name) { return std::find(names.begin(), names.end(), name) != names.end(); }

    /// A member that does not vote as things are: it is silent, or has turned out to keep nothing.
    bool isGone(const Candidate& member) { return member.silentFor >= silenceBeforeReplacing || member.isDiskless; }

    bool hasCaughtUp(const Candidate& learner, std::uint64_t commit)
    {
        return learner.isLinked && !learner.isDiskless && learner.match && learner.silentFor <= learnerHeardWithin
            && learner.match + learnerLagLimit >= commit;
    }

    Others sortOthers(const View& view)
    {
        Others others;
        if (contains(view.members, view.self)) {
            others.healthy = 1;
            others.votersIn[view.selfZone] = 1;
        }
        for (const auto& other : view.others) {
            if (!contains(view.members, other.name)) {
                if (hasCaughtUp(other, view.commit))
                    others.learners.push_back(&other);
            } else if (isGone(other)) {
                if (!others.gone || other.silentFor > others.gone->silentFor)
                    others.gone = &other;
            } else {
                others.voters.push_back(&other);
                ++others.votersIn[other.zone];
                others.healthy += other.counts ? 1 : 0;
            }
        }
        return others;
    }

    std::size_t votersIn(const Others& others, const std::string& zone)
    {
        auto it = others.votersIn.find(zone);
        return it == others.votersIn.end() ? 0 : it->second;
    }

    /// The learner to add: of the zone with the fewest voters, so that a zone takes few of them with it; else the one that lacks least.
    const Candidate* bestLearner(const Others& others)
    {
        auto isBetter = [&others](const Candidate* a, const Candidate* b) {
            auto inA = votersIn(others, a->zone);
            auto inB = votersIn(others, b->zone);
            return std::tie(inA, b->match, a->name) < std::tie(inB, a->match, b->name);
        };
        auto it = std::min_element(others.learners.begin(), others.learners.end(), isBetter);
        return it == others.learners.end() ? nullptr : *it;
    }

    /// The member to give up where one is too many: of the zone with most voters, and never the leader.
    const Candidate* spareVoter(const Others& others)
    {
        auto isBetter = [&others](const Candidate* a, const Candidate* b) {
            return std::pair(votersIn(others, a->zone), a->name) < std::pair(votersIn(others, b->zone), b->name);
        };
        auto it = std::max_element(others.voters.begin(), others.voters.end(), isBetter);
        return it == others.voters.end() ? nullptr : *it;
    }

    /// Whether the learner in place of a voter of the fullest zone spreads the members more evenly.
    bool evensOut(const View& view, const Others& others, const Candidate& learner)
    {
        if (!view.lossesToBear || learner.zone.empty())
            return false;
        auto limit = votersIn(others, learner.zone) + 2;
        return std::any_of(others.votersIn.begin(), others.votersIn.end(),
            [limit](const auto& zone) { return !zone.first.empty() && zone.second >= limit; });
    }

    std::size_t wantedMembers(const View& view)
    {
        // An even number is on its way to the odd one above it.
        return view.lossesToBear ? 2 * view.lossesToBear + 1 : view.members.size() | 1;
    }

    /// The member to remove, or nullptr.
    const Candidate* whomToRemove(const View& view, const Others& others)
    {
        auto size = view.members.size();
        // Those left must be a majority of the present members too, or the removal takes away more than the loss did.
        if (others.healthy <= size / 2)
            return nullptr;
        bool isEven = size % 2 == 0;
        bool hasTooMany = size > wantedMembers(view);
        if (others.gone && (isEven || hasTooMany))
            return others.gone;
        bool isStuck = isEven && size > fewestMembers && others.learners.empty();
        return hasTooMany || isStuck ? spareVoter(others) : nullptr;
    }

    /// The learner to add, or nullptr.
    const Candidate* whomToAdd(const View& view, const Others& others)
    {
        const auto* learner = bestLearner(others);
        auto size = view.members.size();
        if (!learner || others.healthy + 1 <= (size + 1) / 2)
            return nullptr;
        bool isEven = size % 2 == 0;
        bool grows = size < wantedMembers(view) && others.learners.size() >= 2;
        return isEven || others.gone || grows || evensOut(view, others, *learner) ? learner : nullptr;
    }

} // namespace

std::optional<std::vector<std::string>> plan(const View& view)
{
    auto others = sortOthers(view);
    auto next = view.members;
    // An even number bears no more losses than the odd one below it, so it is only a step on the way.
    if (const auto* removed = whomToRemove(view, others)) {
        std::erase(next, removed->name);
        return next;
    }
    if (const auto* added = whomToAdd(view, others)) {
        next.push_back(added->name);
        return next;
    }
    return std::nullopt;
}

} // namespace wrenhinge::membership
