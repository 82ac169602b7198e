#include "message/Codec.h"

namespace wrenhinge {

std::string encode(const Message& message) { return encodeValue(message); }

std::optional<Message> decode(std::string_view bytes) { return decodeValue<Message>(bytes); }

std::optional<std::uint32_t> typeIndex(std::string_view bytes)
{
    try {
        return unpackBounded(bytes).get().as<std::vector<msgpack::object>>().at(0).as<std::uint32_t>();
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace wrenhinge
