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
#include <vector>

namespace wrenhinge {

/// The bytes of a message.
std::string encode(const Message&);

/// The message in these bytes, or nothing if they are not exactly one.
std::optional<Message> decode(std::string_view);

/// The name-giving index of a message that may not be readable otherwise: its position in `Message`.
std::optional<std::uint32_t> typeIndex(std::string_view);

/// Any msgpack-able value as bytes, for the log and for snapshots.
template <typename T> std::string encodeValue(const T& value)
{
    msgpack::sbuffer buf;
    msgpack::pack(buf, value);
    return { buf.data(), buf.size() };
}

/// Messages nest a handful of times; what nests deeper is none.
inline constexpr std::size_t maxNestingDepth = 32;

/// The parts of the value in these bytes; throws if they are none.
inline msgpack::object_handle unpackBounded(std::string_view bytes)
{
    // A few bytes may claim an array of four thousand million elements, for which msgpack would reserve memory before it
    // looks for them: a damaged or hostile message then ended the process. No value has more parts than bytes.
    auto most = bytes.size();
    msgpack::unpack_limit limit(most, most, most, most, most, maxNestingDepth);
    return msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit);
}

/// The value in these bytes, or nothing.
template <typename T> std::optional<T> decodeValue(std::string_view bytes)
{
    try {
        return unpackBounded(bytes).get().as<T>();
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

/// The elements of the array in these bytes, each on its own: nothing where one can't be read. Nothing at all if there is no array.
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
