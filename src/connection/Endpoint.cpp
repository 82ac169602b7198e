#include "connection/Endpoint.h"

#include <algorithm>

namespace wrenhinge {

Result<Tcp::endpoint> parseEndpoint(const std::string& address)
{
    auto bad = [&address] {
        return Error { ResultCode::BadSettings, "'" + address + "' is no address: write IP:PORT, such as 127.0.0.1:8080" };
    };
    auto colon = address.rfind(':');
    if (colon == std::string::npos)
        return bad();
    ErrorCode ec;
    auto ip = boost::asio::ip::make_address(address.substr(0, colon), ec);
    auto port = address.substr(colon + 1);
    bool digits = !port.empty() && port.size() <= 5 && std::all_of(port.begin(), port.end(), [](char c) { return c >= '0' && c <= '9'; });
    if (ec || !digits || std::stoul(port) > 65535)
        return bad();
    return Tcp::endpoint(ip, static_cast<std::uint16_t>(std::stoul(port)));
}

std::string withPort(const std::string& address, std::uint32_t port)
{
    return port ? address.substr(0, address.rfind(':') + 1) + std::to_string(port) : address;
}

Result<std::string> listenOn(Tcp::acceptor& acceptor, const std::string& address)
{
    auto endpoint = parseEndpoint(address);
    if (!endpoint)
        return endpoint.error();
    ErrorCode ec;
    acceptor.open(endpoint.value().protocol(), ec);
    if (!ec)
        acceptor.set_option(Tcp::acceptor::reuse_address(true), ec);
    if (!ec)
        acceptor.bind(endpoint.value(), ec);
    if (!ec)
        acceptor.listen(boost::asio::socket_base::max_listen_connections, ec);
    if (ec)
        return Error { ResultCode::BadSettings, "can't listen on " + address + ": " + ec.message() + "; choose another address" };
    auto bound = acceptor.local_endpoint(ec);
    return bound.address().to_string() + ":" + std::to_string(bound.port());
}

} // namespace wrenhinge
