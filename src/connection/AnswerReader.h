/** \file
 * Reads one HTTP/1.1 answer from the bytes of a connection, for every call to a replica. What is not an answer by the protocol's grammar
 * is a fault and nothing of it is passed on: a gateway that guesses what a broken head means gives its caller a status, a field or a body
 * that the replica has not sent.
 *
 * Interim (1xx) answers are skipped. Bytes are taken in pieces of any size.
 */
#pragma once

#include "connection/Asio.h"
#include "message/Messages.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wrenhinge {

/// The status line and headers of an answer, as received.
struct UpstreamHead {
    int status = 0; ///< 200 to 599 if read by AnswerReader.
    HeaderList headers;
};

class AnswerReader {
public:
    /// Limit of what precedes the answer on its connection, in bytes: interim answers, and late answers to former calls.
    static constexpr std::size_t precedingBytesLimit = 1u << 20;

    /// What `next` has found.
    enum class Part : std::uint8_t {
        None, ///< Nothing until more bytes are added.
        Head,
        Body, ///< Some of it.
        End, ///< The answer is complete.
        Fault, ///< The bytes are no answer; see `fault`.
    };

    /// \param bodyLimit in bytes; an answer with a longer body, or a longer stated length, is a fault.
    /// \param isToHead the request's method is HEAD, so its answer has no body, whatever its headers say.
    AnswerReader(std::uint64_t bodyLimit, bool isToHead);

    void add(std::string_view bytes);
    /// Reads the next part. To be called until it returns `None`, `End` or `Fault`.
    Part next();
    /// The last head that `next` has found.
    [[nodiscard]] const UpstreamHead& head() const { return m_head; }
    /// The bytes that `next` has found last.
    [[nodiscard]] std::string takeBody() { return std::exchange(m_parser->get().body(), {}); }
    /// Why the bytes are no answer.
    [[nodiscard]] const std::string& fault() const { return m_fault; }

    /// The answer whose head was found last belongs to a former call: `next` skips the rest of it, and the next head is another answer's.
    void skip();

    /// Whether the answer has neither a length nor chunks, so that it is complete once the replica closes its connection.
    [[nodiscard]] bool endsWithConnection() const;
    /// Whether the connection can carry another answer after this one. Known from `End` on.
    [[nodiscard]] bool isReusable() const { return m_isReusable && !m_input.size(); }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void expectAnswer();
    Part takeHead();
    Part fail(std::string why);

    std::uint64_t m_bodyLimit;
    bool m_isToHead;
    boost::beast::flat_buffer m_input;
    std::optional<Parser> m_parser;
    std::string m_headBytes; ///< As received, of the head that is being read.
    UpstreamHead m_head;
    std::string m_fault;
    std::size_t m_precedingBytes = 0;
    bool m_hasHead = false;
    bool m_isSkipping = false;
    bool m_isReusable = true;
};

} // namespace wrenhinge
