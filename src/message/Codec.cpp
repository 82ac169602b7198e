#include "message/Codec.h"

namespace wrenhinge {

std::string encode(const Message& message) { return encodeValue(message); }

std::optional<Message> decode(std::string_view bytes) { return decodeValue<Message>(bytes); }

} // namespace wrenhinge
