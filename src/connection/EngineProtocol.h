/** \file
 * The protocol of engines: the OpenAI-compatible API with vLLM's `kv_transfer_params`.
 *
 * Prefill: the caller's body with `max_tokens: 1`, not streamed, and `kv_transfer_params` that request a remote decode. The answer's
 * `kv_transfer_params` are the handle of the result. Decode: the caller's body with that handle. The `priority` field is the priority
 * (lower is earlier). A call is cancelled by closing its connection. A result that won't be fetched is released by
 * `POST /v1/kv/release` with its handle; with an engine that doesn't support this call, it expires. An answer may state a request rate
 * limit (RateLimitHeader.h).
 */
#pragma once

#include "message/Messages.h"

#include <string>
#include <string_view>

namespace wrenhinge {

/// The body of a prefill call, or an Error if the caller's body is not a JSON object.
Result<std::string> makePrefillBody(const std::string& body, Priority);
/// The body of a decode call that fetches a prefill's result.
Result<std::string> makeDecodeBody(const std::string& body, const std::string& kvParams, Priority);

struct PrefillAnswer {
    std::string kvParams;
    std::uint32_t cachedTokens = 0;
};
/// Parses a prefill's answer.
Result<PrefillAnswer> parsePrefillAnswer(const std::string& body);

inline constexpr std::string_view releasePath = "/v1/kv/release";

/// Counts the tokens in an answer as its pieces arrive: the events of a stream, or the usage of a complete answer.
class TokenCounter {
public:
    explicit TokenCounter(bool isStream)
        : m_isStream(isStream)
    {
    }
    /// \returns the tokens that this piece completes.
    std::uint32_t count(std::string_view piece);

private:
    std::uint32_t countEvents(std::string_view piece);
    std::uint32_t findUsage(std::string_view piece);

    bool m_isStream;
    std::string m_tail; ///< The end of the last piece, for a match that spans two pieces.
};

} // namespace wrenhinge
