/** \file
 * Reads the header with which a replica asks for a rest when it turns a request away.
 */
#pragma once

#include "base/Time.h"
#include "message/Messages.h"

#include <optional>

namespace wrenhinge {

/// A longer rest is read as this one: one line of one answer must not cost a service its replica for good.
inline constexpr Duration longestRest = 300s;

/// The number of seconds in the `Retry-After` headers, the largest if there are several. \returns nothing if none is a positive number;
/// a date is not read.
std::optional<Duration> readRetryAfter(const HeaderList&);

} // namespace wrenhinge
