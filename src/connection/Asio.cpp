#include "connection/Asio.h"

#include <cerrno>
#include <sys/socket.h>

namespace wrenhinge {

bool isClosedByPeer(Tcp::socket& socket)
{
    char c = 0;
    return socket.is_open() && ::recv(socket.native_handle(), &c, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

bool isQuiet(Tcp::socket& socket)
{
    char c = 0;
    if (!socket.is_open() || ::recv(socket.native_handle(), &c, 1, MSG_PEEK | MSG_DONTWAIT) >= 0)
        return false;
    return errno == EAGAIN || errno == EWOULDBLOCK;
}

} // namespace wrenhinge
