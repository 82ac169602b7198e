/** \file
 * Random schedules of starts, cuts, freezes, surges and callers that move, in series and overlapping, while all gateways retry as often as
 * their shared budget allows. Arguments: the seed, and how many schedules.
 */
#include "RetryFleet.h"

#include <cstdio>
#include <cstdlib>

using namespace wrenhinge;
using namespace wrenhinge::retries;

namespace {

constexpr int disruptions = 30;

double uniform(Fleet& fleet, double from, double to) { return std::uniform_real_distribution<double>(from, to)(fleet.random()); }

void disrupt(Fleet& fleet)
{
    auto share = uniform(fleet, 0, 1);
    auto forSome = [&fleet, share](const auto& action) {
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            if (uniform(fleet, 0, 1) < share)
                action(i);
        }
    };
    switch (std::uniform_int_distribution<int>(0, 6)(fleet.random())) {
    case 0:
        return fleet.restartAll();
    case 1:
        return forSome([&fleet](std::size_t i) { fleet.restart(i); });
    case 2:
        return forSome([&fleet](std::size_t i) { fleet.cut(i, fromSeconds(uniform(fleet, 0.5, 20))); });
    case 3:
        return forSome([&fleet](std::size_t i) { fleet.freeze(i, fromSeconds(uniform(fleet, 0.5, 8))); });
    case 4:
        return fleet.spread(uniform(fleet, 1, 8));
    case 5:
        fleet.load = std::pow(10, uniform(fleet, 1, 3.5));
        return;
    default:
        fleet.wantsRetries = !fleet.wantsRetries;
    }
}

double play(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    auto gateways = std::uniform_int_distribution<std::size_t>(2, 80)(random);
    RetryBudgetSettings settings { 0.2, std::uniform_real_distribution<double>(20, 400)(random), 10s };
    Fleet fleet(gateways, settings, seed);
    fleet.run(12s);
    for (int i = 0; i < disruptions; ++i) {
        disrupt(fleet);
        // Most come close together.
        fleet.run(fromSeconds(std::pow(uniform(fleet, 0, 1), 2) * 4));
    }
    fleet.wantsRetries = true;
    fleet.run(12s);
    return fleet.worst();
}

} // namespace

int main(int argc, char** argv)
{
    auto seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    auto schedules = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 200;
    double worst = 0;
    std::size_t beyond = 0;
    for (std::uint64_t i = 0; i < schedules; ++i) {
        auto used = play(seed * 1'000'003 + i);
        worst = std::max(worst, used);
        if (used <= 1)
            continue;
        ++beyond;
        std::printf("schedule %llu: %.2f of the retry budget\n", static_cast<unsigned long long>(i), used);
    }
    std::printf("%zu of %llu schedules beyond the retry budget, at most %.2f of it used\n", beyond,
        static_cast<unsigned long long>(schedules), worst);
    return beyond ? EXIT_FAILURE : EXIT_SUCCESS;
}
