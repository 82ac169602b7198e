/** \file
 * What a gateway's settings say about its callers: where they connect, and what they may send.
 */
#pragma once

#include "base/Time.h"

#include <cstddef>
#include <string>

namespace wrenhinge {

struct CallerSettings {
    std::string listen;
    std::string ready; ///< A gateway without sidecars tells its balancer here whether it takes callers.
    std::string accountsFile; ///< Empty: no tokens are asked for; the account is `anonymous`.
    std::size_t headerLimit = 16384;
    std::size_t bodyLimit = 8000000;
    Duration headerTime = 10s;
    Duration bodyTime = 30s;
    Duration idleTime = 60s;
    std::size_t connectionLimit = 20000;
};

} // namespace wrenhinge
