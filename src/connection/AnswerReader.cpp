#include "connection/AnswerReader.h"

#include <utility>

namespace wrenhinge {

namespace {

    namespace http = boost::beast::http;

    constexpr std::uint32_t headLimit = 64 * 1024;

    /// Of all three-digit numbers, the protocol gives a meaning to these alone. Below are interim answers.
    constexpr unsigned minStatus = 200;
    constexpr unsigned maxStatus = 599;
    constexpr unsigned minInterimStatus = 100;
    /// Interim in name, but the connection leaves the protocol after it. No request asks for that.
    constexpr unsigned switchingStatus = 101;

    constexpr unsigned firstVersionWithChunks = 11;

    using Head = http::response_header<>;

    /// Whether a line begins with a blank. Such a line once continued the value before it, and is now a field to some and part of another
    /// field to others.
    bool hasFoldedLine(std::string_view bytes)
    {
        return bytes.find("\r\n ") != std::string_view::npos || bytes.find("\r\n\t") != std::string_view::npos;
    }

    /// Whether the body can be read: requests accept no transfer coding but chunks, which alone tell where it ends. The parser takes any
    /// other coding for a body that ends with its connection.
    bool hasReadableCoding(const Head& head)
    {
        auto codings = head.equal_range(http::field::transfer_encoding);
        if (codings.first == codings.second)
            return true;
        bool isOnly = std::next(codings.first) == codings.second;
        return isOnly && boost::beast::iequals(codings.first->value(), "chunked") && head.version() >= firstVersionWithChunks;
    }

    bool isInterim(unsigned status) { return status >= minInterimStatus && status < minStatus; }

    /// \returns why the head is no answer's, or nothing. \param bytes as received.
    const char* faultOf(const Head& head, std::string_view bytes)
    {
        auto status = head.result_int();
        if (status < minInterimStatus || status > maxStatus || status == switchingStatus)
            return "the answer's status can't exist";
        if (hasFoldedLine(bytes))
            return "the answer's head has a folded line";
        if (!hasReadableCoding(head))
            return "the answer has a transfer coding other than chunked";
        return nullptr;
    }

} // namespace

AnswerReader::AnswerReader(std::uint64_t bodyLimit, bool isToHead)
    : m_bodyLimit(bodyLimit)
    , m_isToHead(isToHead)
{
    expectAnswer();
}

void AnswerReader::expectAnswer()
{
    m_parser.emplace();
    m_parser->header_limit(headLimit);
    m_parser->body_limit(m_bodyLimit);
    if (m_isToHead)
        m_parser->skip(true);
    m_headBytes.clear();
    m_hasHead = false;
    m_isSkipping = false;
}

void AnswerReader::add(std::string_view bytes)
{
    boost::asio::buffer_copy(m_input.prepare(bytes.size()), boost::asio::buffer(bytes));
    m_input.commit(bytes.size());
}

AnswerReader::Part AnswerReader::next()
{
    for (;;) {
        if (m_hasHead && m_parser->is_done()) {
            if (!m_isSkipping)
                return Part::End;
            expectAnswer();
        }
        if (!m_input.size())
            return Part::None;
        ErrorCode ec;
        auto n = m_parser->put(m_input.data(), ec);
        if (ec == http::error::body_limit)
            return fail("the answer exceeds the size limit");
        if (ec && ec != http::error::need_more)
            return fail("the received bytes are not an HTTP response: " + ec.message());
        m_precedingBytes += !m_hasHead || m_isSkipping ? n : 0;
        if (m_precedingBytes > precedingBytesLimit)
            return fail("more bytes than allowed precede the answer");
        // The parser takes a head in several pieces if its bytes come so.
        if (!m_hasHead)
            m_headBytes.append(static_cast<const char*>(m_input.data().data()), n);
        m_input.consume(n);
        if (!m_hasHead && m_parser->is_header_done()) {
            if (auto part = takeHead(); part != Part::None)
                return part;
            continue;
        }
        if (m_isSkipping)
            m_parser->get().body().clear();
        else if (m_hasHead && !m_parser->get().body().empty())
            return Part::Body;
        if (ec == http::error::need_more) {
            // What is left for want of more bytes is the start of a head or of a chunk's header.
            return m_input.size() > headLimit ? fail("the header of a chunk exceeds the size limit") : Part::None;
        }
    }
}

/// \returns `None` for an interim answer, which is skipped.
AnswerReader::Part AnswerReader::takeHead()
{
    const auto& message = m_parser->get();
    if (const auto* fault = faultOf(message, m_headBytes))
        return fail(fault);
    m_headBytes = {};
    if (isInterim(message.result_int())) {
        expectAnswer();
        return Part::None;
    }
    m_hasHead = true;
    // Not before: an eager parser ignores that the stated length exceeds the limit, and allocates that much.
    m_parser->eager(true);
    m_head = {};
    m_head.status = static_cast<int>(message.result_int());
    for (const auto& field : message)
        m_head.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    m_isReusable = m_isReusable && message.keep_alive() && !m_parser->need_eof();
    return Part::Head;
}

void AnswerReader::skip()
{
    m_isSkipping = true;
    m_isReusable = false;
}

bool AnswerReader::endsWithConnection() const { return m_hasHead && !m_isSkipping && !m_parser->is_done() && m_parser->need_eof(); }

AnswerReader::Part AnswerReader::fail(std::string why)
{
    m_fault = std::move(why);
    return Part::Fault;
}

} // namespace wrenhinge
