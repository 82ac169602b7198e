/** \file
 * The only place that includes Boost.Asio. Adds an include that Asio 1.74 lacks in C++20, and detection of closed connections.
 */
#pragma once

#include <utility>

#include <boost/asio.hpp>

namespace wrenhinge {

using Tcp = boost::asio::ip::tcp;
using IoContext = boost::asio::io_context;
using Strand = boost::asio::strand<IoContext::executor_type>;
using ErrorCode = boost::system::error_code;

/// \returns how the connection has ended, if no bytes are left to read: end of file or an error. Call it before each asynchronous read.
///
/// After a read that fills less than its buffer, Asio 1.74 waits for the next notification of the kernel. If the peer's last bytes and its
/// close arrive together there is only one notification, so the close is never noticed. The call removes a pending reset from the socket,
/// and a later read would return end of file. So the result must be used; otherwise a truncated answer looks complete.
ErrorCode endOfStream(Tcp::socket&);

/// Reads some bytes, or passes the result of `endOfStream` to the handler. The handler is never called before this returns.
template <typename Handler> void readSomeOrEnd(Tcp::socket& socket, boost::asio::mutable_buffer buf, Handler handler)
{
    if (auto end = endOfStream(socket)) {
        boost::asio::post(socket.get_executor(), [handler = std::move(handler), end]() mutable { handler(end, 0); });
        return;
    }
    socket.async_read_some(buf, std::move(handler));
}

/// Whether the peer has closed its side already, whatever it has sent before.
bool hasPeerClosed(Tcp::socket&);

/// Whether the connection is open and no bytes wait to be read. An idle connection on which something has arrived must not be reused: it
/// was closed, or the bytes belong to no request.
bool isQuiet(Tcp::socket&);

} // namespace wrenhinge
