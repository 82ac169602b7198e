/** \file
 * An HTTP/1.1 server that passes complete requests to a handler; answers are sent complete or streamed.
 *
 * One request of a connection is in progress at a time, so pipelined requests are answered in order. The connection is read during a
 * request too, so that a caller's disconnect is noticed immediately. Beast parses the requests. In addition, a request whose framing two
 * parsers could read differently (both a length and chunks, two lengths, an unknown transfer coding, no host or two) is refused, since
 * its body could contain a second request (request smuggling).
 *
 * A caller may read slower than its answer arrives, or not at all. If the bytes that wait for all callers exceed a limit, the connection
 * with the most of them is closed.
 *
 * Runs on the strand passed to it.
 */
#pragma once

#include "base/BufferBudget.h"
#include "base/ResultCode.h"
#include "connection/Asio.h"
#include "message/Messages.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace wrenhinge {

struct HttpRequest {
    std::string method;
    std::string target;
    std::string host;
    HeaderList headers; ///< Without those that concern only the connection.
    std::string body;
    Duration readFor {}; ///< From the first byte to the last.
};

/// The answer to one request. Once the caller has disconnected, its functions do nothing.
class HttpAnswer {
public:
    virtual ~HttpAnswer() = default;
    /// Sends a complete answer.
    virtual void reply(int status, const HeaderList&, std::string body) = 0;
    /// Starts an answer of unknown length.
    virtual void begin(int status, const HeaderList&) = 0;
    virtual void write(std::string bytes) = 0;
    virtual void end() = 0;
    /// Closes the connection, so that the caller sees that the answer is incomplete.
    virtual void breakOff() = 0;
    /// Called once if the caller disconnects before the answer is complete.
    std::function<void()> onGone;
};

class HttpServer {
public:
    struct Limits {
        std::size_t headerBytes = 16384;
        std::size_t bodyBytes = 8000000;
        Duration headerTime = 10s;
        Duration idleTime = 60s;
        std::size_t connections = 3500;
        std::size_t unsentBytes = 64u << 20; ///< That wait for all callers together.
    };
    using Handler = std::function<void(HttpRequest&&, std::shared_ptr<HttpAnswer>)>;

    HttpServer(Strand, Handler);
    ~HttpServer();

    /// \returns the bound address.
    Result<std::string> listen(const std::string& address);
    void setLimits(const Limits&);
    /// Closes each connection after its next answer.
    void announceClose() { m_isClosing = true; }
    /// Stops accepting connections, and closes every connection that has no request in progress.
    void closeIdle();
    [[nodiscard]] std::size_t connections() const { return m_connections.size(); }
    [[nodiscard]] std::size_t requestsInProgress() const;

private:
    class Connection;
    void accept();
    void closeLargestUnsent();

    Strand m_strand;
    Handler m_handler;
    Limits m_limits;
    Tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<Connection>> m_connections;
    BufferBudget<Connection*> m_unsent { m_limits.unsentBytes };
    bool m_isClosing = false;
    bool m_isClosed = false; ///< Each connection is closed when its request in progress ends.
};

} // namespace wrenhinge
