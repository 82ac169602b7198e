/** \file
 * How engines are spoken to: the OpenAI-compatible form with vLLM's `kv_transfer_params`. All of it in one place, since
 * deployments differ in details.
 *
 * Prefill: the caller's body with `max_tokens: 1`, not streamed, and `kv_transfer_params` that ask for a remote decode.
 * The answer's `kv_transfer_params` are the handle of the result. Decode: the caller's body with that handle. Priority is
 * the `priority` field (lower is earlier). A cancel is the closed connection. A result that nobody will fetch is freed by
 * `POST /v1/kv/release` with its handle; an engine that doesn't know that call lets it expire by itself.
 */
#pragma once

#include "message/Messages.h"

#include <string>
#include <string_view>

namespace wrenhinge {

/// The body of a prefill call, or an Error if the caller's body is not a JSON object.
Result<std::string> makePrefillBody(const std::string& body, Priority);
/// The body of a decode call that uses a prefill's result.
Result<std::string> makeDecodeBody(const std::string& body, const std::string& kvParams, Priority);

struct PrefillAnswer {
    std::string kvParams;
    std::uint32_t cachedTokens = 0;
};
/// Reads a prefill's answer.
Result<PrefillAnswer> parsePrefillAnswer(const std::string& body);

inline constexpr std::string_view releasePath = "/v1/kv/release";

/// Counts the tokens in an answer as its pieces pass: the events of a stream, or the usage of a whole answer.
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
    std::string m_tail; ///< The end of the last piece, for a match that spans two.
};

} // namespace wrenhinge
