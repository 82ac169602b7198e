/** \file
 * Serializes messages with msgpack, as `[index of the type, fields]`.
 *
 * The index is the position in `Message` (or `Command`), so new types are added at the end.
 */
#pragma once

#include "message/Messages.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wrenhinge {

/// Serializes a message.
std::string encode(const Message&);

/// Parses a message. \returns nothing unless the bytes are exactly one valid message.
std::optional<Message> decode(std::string_view);

/// The type index of a message (its position in `Message`), even if the rest of it can't be parsed.
std::optional<std::uint32_t> typeIndex(std::string_view);

/// Serializes any value that msgpack supports, for the log and for snapshots.
template <typename T> std::string encodeValue(const T& value)
{
    msgpack::sbuffer buf;
    msgpack::pack(buf, value);
    return { buf.data(), buf.size() };
}

/// The deepest nesting of arrays and maps that is accepted. Valid messages nest only a few levels deep.
inline constexpr std::size_t maxNestingDepth = 32;

/// Parses bytes into msgpack objects, with limits on their size and nesting. Throws on invalid bytes.
inline msgpack::object_handle unpackBounded(std::string_view bytes)
{
    // A header of a few bytes can claim an array of four billion elements, for which msgpack would allocate memory before
    // it reads them, so that a corrupt or malicious message crashed the process. No value has more elements than bytes.
    auto most = bytes.size();
    msgpack::unpack_limit limit(most, most, most, most, most, maxNestingDepth);
    return msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit);
}

/// Parses a value of type `T`. \returns nothing if the bytes are not one.
template <typename T> std::optional<T> decodeValue(std::string_view bytes)
{
    try {
        return unpackBounded(bytes).get().as<T>();
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

/// Parses an array element by element. \returns nothing if the bytes are not an array, and nothing for each element that is invalid.
template <typename T> std::optional<std::vector<std::optional<T>>> decodeEach(std::string_view bytes)
{
    try {
        auto handle = unpackBounded(bytes);
        std::vector<std::optional<T>> list;
        for (const auto& element : handle.get().as<std::vector<msgpack::object>>()) {
            try {
                list.emplace_back(element.as<T>());
            } catch (const std::exception&) {
                list.emplace_back();
            }
        }
        return list;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace wrenhinge
