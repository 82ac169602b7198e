/** \file
 * An HTTP/1.1 server that passes complete requests to a handler; answers are sent complete or streamed.
 *
 * One request of a connection is in progress at a time, so pipelined requests are answered in order. The connection is read during a
 * request too, so that a caller's disconnect is noticed immediately. Beast parses the requests. In addition, a request whose framing two
 * parsers could read differently (both a length and chunks, two lengths, an unknown transfer coding, no host or two) is refused, since
 * its body could contain a second request (request smuggling).
 *
 * Callers may do anything, so what they all take together is bounded (docs/design/callers-limits.md):
 * - Requests that are being received: beyond the limit the largest is refused as not run, which spares the many small ones.
 * - Requests in progress: one that doesn't fit is refused as not run (RequestMemory).
 * - Answers that aren't read: beyond the limit the connection with the most bytes is closed, and so is one that takes nothing for the idle
 *   time.
 * - Bytes that are not read yet: each connection has its part of the limit, and a few large bodies more.
 * - Connections: beyond the limit one that has no request in progress is closed, first of all one that has sent none. Beyond three quarters
 *   of it a connection ends with its answer.
 * - Callers that have closed their side before they are accepted: mostly they have gone, so they come last, and few of them wait.
 * A request whose answer needs its head alone is answered before its body has come.
 *
 * Runs on the strand passed to it.
 */
#pragma once

#include "base/BufferBudget.h"
#include "base/RequestMemory.h"
#include "base/ResultCode.h"
#include "connection/Asio.h"
#include "connection/HeaderFields.h"
#include "connection/Timer.h"

#include <atomic>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace wrenhinge {

struct HttpRequest {
    std::string method;
    std::string target;
    std::string host;
    HeaderFields headers; ///< Without those that concern only the connection.
    std::string body;
    Duration readFor {}; ///< From the first byte to the last.
    std::shared_ptr<const RequestMemory::Share> memory {}; ///< To be kept as long as any part of the request is.
};

/// A complete answer.
struct HttpReply {
    int status = 0;
    HeaderList headers;
    std::string body;
};

/// The answer to one request. Once the caller has disconnected, its functions do nothing.
class HttpAnswer {
public:
    virtual ~HttpAnswer() = default;
    /// Sends a complete answer.
    virtual void reply(int status, const HeaderList&, std::string body) = 0;
    /// Starts an answer, of unknown length if the headers state none.
    virtual void begin(int status, const HeaderList&) = 0;
    virtual void write(std::string bytes) = 0;
    virtual void end() = 0;
    /// Closes the connection after what was written, so that the caller sees that the answer is incomplete.
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
        std::optional<Duration> bodyTime {}; ///< From the head's end to the body's; unset: the idle time.
        std::size_t connections = 3500;
        std::size_t unsentBytes = 64u << 20; ///< That wait for all callers together.
        std::size_t receivingBytes = 32u << 20; ///< Of all requests together that have not been received whole.
        std::size_t progressBytes = 32u << 20; ///< Of all requests in progress together.
        std::size_t unreadBytes = 32u << 20; ///< That have arrived on all connections together and are not read yet.
    };
    using Handler = std::function<void(HttpRequest&&, std::shared_ptr<HttpAnswer>)>;
    /// What is known of a request by its head.
    struct HeadDecision {
        std::optional<HttpReply> reply {}; ///< The answer, whatever the body will be.
        std::optional<std::size_t> bodyLimit {}; ///< Of this request, below that of all.
    };
    /// Called for a request whose head has come without all of its body.
    using HeadCheck = std::function<HeadDecision(const HttpRequest&)>;
    /// Words a refusal of the server's own, all of which mean that the request has not run. \param request as far as it is known.
    using ErrorFormat = std::function<HttpReply(const Error&, const HttpRequest& request)>;

    /// What was refused or closed for the limits. Read on any thread.
    struct Counters {
        std::atomic<std::uint64_t> answeredAtHead = 0;
        std::atomic<std::uint64_t> refusedWhileReceived = 0; ///< Too many bytes of requests that have not come whole.
        std::atomic<std::uint64_t> refusedWhenReceived = 0; ///< Too many bytes of requests in progress.
        std::atomic<std::uint64_t> closedForRoom = 0; ///< For newer connections.
        std::atomic<std::uint64_t> closedUnread = 0; ///< Their callers read no answers.
        std::atomic<std::uint64_t> sentTooFarAhead = 0;
    };

    HttpServer(Strand, Handler, HeadCheck = nullptr, ErrorFormat = plainError);
    ~HttpServer();

    /// \returns the bound address.
    Result<std::string> listen(const std::string& address);
    void setLimits(const Limits&);
    /// Closes each connection after its next answer.
    void announceClose() { m_isClosing = true; }
    /// Stops accepting connections, and closes every connection that has no request in progress.
    void closeIdle();
    /// Any thread.
    [[nodiscard]] std::size_t connections() const { return m_connectionCount; }
    /// Connections whose answer is not complete, or has not left yet.
    [[nodiscard]] std::size_t answersInProgress() const;
    [[nodiscard]] const Counters& counters() const { return m_counters; }

    /// A refusal as plain text.
    static HttpReply plainError(const Error&, const HttpRequest&);

private:
    class Connection;
    using Connections = std::list<Connection*>;
    void accept();
    void acceptOthers();
    void admitOrDelay(Tcp::socket);
    void admit(Tcp::socket);
    /// A connection has ended, or has got its last answer.
    void noteFreedPlace();
    void admitWaitingForPlace();
    void startConnection(Tcp::socket);
    void admitLater(Tcp::socket);
    void admitWaiting();
    /// Whether connections end with their answer. Otherwise those that always have a request in progress would keep their places, and none
    /// would be left for others.
    [[nodiscard]] bool isCrowded() const { return m_connections.size() > m_limits.connections - m_limits.connections / placesPerFreeOne; }
    bool hasRoom();
    bool makeRoom();
    bool makeRoomIn(Connections&, Duration minAge);
    void closeLargestUnsent();
    void refuseLargestReceived();
    [[nodiscard]] int receiveBuffer() const;
    bool makeRoomForLargeBody();

    /// The server is crowded once fewer than one place of so many is free.
    static constexpr std::size_t placesPerFreeOne = 4;

    Strand m_strand;
    Handler m_handler;
    HeadCheck m_headCheck;
    ErrorFormat m_errorFormat;
    Limits m_limits;
    Counters m_counters;
    Tcp::acceptor m_acceptor;
    std::deque<Tcp::socket> m_halfClosed; ///< Their callers had closed their side before they were accepted.
    Timer m_halfClosedTimer;
    std::optional<Tcp::socket> m_waiting; ///< Has found no place. No other connection is accepted meanwhile.
    Timer m_waitingTimer;
    std::set<std::shared_ptr<Connection>> m_connections;
    std::size_t m_endingCount = 0; ///< Of m_connections; their last answers are being written.
    std::atomic<std::size_t> m_connectionCount = 0; ///< Of m_connections.
    Connections m_unproductive; ///< Those that have sent no request yet, or not the whole of one; oldest first.
    Connections m_lingering; ///< Those that have got their last answer; oldest first.
    Connections m_idle; ///< Those between two requests; idle for longest first.
    Connections
        m_largeBodies; ///< Those with a large receive buffer, since a body came or comes; first the one that has sent nothing for longest.
    std::set<Connection*> m_discarding; ///< Those whose further bytes are of no use.
    BufferBudget<Connection*> m_unsent { m_limits.unsentBytes };
    BufferBudget<Connection*> m_receiving { m_limits.receivingBytes };
    RequestMemory m_inProgress { m_limits.progressBytes };
    bool m_isAccepting = false;
    bool m_isClosing = false;
    bool m_isClosed = false; ///< Each connection is closed when its request in progress ends.
};

} // namespace wrenhinge
