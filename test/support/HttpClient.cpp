#include "HttpClient.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace wrenhinge::test {

namespace {

    namespace beast = boost::beast;
    namespace http = boost::beast::http;

    constexpr std::size_t bodyLimit = 256u << 20;

} // namespace

std::string HttpAnswer::header(const std::string& name) const
{
    for (const auto& [key, value] : headers) {
        if (beast::iequals(key, name))
            return value;
    }
    return {};
}

HttpClient::HttpClient(const std::string& address, const std::string& from)
    : m_endpoint(boost::asio::ip::make_address(address.substr(0, address.rfind(':'))),
        static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1))))
{
    if (from.empty())
        return;
    m_socket.open(m_endpoint.protocol());
    m_socket.bind({ boost::asio::ip::make_address(from), 0 });
}

void HttpClient::connect()
{
    ErrorCode isUnconnected;
    m_socket.remote_endpoint(isUnconnected);
    ErrorCode ec;
    if (isUnconnected)
        m_socket.connect(m_endpoint, ec);
}

void HttpClient::send(const std::string& method, const std::string& target, const std::string& body, const HeaderList& headers)
{
    connect();
    http::request<http::string_body> request;
    request.method_string(method);
    request.target(target);
    request.version(11);
    request.set(http::field::host, "wrenhinge");
    for (const auto& [name, value] : headers)
        request.set(name, value);
    request.body() = body;
    request.prepare_payload();
    ErrorCode ec;
    http::write(m_socket, request, ec);
}

std::string HttpClient::readSome(std::size_t n)
{
    std::array<char, 4096> buf {};
    ErrorCode ec;
    while (!ec && m_received.size() < n) {
        auto got = m_socket.read_some(boost::asio::buffer(buf), ec);
        m_received.append(buf.data(), got);
    }
    return m_received;
}

HttpAnswer HttpClient::finish()
{
    beast::flat_buffer buffer;
    boost::asio::buffer_copy(buffer.prepare(m_received.size()), boost::asio::buffer(m_received));
    buffer.commit(m_received.size());
    m_received.clear();
    http::response_parser<http::string_body> parser;
    parser.body_limit(bodyLimit);
    ErrorCode ec;
    http::read(m_socket, buffer, parser, ec);
    HttpAnswer answer;
    if (!parser.is_header_done())
        return answer;
    answer.status = static_cast<int>(parser.get().result_int());
    for (const auto& field : parser.get())
        answer.headers.emplace_back(field.name_string(), field.value());
    answer.body = parser.get().body();
    answer.isWhole = parser.is_done() && !ec;
    // What follows belongs to the next answer on this connection.
    m_received = beast::buffers_to_string(buffer.data());
    if (!parser.get().keep_alive())
        close();
    return answer;
}

HttpAnswer HttpClient::call(const std::string& method, const std::string& target, const std::string& body, const HeaderList& headers)
{
    send(method, target, body, headers);
    return finish();
}

std::string HttpClient::raw(const std::string& bytes)
{
    connect();
    ErrorCode ec;
    boost::asio::write(m_socket, boost::asio::buffer(bytes), ec);
    m_socket.shutdown(Tcp::socket::shutdown_send, ec);
    std::string answer;
    std::array<char, 4096> buf {};
    for (ErrorCode end; !end;) {
        auto n = m_socket.read_some(boost::asio::buffer(buf), end);
        answer.append(buf.data(), n);
    }
    close();
    return answer;
}

void HttpClient::close()
{
    ErrorCode ec;
    m_socket.close(ec);
    m_received.clear();
}

} // namespace wrenhinge::test
