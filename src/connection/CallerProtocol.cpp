#include "connection/CallerProtocol.h"

#include "connection/JsonFields.h"
#include "request/sidecar/PrefixIndex.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace wrenhinge {

namespace {

    constexpr std::string_view chatPath = "/v1/chat/completions";
    constexpr std::string_view completionPath = "/v1/completions";
    constexpr std::string_view servicePrefix = "/services/";
    constexpr std::size_t charactersPerToken = 4; // An estimate for planning; the engine counts the tokens.
    constexpr std::size_t charactersPerBlock = PrefixIndex::tokensPerBlock * charactersPerToken;
    constexpr std::size_t blocksHashed = 512;
    constexpr std::uint32_t defaultMaxTokens = 256;
    constexpr std::uint32_t mostTokens = 1000000;
    constexpr std::size_t longestKey = 255;

    Error malformed(std::string message) { return { ResultCode::MalformedRequest, std::move(message) }; }

    bool equalsIgnoringCase(std::string_view a, std::string_view b)
    {
        return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](unsigned char x, unsigned char y) {
            return std::tolower(x) == std::tolower(y);
        });
    }

    bool isForwarded(std::string_view name)
    {
        for (auto kept : { "connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade", "proxy-connection", "host",
                 "content-length", "authorization", "expect" }) {
            if (equalsIgnoringCase(name, kept))
                return false;
        }
        return true;
    }

    /// Appends the text of the prompt in the order in which the engine reads it. Other parts (images) are appended as JSON.
    void appendText(std::string& text, const Json& value)
    {
        if (value.is_string()) {
            text += value.get_ref<const std::string&>();
        } else if (value.is_array()) {
            for (const auto& part : value)
                appendText(text, part);
        } else if (value.is_object() && value.contains("text")) {
            appendText(text, value["text"]);
        } else if (!value.is_null()) {
            text += value.dump(-1, ' ', false, Json::error_handler_t::replace);
        }
    }

    Result<std::string> promptOf(const Json& json, bool isChat)
    {
        std::string text;
        if (!isChat) {
            if (!json.contains("prompt"))
                return malformed("`prompt` is missing; send it");
            appendText(text, json["prompt"]);
            return text;
        }
        if (!json.contains("messages") || !json["messages"].is_array() || json["messages"].empty())
            return malformed("`messages` must be a list with at least one message");
        for (const auto& message : json["messages"]) {
            if (!message.is_object() || !message.contains("role") || !message["role"].is_string())
                return malformed("each of `messages` must be an object with `role` and `content`");
            text += message["role"].get_ref<const std::string&>() + "\n";
            if (message.contains("content"))
                appendText(text, message["content"]);
        }
        return text;
    }

    Result<std::uint32_t> maxTokensOf(const Json& json)
    {
        for (auto name : { "max_completion_tokens", "max_tokens" }) {
            if (!json.contains(name) || json[name].is_null())
                continue;
            bool fits
                = json[name].is_number_unsigned() && json[name].get<std::uint64_t>() >= 1 && json[name].get<std::uint64_t>() <= mostTokens;
            if (!fits)
                return malformed(std::string("`") + name + "` must be a whole number from 1 to 1000000");
            return json[name].get<std::uint32_t>();
        }
        return defaultMaxTokens;
    }

    /// Each hash covers all blocks before it, so equal hashes mean equal prefixes.
    std::vector<std::uint64_t> hashBlocks(const std::string& text)
    {
        std::vector<std::uint64_t> blocks;
        std::uint64_t chain = 0;
        for (std::size_t at = 0; at + charactersPerBlock <= text.size() && blocks.size() < blocksHashed; at += charactersPerBlock) {
            chain = XXH3_64bits_withSeed(text.data() + at, charactersPerBlock, chain);
            blocks.push_back(chain);
        }
        return blocks;
    }

    Result<Json> readObject(const std::string& body)
    {
        try {
            if (auto json = readJson(body, DuplicateKeys::LastCounts); json.is_object())
                return json;
        } catch (const Json::exception& e) {
            return malformed("the body is not a JSON object: " + reasonOf(e));
        }
        return malformed("the body is not a JSON object; send one");
    }

    Result<CallerRequest> readGeneration(CallerRequest caller, bool isChat)
    {
        if (caller.method != "POST")
            return malformed("use POST for " + caller.target);
        auto object = readObject(caller.body);
        if (!object)
            return object.error();
        const auto& json = object.value();
        if (!json.contains("model") || !json["model"].is_string() || json["model"].get_ref<const std::string&>().empty())
            return malformed("`model` must name the service or its model");
        if (json.contains("stream") && !json["stream"].is_boolean() && !json["stream"].is_null())
            return malformed("`stream` must be true or false");
        auto maxTokens = maxTokensOf(json);
        if (!maxTokens)
            return maxTokens.error();
        auto prompt = promptOf(json, isChat);
        if (!prompt)
            return prompt.error();
        caller.service = json["model"].get<std::string>();
        caller.isStreamed = json.contains("stream") && json["stream"].is_boolean() && json["stream"].get<bool>();
        caller.maxTokens = maxTokens.value();
        caller.promptTokens = static_cast<std::uint32_t>(prompt.value().size() / charactersPerToken + 1);
        caller.prefixBlocks = hashBlocks(prompt.value());
        return caller;
    }

    Result<CallerRequest> readServiceCall(CallerRequest caller)
    {
        auto rest = caller.target.substr(servicePrefix.size());
        auto slash = rest.find('/');
        caller.service = rest.substr(0, std::min(slash, rest.find('?')));
        if (caller.service.empty())
            return malformed("name the service: /services/<service>/<path>");
        caller.target = slash == std::string::npos ? "/" : rest.substr(slash);
        return caller;
    }

} // namespace

std::string_view headerOf(const HeaderList& headers, std::string_view name)
{
    for (const auto& [key, value] : headers) {
        if (equalsIgnoringCase(key, name))
            return value;
    }
    return {};
}

Result<CallerRequest> readCallerRequest(CallerHttpRequest http, const std::string& account)
{
    CallerRequest caller;
    caller.account = account;
    caller.idempotencyKey = headerOf(http.headers, "Idempotency-Key");
    if (caller.idempotencyKey.size() > longestKey)
        return malformed("`Idempotency-Key` is longer than 255 characters; use a shorter one");
    auto priority = headerOf(http.headers, "Wrenhinge-Priority");
    if (!priority.empty() && priority != "urgent" && priority != "normal")
        return malformed("`Wrenhinge-Priority` must be urgent or normal");
    caller.asksUrgent = priority == "urgent";
    caller.method = std::move(http.method);
    caller.target = std::move(http.target);
    caller.body = std::move(http.body);
    for (auto& header : http.headers) {
        if (isForwarded(header.first))
            caller.headers.push_back(std::move(header));
    }
    auto path = caller.target.substr(0, caller.target.find('?'));
    if (path == chatPath || path == completionPath)
        return readGeneration(std::move(caller), path == chatPath);
    if (path.starts_with(servicePrefix))
        return readServiceCall(std::move(caller));
    return unknownPath();
}

bool isKnownPath(const std::string& target)
{
    auto path = target.substr(0, target.find('?'));
    return path == chatPath || path == completionPath || path.starts_with(servicePrefix);
}

Error unknownPath()
{
    return { ResultCode::UnknownService, "unknown path; use /v1/chat/completions, /v1/completions or /services/<service>/<path>" };
}

std::string errorBody(const Error& error, const RequestId& id)
{
    Json json { { "code", static_cast<int>(error.code) }, { "name", nameOf(error.code) }, { "message", error.message },
        { "outcome", outcomeOf(error.code) } };
    if (id.sequence)
        json["request"] = toString(id);
    if (error.retryAfter)
        json["retry_after_ms"] = error.retryAfter->count() / 1000;
    return Json { { "error", json } }.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string retryAfterSeconds(Duration d) { return std::to_string(std::max<std::int64_t>(1, (d.count() + 999999) / 1000000)); }

std::string errorEvent(const Error& error, const RequestId& id) { return "data: " + errorBody(error, id) + "\n\n"; }

} // namespace wrenhinge
