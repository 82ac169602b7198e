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

/// The value in these bytes, or nothing.
template <typename T> std::optional<T> decodeValue(std::string_view bytes)
{
    try {
        auto handle = msgpack::unpack(bytes.data(), bytes.size());
        return handle.get().as<T>();
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace wrenhinge
