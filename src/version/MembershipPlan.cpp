#include "version/MembershipPlan.h"

#include <algorithm>

namespace wrenhinge::membership {

namespace {

    bool hasCaughtUp(const Candidate& candidate, std::uint64_t commit)
    {
        return candidate.isLinked && candidate.match && candidate.silentFor <= learnerHeardWithin
            && candidate.match + learnerLagLimit >= commit;
    }

    bool contains(const std::vector<std::string>& members, const std::string& name)
    {
        return std::find(members.begin(), members.end(), name) != members.end();
    }

} // namespace

std::optional<std::vector<std::string>> plan(const View& view)
{
    const auto& members = view.members;
    const auto& self = view.self;
    const auto& others = view.others;
    auto commit = view.commit;
    const Candidate* learner = nullptr;
    const Candidate* silent = nullptr;
    std::size_t healthy = contains(members, self) ? 1 : 0;
    for (const auto& other : others) {
        if (!contains(members, other.name)) {
            if (hasCaughtUp(other, commit) && (!learner || other.match > learner->match))
                learner = &other;
        } else if (other.silentFor >= silenceBeforeReplacing) {
            if (!silent || other.silentFor > silent->silentFor)
                silent = &other;
        } else {
            ++healthy;
        }
    }
    auto next = members;
    // An even number bears no more losses than the odd one below it, so it is only a step on the way.
    bool isEven = members.size() % 2 == 0;
    if (isEven && silent && healthy > members.size() / 2) {
        std::erase(next, silent->name);
        return next;
    }
    if (learner && (isEven || silent)) {
        next.push_back(learner->name);
        return next;
    }
    return std::nullopt;
}

} // namespace wrenhinge::membership
