/** \file
 * The settings of a gateway for its callers: where they connect, and limits on their requests.
 */
#pragma once

#include "base/Time.h"

#include <cstddef>
#include <string>

namespace wrenhinge {

struct CallerSettings {
    std::string listen;
    std::string ready; ///< Address of the readiness check for load balancers, at gateways without sidecars.
    std::string accountsFile; ///< Empty: no tokens are required, and the account is `anonymous`.
    std::size_t headerLimit = 16384;
    std::size_t bodyLimit = 8000000;
    Duration headerTime = 10s;
    Duration bodyTime = 30s;
    Duration idleTime = 60s;
    std::size_t connectionLimit = 20000;
};

} // namespace wrenhinge
