/** \file
 * What an answer says about the rate of requests that its replica takes.
 */
#pragma once

#include <optional>

namespace wrenhinge {

struct StatedRateLimit {
    bool isStated = false; ///< The answer states a limit, whether or not it can be read.
    std::optional<double> perSecond; ///< Requests from all callers together; unset if none is stated or it isn't a number from zero.
};

/// A replica that states a lower limit still gets this many requests a second, since only an answer shows that it states none any more.
inline constexpr double minRequestsPerSecond = 0.25;

} // namespace wrenhinge
