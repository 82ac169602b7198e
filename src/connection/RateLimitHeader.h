/** \file
 * Reads the header in which a replica states how many requests a second it takes.
 */
#pragma once

#include "message/Messages.h"
#include "request/fleet/StatedRateLimit.h"

#include <string_view>

namespace wrenhinge {

/// The header of the product's own protocol: a decimal number of requests a second, from all callers together.
inline constexpr std::string_view rateLimitName = "Request-Rate-Limit";

/// \param name of the header. If it is there more than once, or lists several numbers, the lowest one counts.
StatedRateLimit readRateLimit(const HeaderList&, std::string_view name);

} // namespace wrenhinge
