/** \file
 * Ports for processes that must know each other's addresses before they start.
 */
#pragma once

#include "connection/Asio.h"

#include <vector>

namespace wrenhinge::test {

/// Ports of the kernel's choice that are kept for processes of the test, also while none of these runs. A port that was only given
/// back could go to any connection made meanwhile; of 50 runs of a test beside nine others, five found one of theirs in use. The
/// kernel gives out no port that a socket is bound to; a process that lets its address be used again may still listen there.
class HeldPorts {
public:
    explicit HeldPorts(std::size_t n)
    {
        for (std::size_t i = 0; i < n; ++i) {
            auto& socket = m_sockets.emplace_back(m_io, Tcp::v4());
            socket.set_option(Tcp::socket::reuse_address(true));
            socket.bind(Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
        }
    }
    std::uint16_t operator[](std::size_t i) const { return m_sockets[i].local_endpoint().port(); }

private:
    IoContext m_io;
    std::vector<Tcp::socket> m_sockets;
};

} // namespace wrenhinge::test
