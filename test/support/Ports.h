/** \file
 * Ports for processes that must know each other's addresses before they start.
 */
#pragma once

#include "connection/Asio.h"

#include <vector>

namespace wrenhinge::test {

/// Ports that the kernel has just given out and that are free again.
inline std::vector<std::uint16_t> freePorts(std::size_t n)
{
    IoContext io;
    std::vector<Tcp::acceptor> held;
    std::vector<std::uint16_t> ports;
    for (std::size_t i = 0; i < n; ++i) {
        held.emplace_back(io, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
        ports.push_back(held.back().local_endpoint().port());
    }
    return ports;
}

} // namespace wrenhinge::test
