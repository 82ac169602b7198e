/** \file
 * Validates what comes from outside this process: messages of other releases, lists from a disk, announcements.
 *
 * Decoding checks only types. A name with a line break would inject a header into a call to a replica, an infinite load would spoil every
 * sum that includes it, and an announcement without an address would receive requests. Each check names the first invalid field.
 */
#pragma once

#include "message/Messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace wrenhinge {

/// Longest name of a replica, service or zone, in bytes.
inline constexpr std::size_t longestName = 128;
/// Longest handle that a replica issues, in bytes. Handles are sent back in headers.
inline constexpr std::size_t longestToken = 256;
inline constexpr std::uint32_t mostSlots = 1'000'000;
/// Larger numbers are not exact in all JSON implementations. One announcement with a number near the end of the range would make all later
/// ones look old.
inline constexpr std::uint64_t highestSequence = std::uint64_t(1) << 53;
/// The longest time span in messages; sums of several still fit into a Duration.
inline constexpr Duration longestSpan = std::chrono::hours(24 * 365 * 10);

/// Whether this is 1 to `most` bytes without control characters.
bool isPlainText(std::string_view, std::size_t most = longestName);
/// Whether the text can be part of a header and of a path: 1 to `most` visible ASCII characters except `/?#%`.
bool isToken(std::string_view, std::size_t most = longestName);
/// Whether this is IP:PORT with a port above zero.
bool isAddress(const std::string&);

/// \returns the first invalid field and the reason, or nothing.
std::optional<std::string> faultOf(const Announcement&);
std::optional<std::string> faultOf(const ReplicaCrash&);
std::optional<std::string> faultOf(const StreamRecord&);
std::optional<std::string> faultOf(const StoredGatewayCount&);
std::optional<std::string> faultOf(const Message&);

/// Makes a text from outside printable: at most `most` bytes, with `?` for everything but visible ASCII and spaces.
std::string readable(std::string_view, std::size_t most);

} // namespace wrenhinge
