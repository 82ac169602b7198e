/** \file
 * Parses addresses, and listens on them.
 */
#pragma once

#include "base/ResultCode.h"
#include "connection/Asio.h"

#include <cstdint>
#include <string>

namespace wrenhinge {

/// Parses an address such as "127.0.0.1:80". The error tells the user what is wrong.
Result<Tcp::endpoint> parseEndpoint(const std::string& address);

/// The same host with another port; zero leaves the address as it is.
std::string withPort(const std::string& address, std::uint32_t port);

/// Binds and listens; port 0 binds any free port. \returns the bound address.
Result<std::string> listenOn(Tcp::acceptor&, const std::string& address);

} // namespace wrenhinge
