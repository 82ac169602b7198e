#include "connection/RequestParser.h"

#include "connection/HttpText.h"

namespace wrenhinge {

namespace http = boost::beast::http;

std::optional<std::string> framingFault(const http::request<GrowingBody>& request)
{
    if (request.count(http::field::host) != 1 && request.version() >= 11)
        return "exactly one Host header is needed";
    if (request.count(http::field::host) > 1)
        return "exactly one Host header is needed";
    if (request.count(http::field::content_length) > 1)
        return "two Content-Length headers";
    auto codings = request.count(http::field::transfer_encoding);
    if (codings > 1 || (codings && request.count(http::field::content_length)))
        return "both a length and a transfer coding";
    if (codings
        && !isSameName({ request[http::field::transfer_encoding].data(), request[http::field::transfer_encoding].size() }, "chunked"))
        return "a transfer coding other than chunked";
    if (request.target().empty() || request.target().front() != '/')
        return "the target must be a path";
    return std::nullopt;
}

} // namespace wrenhinge
