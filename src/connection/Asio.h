/** \file
 * The one place that includes Boost.Asio, with what Asio 1.74 forgets to include in C++20, and what it misses.
 */
#pragma once

#include <utility>

#include <boost/asio.hpp>

namespace wrenhinge {

using Tcp = boost::asio::ip::tcp;
using IoContext = boost::asio::io_context;
using Strand = boost::asio::strand<IoContext::executor_type>;
using ErrorCode = boost::system::error_code;

/// How the connection has ended, if nothing that the peer sent is left to read: end of file, or the error that broke it. Ask
/// before each asynchronous read.
///
/// Asio 1.74 takes a read that fills less than its buffer for the end of what there is, and then waits for the kernel's next
/// signal. When a peer's last bytes and its close arrive together there is only one signal, so the close is never seen: a
/// caller that sends a request and leaves at once would hold its place until it is written to. Asking takes a reset off the
/// socket, which then reads like a clean end; so the answer must be used, or an answer that was cut looks whole.
ErrorCode endOfStream(Tcp::socket&);

/// Reads some bytes, or reports how the connection has ended if nothing is left to read. The handler is never called from within.
template <typename Handler> void readSomeOrEnd(Tcp::socket& socket, boost::asio::mutable_buffer buf, Handler handler)
{
    if (auto end = endOfStream(socket)) {
        boost::asio::post(socket.get_executor(), [handler = std::move(handler), end]() mutable { handler(end, 0); });
        return;
    }
    socket.async_read_some(buf, std::move(handler));
}

/// Whether the connection is open and nothing has come on it. A kept connection on which anything has come is not fit for
/// another request: what came is its end, or bytes that belong to no request.
bool isQuiet(Tcp::socket&);

} // namespace wrenhinge
