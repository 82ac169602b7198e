#include "connection/RequestParser.h"

#include "connection/HttpText.h"

namespace wrenhinge {

namespace {

    std::string_view viewOf(boost::beast::string_view text) { return { text.data(), text.size() }; }

} // namespace

void RequestParser::on_request_impl(Verb, Text method, Text target, int version, ErrorCode&)
{
    m_method = viewOf(method);
    m_target = viewOf(target);
    m_version = static_cast<unsigned>(version);
}

void RequestParser::on_field_impl(FieldName field, Text name, Text value, ErrorCode&)
{
    if (m_isHeadComplete)
        return;
    m_fields.add(viewOf(name), viewOf(value));
    if (field == FieldName::host && !m_hosts++)
        m_host = viewOf(value);
    m_lengths += field == FieldName::content_length;
    m_expectsContinue = m_expectsContinue || field == FieldName::expect;
    if (field == FieldName::transfer_encoding) {
        ++m_codings;
        m_isChunked = m_isChunked && isSameName(viewOf(value), "chunked");
    }
}

void RequestParser::releaseHead()
{
    m_target = {};
    m_host = {};
    m_fields = {};
}

std::size_t RequestParser::on_body_impl(Text part, ErrorCode&)
{
    m_body.append(part.data(), part.size());
    return part.size();
}

std::optional<std::string> RequestParser::framingFault() const
{
    if (m_hosts > 1 || (!m_hosts && m_version >= 11))
        return "exactly one Host header is needed";
    if (m_lengths > 1)
        return "two Content-Length headers";
    if (m_codings > 1 || (m_codings && m_lengths))
        return "both a length and a transfer coding";
    if (m_codings && !m_isChunked)
        return "a transfer coding other than chunked";
    if (m_target.empty() || m_target.front() != '/')
        return "the target must be a path";
    return std::nullopt;
}

} // namespace wrenhinge
