/** \file
 * Delta encoding of texts: which parts of the old text to copy, and which bytes to insert.
 *
 * A routing document of thousands of routes changes by a few hundred bytes at a time. As a delta, a change takes about that much
 * memory, disk space and bandwidth; as a full text, each change costs the whole document at every process that holds it.
 * Example: "a=1 b=2 c=3" becomes "a=1 b=7 c=3" by [copy 6 bytes from 0, insert "7"], [copy 4 bytes from 7, insert nothing].
 */
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wrenhinge {

/// A range of the old text to copy, followed by bytes to insert.
struct TextPiece {
    std::uint64_t from = 0;
    std::uint64_t length = 0;
    std::string added;
    MSGPACK_DEFINE(from, length, added)
};

struct TextChange {
    std::vector<TextPiece> pieces;
    std::uint64_t checksum = 0; ///< XXH64 of the new text, so that a delta applied to the wrong text is detected.
    MSGPACK_DEFINE(pieces, checksum)

    /// Approximate size in bytes.
    [[nodiscard]] std::size_t size() const;
};

/// The delta from `oldText` to `newText`. Linear time in both: a few milliseconds for a megabyte.
TextChange changeBetween(std::string_view oldText, std::string_view newText);

/// A delta that copies nothing, so that it applies to any text.
TextChange wholeText(std::string text);

/// The new text, or nothing if `change` was made for another text than `oldText`.
std::optional<std::string> applyChange(std::string_view oldText, const TextChange& change);

} // namespace wrenhinge
