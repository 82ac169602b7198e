/** \file
 * Parses a caller's request with Beast, and finds framing that two parsers could read differently.
 */
#pragma once

#include "connection/Asio.h"

#include <boost/beast/http.hpp>
#include <cstdint>
#include <optional>
#include <string>

namespace wrenhinge {

/// A body in a string that grows with what arrives. Beast's own reserves the stated length at once: thousands of callers that state
/// the largest and send nothing would take all address space.
struct GrowingBody {
    using value_type = std::string;
    static std::uint64_t size(const value_type& body) { return body.size(); }
    class reader { // NOLINT(readability-identifier-naming): the name that Beast looks for.
    public:
        template <bool isRequest, typename Fields>
        reader(boost::beast::http::header<isRequest, Fields>&, value_type& body)
            : m_body(body)
        {
        }
        static void init(const boost::optional<std::uint64_t>&, ErrorCode& ec) { ec = {}; }
        template <typename Buffers> std::size_t put(const Buffers& buffers, ErrorCode& ec)
        {
            std::size_t n = 0;
            for (auto it = boost::asio::buffer_sequence_begin(buffers); it != boost::asio::buffer_sequence_end(buffers); ++it) {
                boost::asio::const_buffer buf = *it;
                m_body.append(static_cast<const char*>(buf.data()), buf.size());
                n += buf.size();
            }
            ec = {};
            return n;
        }
        static void finish(ErrorCode& ec) { ec = {}; }

    private:
        value_type& m_body;
    };
};
using RequestParser = boost::beast::http::request_parser<GrowingBody>;

/// \returns why the framing of a request is ambiguous, or nothing.
std::optional<std::string> framingFault(const boost::beast::http::request<GrowingBody>&);

} // namespace wrenhinge
