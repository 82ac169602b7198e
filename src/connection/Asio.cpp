#include "connection/Asio.h"

#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace wrenhinge {

ErrorCode endOfStream(Tcp::socket& socket)
{
    char c = 0;
    if (!socket.is_open())
        return {};
    auto n = ::recv(socket.native_handle(), &c, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n > 0 || (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)))
        return {};
    return n ? ErrorCode(errno, boost::system::system_category()) : ErrorCode(boost::asio::error::eof);
}

bool hasPeerClosed(Tcp::socket& socket)
{
    tcp_info info {};
    socklen_t length = sizeof info;
    return !::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &length) && info.tcpi_state == TCP_CLOSE_WAIT;
}

bool isQuiet(Tcp::socket& socket)
{
    char c = 0;
    if (!socket.is_open() || ::recv(socket.native_handle(), &c, 1, MSG_PEEK | MSG_DONTWAIT) >= 0)
        return false;
    return errno == EAGAIN || errno == EWOULDBLOCK;
}

} // namespace wrenhinge
