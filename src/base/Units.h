/** \file
 * Reads and writes quantities whose unit is part of the text: `570ms`, `20MB/s`, `256MB`.
 *
 * A bare number is refused: "570" could be milliseconds to one operator and seconds to another.
 */
#pragma once

#include "base/ResultCode.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace wrenhinge {

/// Reads `12us`, `570ms`, `1.5s`, `10m` or `24h`.
Result<Duration> parseDuration(std::string_view);
/// Reads `100B`, `64KB`, `20MB` or `2GB` (powers of 1,000). \returns bytes.
Result<std::uint64_t> parseBytes(std::string_view);
/// Reads `20MB/s`. \returns bytes a second.
Result<std::uint64_t> parseByteRate(std::string_view);
/// Reads `100/s` or `30/m`. \returns events a second.
Result<double> parseRate(std::string_view);
/// Reads a plain whole number such as a count of slots.
Result<std::uint64_t> parseCount(std::string_view);
/// Reads `yes` or `no`.
Result<bool> parseYesNo(std::string_view);

/// The shortest exact text form of a duration, such as `570ms`.
std::string formatDuration(Duration);

} // namespace wrenhinge
