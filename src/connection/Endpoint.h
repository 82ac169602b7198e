/** \file
 * Addresses as operators write them, and listening on one.
 */
#pragma once

#include "base/ResultCode.h"
#include "connection/Asio.h"

#include <cstdint>
#include <string>

namespace wrenhinge {

/// Splits "127.0.0.1:80" into an endpoint. The error is the user's: it names what is wrong.
Result<Tcp::endpoint> parseEndpoint(const std::string& address);

/// The same host with another port; zero leaves the address as it is.
std::string withPort(const std::string& address, std::uint32_t port);

/// Binds and listens; port 0 takes any. \returns the bound address.
Result<std::string> listenOn(Tcp::acceptor&, const std::string& address);

} // namespace wrenhinge
