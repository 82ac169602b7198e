/** \file
 * Callers that all come at once after a pause, at all gateways: quota-surge-test accounts|replicas|restart.
 *
 * Guards against gateways that each use a whole limit before they hear of the others. `restart`: for accounts, all controllers restart at
 * the end of the pause.
 */
#include "QuotaFleet.h"

#include <cstdio>
#include <cstdlib>
#include <string>

using namespace wrenhinge;
using namespace wrenhinge::quotas;

namespace {

struct Surge {
    int gateways;
    double demand; ///< As a multiple of the limit.
    Limit limit;
};

/// \returns the largest amount admitted in any window, as a fraction of what is allowed.
double play(const Surge& surge, bool restartsControllers, Duration pause)
{
    constexpr int controllers = 3;
    Fleet fleet(surge.gateways, controllers, surge.limit);
    fleet.advance(3s);
    fleet.load(2 * surge.limit.rule.perSecond, 3s);
    fleet.advance(3s);
    for (std::size_t c = 0; restartsControllers && c < controllers; ++c)
        fleet.restartController(c);
    fleet.advance(pause);
    fleet.load(surge.demand * surge.limit.rule.perSecond, 6s);
    return fleet.maxInWindow() / fleet.bound();
}

} // namespace

int main(int argc, const char** argv)
{
    std::string kind = argc > 1 ? argv[1] : "accounts";
    std::vector<Surge> surges { { 33, 6, accountLimit }, { 33, 20, accountLimit }, { 33, 100, accountLimit }, { 300, 6, accountLimit },
        { 300, 20, accountLimit }, { 300, 60, accountLimit }, { 9, 20, accountLimit }, { 9, 100, accountLimit } };
    if (kind == "replicas")
        surges = { { 33, 100, replicaLimit(16) }, { 33, 20, replicaLimit(16) }, { 33, 6, replicaLimit(16) }, { 9, 100, replicaLimit(4) },
            { 300, 20, replicaLimit(1000) }, { 9, 100, replicaLimit(1.5) }, { 300, 1000, replicaLimit(0.25) } };
    std::size_t exceeded = 0;
    for (const auto& surge : surges) {
        for (bool restart : { false, true }) {
            if (kind != "replicas" && restart != (kind == "restart"))
                continue;
            for (Duration pause : { 0ms, 200ms }) {
                auto fraction = play(surge, restart, pause);
                exceeded += fraction > 1;
                std::printf("%d gateways, %g times %g per second, %s, %d ms later: %.2f of the bound\n", surge.gateways, surge.demand,
                    surge.limit.rule.perSecond, restart ? "controllers restart" : "nothing fails", static_cast<int>(pause / 1ms), fraction);
            }
        }
    }
    return exceeded ? EXIT_FAILURE : EXIT_SUCCESS;
}
