/** \file
 * Parses a caller's request. Beast reads the syntax; what the request consists of is kept as one text of fields and one body.
 *
 * Beast's own message keeps each field by itself: thousands of short ones, legal in size, take twenty times their bytes and a millisecond
 * of processor time. It also sets the stated length of a body aside at once: thousands of callers that state the largest and send nothing
 * would take all address space.
 */
#pragma once

#include "connection/Asio.h"
#include "connection/HeaderFields.h"

#include <boost/beast/http/basic_parser.hpp>
#include <cstdint>
#include <optional>
#include <string>

namespace wrenhinge {

class RequestParser : public boost::beast::http::basic_parser<true> {
public:
    // The head, once it is complete.
    [[nodiscard]] const std::string& method() const { return m_method; }
    [[nodiscard]] const std::string& target() const { return m_target; }
    [[nodiscard]] const std::string& host() const { return m_host; }
    [[nodiscard]] unsigned version() const { return m_version; } ///< 11 for HTTP/1.1.
    [[nodiscard]] bool expectsContinue() const { return m_expectsContinue; }
    /// All fields, in their order.
    [[nodiscard]] const HeaderFields& fields() const { return m_fields; }
    /// Why the framing is ambiguous, so that two parsers could read it differently, or nothing.
    [[nodiscard]] std::optional<std::string> framingFault() const;
    /// Frees what was kept of the head.
    void releaseHead();

    /// As far as it has come.
    [[nodiscard]] std::string& body() { return m_body; }

private:
    using Verb = boost::beast::http::verb;
    using FieldName = boost::beast::http::field;
    using Text = boost::beast::string_view;

    void on_request_impl(Verb, Text method, Text target, int version, ErrorCode&) override;
    void on_response_impl(int, Text, int, ErrorCode&) override { }
    void on_field_impl(FieldName, Text name, Text value, ErrorCode&) override;
    void on_header_impl(ErrorCode&) override { m_isHeadComplete = true; }
    void on_body_init_impl(const boost::optional<std::uint64_t>&, ErrorCode&) override { }
    std::size_t on_body_impl(Text part, ErrorCode&) override;
    void on_chunk_header_impl(std::uint64_t, Text, ErrorCode&) override { }
    std::size_t on_chunk_body_impl(std::uint64_t, Text part, ErrorCode& ec) override { return on_body_impl(part, ec); }
    void on_finish_impl(ErrorCode&) override { }

    std::string m_method;
    std::string m_target;
    std::string m_host;
    HeaderFields m_fields;
    std::string m_body;
    unsigned m_version = 11;
    int m_hosts = 0;
    int m_lengths = 0;
    int m_codings = 0;
    bool m_isChunked = true; ///< Of the codings: each is `chunked`.
    bool m_expectsContinue = false;
    bool m_isHeadComplete = false; ///< Fields that follow are trailers.
};

} // namespace wrenhinge
