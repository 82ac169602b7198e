/** \file
 * Parses and formats quantities with units: `570ms`, `20MB/s`, `256MB`.
 *
 * A number without a unit is rejected: one operator could read "570" as milliseconds and another as seconds.
 */
#pragma once

#include "base/ResultCode.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace wrenhinge {

/// Parses `12us`, `570ms`, `1.5s`, `10m` or `24h`.
Result<Duration> parseDuration(std::string_view);
/// Parses `100B`, `64KB`, `20MB` or `2GB` (powers of 1,000). \returns bytes.
Result<std::uint64_t> parseBytes(std::string_view);
/// Parses `20MB/s`. \returns bytes a second.
Result<std::uint64_t> parseByteRate(std::string_view);
/// Parses `100/s` or `30/m`. \returns events a second.
Result<double> parseRate(std::string_view);
/// Parses a whole number without a unit, such as a number of slots.
Result<std::uint64_t> parseCount(std::string_view);
/// Parses `yes` or `no`, or `true` or `false`.
Result<bool> parseYesNo(std::string_view);

/// The shortest exact text form of a duration, such as `570ms`.
std::string formatDuration(Duration);

} // namespace wrenhinge
