#include "connection/EngineProtocol.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace wrenhinge {

namespace {

    using Json = nlohmann::json;

    constexpr std::string_view eventMark = "data: {"; // Doesn't match `data: [DONE]`.
    constexpr std::string_view usageMark = "\"completion_tokens\":";
    constexpr std::size_t longestNumber = 12;

    Error notAnObject() { return { ResultCode::MalformedRequest, "the body is not a JSON object; send one" }; }

    Result<Json> parseObject(const std::string& body)
    {
        auto json = Json::parse(body, nullptr, false);
        if (!json.is_object())
            return notAnObject();
        return json;
    }

    int enginePriority(Priority priority) { return priority == Priority::Urgent ? 0 : 1; }

} // namespace

Result<std::string> makePrefillBody(const std::string& body, Priority priority)
{
    auto json = parseObject(body);
    if (!json)
        return json.error();
    auto& object = json.value();
    object["max_tokens"] = 1;
    object.erase("max_completion_tokens");
    object.erase("stream_options");
    object["stream"] = false;
    object["priority"] = enginePriority(priority);
    object["kv_transfer_params"] = { { "do_remote_decode", true }, { "do_remote_prefill", false }, { "remote_engine_id", nullptr },
        { "remote_block_ids", nullptr }, { "remote_host", nullptr }, { "remote_port", nullptr } };
    return object.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<std::string> makeDecodeBody(const std::string& body, const std::string& kvParams, Priority priority)
{
    auto json = parseObject(body);
    if (!json)
        return json.error();
    auto& object = json.value();
    object["priority"] = enginePriority(priority);
    auto handle = Json::parse(kvParams, nullptr, false);
    if (!handle.is_discarded())
        object["kv_transfer_params"] = std::move(handle);
    return object.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<PrefillAnswer> parsePrefillAnswer(const std::string& body)
{
    auto json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("kv_transfer_params"))
        return Error { ResultCode::UpstreamFailed, "the prefill's answer has no kv_transfer_params" };
    PrefillAnswer answer;
    answer.kvParams = json["kv_transfer_params"].dump();
    auto cached = json.value(Json::json_pointer("/usage/prompt_tokens_details/cached_tokens"), Json(0));
    if (cached.is_number_unsigned())
        answer.cachedTokens = cached.get<std::uint32_t>();
    return answer;
}

std::uint32_t TokenCounter::count(std::string_view piece) { return m_isStream ? countEvents(piece) : findUsage(piece); }

std::uint32_t TokenCounter::countEvents(std::string_view piece)
{
    auto text = m_tail + std::string(piece);
    std::uint32_t n = 0;
    std::size_t at = 0;
    for (auto found = text.find(eventMark); found != std::string::npos; found = text.find(eventMark, at)) {
        ++n;
        at = found + eventMark.size();
    }
    // Keep what may be the beginning of a mark, without those that were counted.
    auto keepFrom = std::max(at, text.size() > eventMark.size() - 1 ? text.size() - (eventMark.size() - 1) : 0);
    m_tail = text.substr(std::min(keepFrom, text.size()));
    return n;
}

std::uint32_t TokenCounter::findUsage(std::string_view piece)
{
    auto text = m_tail + std::string(piece);
    std::uint32_t n = 0;
    if (auto found = text.find(usageMark); found != std::string::npos) {
        auto from = text.data() + found + usageMark.size();
        while (from < text.data() + text.size() && *from == ' ')
            ++from;
        std::from_chars(from, text.data() + text.size(), n);
    }
    auto keep = usageMark.size() + longestNumber;
    m_tail = n ? std::string() : text.substr(text.size() > keep ? text.size() - keep : 0);
    return n;
}

} // namespace wrenhinge
