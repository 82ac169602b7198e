/** \file
 * An HTTP/1.1 server that hands over whole requests and lets their answers be whole or streamed.
 *
 * One request of a connection is in progress at a time, so pipelined ones are answered in order. The connection is read all
 * the while, so that a caller that leaves is noticed at once. Parsing is Beast's; on top of it a request whose framing two
 * parsers could read differently (both a length and chunks, two lengths, an unknown transfer coding, no host or two) is
 * refused, since a second request could hide in its body.
 *
 * Everything runs on the strand that the server is given.
 */
#pragma once

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
    HeaderList headers; ///< As sent, but for those that concern only the connection.
    std::string body;
    Duration readFor {}; ///< From the first byte to the last.
};

/// The place of one answer. After the caller has gone its calls do nothing.
class HttpAnswer {
public:
    virtual ~HttpAnswer() = default;
    /// Sends a whole answer.
    virtual void reply(int status, const HeaderList&, std::string body) = 0;
    /// Starts an answer of unknown length.
    virtual void begin(int status, const HeaderList&) = 0;
    virtual void write(std::string bytes) = 0;
    virtual void end() = 0;
    /// Closes the connection, so that an answer that has begun doesn't look complete.
    virtual void breakOff() = 0;
    /// Called once if the caller leaves before the answer is complete.
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
    };
    using Handler = std::function<void(HttpRequest&&, std::shared_ptr<HttpAnswer>)>;

    HttpServer(Strand, Handler);
    ~HttpServer();

    /// \returns the bound address.
    Result<std::string> listen(const std::string& address);
    void setLimits(const Limits&);
    /// From now on each answer closes its connection.
    void announceClose() { m_isClosing = true; }
    /// Accepts no more and closes every connection that has no request in progress.
    void closeIdle();
    [[nodiscard]] std::size_t connections() const { return m_connections.size(); }
    [[nodiscard]] std::size_t requestsInProgress() const;

private:
    class Connection;
    void accept();

    Strand m_strand;
    Handler m_handler;
    Limits m_limits;
    Tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<Connection>> m_connections;
    bool m_isClosing = false;
    bool m_isClosed = false; ///< No connection outlives its request in progress.
};

} // namespace wrenhinge
