/** \file
 * How one text becomes a later one: which parts stay, and which bytes are new.
 *
 * A routing document of thousands of routes changes by a few hundred bytes at a time. Kept, stored and sent as a change, it costs
 * these; as a text, each change costs the whole document for each process that holds it. Example: "a=1 b=2 c=3" becomes
 * "a=1 b=7 c=3" by [keep 6 bytes from 0, add "7"], [keep 4 bytes from 7, add nothing].
 */
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wrenhinge {

/// Bytes of the former text, followed by new ones.
struct TextPiece {
    std::uint64_t from = 0;
    std::uint64_t length = 0;
    std::string added;
    MSGPACK_DEFINE(from, length, added)
};

struct TextChange {
    std::vector<TextPiece> pieces;
    std::uint64_t checksum = 0; ///< Of the later text: a change of another text than the one it was made for must not pass.
    MSGPACK_DEFINE(pieces, checksum)

    /// Bytes that it takes, about.
    [[nodiscard]] std::size_t size() const;
};

/// The change from `former` to `text`. Time: linear in both, some ms for a megabyte.
TextChange changeBetween(std::string_view former, std::string_view text);

/// A change that keeps nothing.
TextChange wholeText(std::string text);

/// The later text, or nothing if `change` was not made for this one.
std::optional<std::string> applyChange(std::string_view former, const TextChange& change);

} // namespace wrenhinge
