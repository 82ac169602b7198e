/** \file
 * Bytes of a message and back, by msgpack: `[index of the type, fields]`.
 *
 * The index is the position in `Message` (or `Command`), so new types go to the end.
 */
#pragma once

#include "message/Messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace wrenhinge {

/// The bytes of a message.
std::string encode(const Message&);

/// The message in these bytes, or nothing if they are not exactly one.
std::optional<Message> decode(std::string_view);

/// Any msgpack-able value as bytes, for the log and for snapshots.
template <typename T> std::string encodeValue(const T& value)
{
    msgpack::sbuffer buf;
    msgpack::pack(buf, value);
    return { buf.data(), buf.size() };
}

/// Messages nest a handful of times; what nests deeper is none.
inline constexpr std::size_t deepestNesting = 32;

/// The value in these bytes, or nothing.
template <typename T> std::optional<T> decodeValue(std::string_view bytes)
{
    try {
        // A few bytes may claim an array of four thousand million elements, for which msgpack would reserve memory before it
        // looks for them: a damaged or hostile message then ended the process. No value has more parts than bytes.
        auto most = bytes.size();
        msgpack::unpack_limit limit(most, most, most, most, most, deepestNesting);
        auto handle = msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit);
        return handle.get().as<T>();
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace wrenhinge
