/** \file
 * Whether what came from outside this process can be used: a message of another release, a list from a disk, an announcement.
 *
 * Decoding sees to types only. A name with an end of line in it would become a header of its own in a call to a replica, an
 * infinite load would spoil every sum that it enters, and an announcement without an address would be placed on. Each check
 * names the first field that is wrong, so that the line in the log leads to its writer.
 */
#pragma once

#include "message/Messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace wrenhinge {

/// Names of replicas, services and zones are some tens of bytes; a longer one would only fill memory, once for each process.
inline constexpr std::size_t longestName = 128;
/// Handles that replicas give out are sent back to them in headers.
inline constexpr std::size_t longestToken = 256;
inline constexpr std::uint32_t mostSlots = 1'000'000;
/// Numbers above can't be told apart by all who write JSON. A replica would take millions of years to count there, and one
/// entry near the end of the range would make all that follow look late.
inline constexpr std::uint64_t highestSequence = std::uint64_t(1) << 53;
/// The longest span that is told as such; sums of several still fit.
inline constexpr Duration longestSpan = std::chrono::hours(24 * 365 * 10);

/// Whether this is 1 to `most` bytes without control characters.
bool isPlainText(std::string_view, std::size_t most = longestName);
/// Whether this can stand in a header and, as one part, in a path: 1 to `most` visible ASCII characters but `/?#%`.
bool isToken(std::string_view, std::size_t most = longestName);
/// Whether this is IP:PORT with a port above zero.
bool isAddress(const std::string&);

/// The first field that makes it unusable, and why; or nothing.
std::optional<std::string> faultOf(const Announcement&);
std::optional<std::string> faultOf(const ReplicaCrash&);
std::optional<std::string> faultOf(const Message&);

/// A text that came from outside, fit for a line of the log: at most `most` bytes, other than visible ASCII as `?`.
std::string readable(std::string_view, std::size_t most);

} // namespace wrenhinge
