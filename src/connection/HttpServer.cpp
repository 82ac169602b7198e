#include "connection/HttpServer.h"

#include "base/SystemClock.h"
#include "connection/Endpoint.h"
#include "connection/HttpConnection.h"

#include <algorithm>
#include <cmath>

namespace wrenhinge {

namespace {

    /// A connection is given this long to send its first request before it is closed for a newer one.
    constexpr Duration firstRequestTime = 500ms;
    /// What the kernel may keep of a connection that is not read yet. With less a request would come in many pieces.
    constexpr int smallestReceiveBuffer = 4 * 1024;
    /// A large body that has not come for this long makes room for another one.
    constexpr Duration largeBodyTime = 500ms;
    /// Looks at so many connections for one to close.
    constexpr int roomAttempts = 8;
    constexpr Duration acceptAgainAfter = 50ms;
    /// A new connection waits so long for a place while last answers are being written.
    constexpr Duration placeTime = 5ms;
    constexpr std::size_t acceptedAtOnce = 64;
    /// So many connections whose callers have closed their side may wait, and so many of them are read in this time.
    constexpr std::size_t waitingHalfClosed = 64;
    constexpr std::size_t halfClosedAtOnce = 4;
    constexpr Duration halfClosedInterval = 20ms;

} // namespace

HttpServer::HttpServer(Strand strand, Handler handler, HeadCheck headCheck, ErrorFormat errorFormat)
    : m_strand(std::move(strand))
    , m_handler(std::move(handler))
    , m_headCheck(std::move(headCheck))
    , m_errorFormat(std::move(errorFormat))
    , m_acceptor(m_strand)
    , m_halfClosedTimer(m_strand)
    , m_waitingTimer(m_strand)
{
}

HttpServer::~HttpServer() = default;

HttpReply HttpServer::plainError(const Error& error, const HttpRequest&)
{
    HttpReply out { httpStatusOf(error.code), { { "Content-Type", "text/plain" } }, error.message + "\n" };
    if (error.retryAfter)
        out.headers.emplace_back("Retry-After", std::to_string(static_cast<int>(std::ceil(toSeconds(*error.retryAfter)))));
    return out;
}

Result<std::string> HttpServer::listen(const std::string& address)
{
    auto bound = listenOn(m_acceptor, address);
    if (!bound)
        return bound;
    // Connections inherit it.
    ErrorCode ignored;
    m_acceptor.set_option(boost::asio::socket_base::receive_buffer_size(receiveBuffer()), ignored);
    m_acceptor.non_blocking(true, ignored);
    accept();
    return bound;
}

/// Of a connection without a large body. All together hold at most the limit of bytes that are not read, and large bodies a quarter more.
int HttpServer::receiveBuffer() const
{
    auto part = m_limits.unreadBytes / std::max<std::size_t>(m_limits.connections, 1);
    return static_cast<int>(std::clamp<std::size_t>(part, smallestReceiveBuffer, Connection::largestReceiveBuffer));
}

/// \returns whether one more connection may have a large receive buffer. Takes one from a connection that doesn't use it.
bool HttpServer::makeRoomForLargeBody()
{
    auto most = std::max<std::size_t>(1, m_limits.unreadBytes / 4 / Connection::largestReceiveBuffer);
    if (m_largeBodies.size() < most)
        return true;
    auto* longestPause = m_largeBodies.front();
    if (longestPause->bodyPause() < largeBodyTime)
        return false;
    longestPause->endLargeBody();
    return true;
}

void HttpServer::setLimits(const Limits& limits)
{
    m_limits = limits;
    m_unsent.setLimit(limits.unsentBytes);
    // A single request of the largest size is received, whatever the limit.
    m_receiving.setLimit(std::max(limits.receivingBytes, 2 * limits.headerBytes + limits.bodyBytes));
    m_inProgress.setLimit(limits.progressBytes);
}

void HttpServer::accept()
{
    if (m_isAccepting || m_waiting || !m_acceptor.is_open())
        return;
    m_isAccepting = true;
    m_acceptor.async_accept(m_strand, [this](ErrorCode ec, Tcp::socket socket) {
        m_isAccepting = false;
        if (ec == boost::asio::error::operation_aborted || !m_acceptor.is_open())
            return;
        if (!ec) {
            admitOrDelay(std::move(socket));
            acceptOthers();
        }
        if (!ec || (ec == boost::asio::error::no_descriptors && makeRoom()))
            return accept();
        // An immediate retry would probably fail too.
        auto timer = std::make_shared<boost::asio::steady_timer>(m_strand, acceptAgainAfter);
        timer->async_wait([this, timer](ErrorCode) { accept(); });
    });
}

/// A turn of the event loop serves each connection that has something to read. If only one were accepted in each, a caller behind a crowd
/// would wait for as many turns as the crowd has connections.
void HttpServer::acceptOthers()
{
    // Fewer than there are places, or some would make room for others before they are read.
    auto most = std::min(acceptedAtOnce, m_limits.connections / 4);
    for (std::size_t i = 1; i < most && !m_waiting; ++i) {
        ErrorCode ec;
        Tcp::socket socket(m_strand);
        m_acceptor.accept(socket, ec);
        if (ec)
            return;
        admitOrDelay(std::move(socket));
    }
}

void HttpServer::admitOrDelay(Tcp::socket socket)
{
    if (hasPeerClosed(socket))
        admitLater(std::move(socket));
    else
        admit(std::move(socket));
}

/// Beyond the limit the connection is closed unread, so the caller may safely try another gateway. It waits first where last answers are
/// being written: they all may be, in one turn of the event loop.
void HttpServer::admit(Tcp::socket socket)
{
    if (hasRoom())
        return startConnection(std::move(socket));
    if (m_waiting || !m_endingCount)
        return;
    m_waiting = std::move(socket);
    m_waitingTimer.start(placeTime, [this] {
        m_waiting.reset();
        accept();
    });
}

void HttpServer::noteFreedPlace()
{
    if (m_waiting)
        boost::asio::post(m_strand, [this] { admitWaitingForPlace(); });
}

void HttpServer::admitWaitingForPlace()
{
    if (!m_waiting || !hasRoom())
        return;
    m_waitingTimer.cancel();
    startConnection(std::move(*m_waiting));
    m_waiting.reset();
    accept();
}

bool HttpServer::hasRoom() { return m_connections.size() < m_limits.connections || makeRoom(); }

void HttpServer::startConnection(Tcp::socket socket)
{
    auto connection = std::make_shared<Connection>(*this, std::move(socket));
    m_connections.insert(connection);
    m_connectionCount = m_connections.size();
    connection->start();
}

/// Behind thousands that connect, send a request and leave, a caller that still waits would be late by the time that they all take.
void HttpServer::admitLater(Tcp::socket socket)
{
    if (m_halfClosed.size() >= waitingHalfClosed)
        return;
    m_halfClosed.push_back(std::move(socket));
    if (m_halfClosed.size() == 1)
        m_halfClosedTimer.start(halfClosedInterval, [this] { admitWaiting(); });
}

void HttpServer::admitWaiting()
{
    for (std::size_t i = 0; i < halfClosedAtOnce && !m_halfClosed.empty(); ++i) {
        admit(std::move(m_halfClosed.front()));
        m_halfClosed.pop_front();
    }
    if (!m_halfClosed.empty())
        m_halfClosedTimer.start(halfClosedInterval, [this] { admitWaiting(); });
}

/// Closes the connection that is least likely to be of use and has no request in progress. \returns false if there is none.
bool HttpServer::makeRoom()
{
    return makeRoomIn(m_unproductive, firstRequestTime) || makeRoomIn(m_lingering, Duration::zero()) || makeRoomIn(m_idle, Duration::zero())
        || makeRoomIn(m_unproductive, Duration::zero());
}

bool HttpServer::makeRoomIn(Connections& queue, Duration minAge)
{
    for (int i = 0; i < roomAttempts && !queue.empty(); ++i) {
        auto* connection = queue.front();
        if (currentInstant() - connection->queuedSince() < minAge)
            return false;
        // A request has arrived that will be read next.
        if (&queue == &m_idle && !connection->isIdle()) {
            connection->queueAgain();
            continue;
        }
        ++m_counters.closedForRoom;
        connection->disconnect();
        return true;
    }
    return false;
}

void HttpServer::closeLargestUnsent()
{
    for (auto largest = m_unsent.excess(); largest; largest = m_unsent.excess()) {
        ++m_counters.closedUnread;
        (*largest)->disconnect();
    }
}

void HttpServer::refuseLargestReceived()
{
    for (auto largest = m_receiving.excess(); largest; largest = m_receiving.excess()) {
        ++m_counters.refusedWhileReceived;
        (*largest)->refuseForMemory();
    }
}

void HttpServer::closeIdle()
{
    ErrorCode ignored;
    m_acceptor.close(ignored);
    m_isClosing = m_isClosed = true;
    m_halfClosedTimer.cancel();
    m_halfClosed.clear();
    m_waitingTimer.cancel();
    m_waiting.reset();
    auto connections = m_connections;
    for (const auto& connection : connections) {
        if (connection->isIdle())
            connection->closeGently();
    }
}

std::size_t HttpServer::answersInProgress() const
{
    auto isAnswering = [](const auto& connection) { return connection->isAnswering(); };
    return static_cast<std::size_t>(std::count_if(m_connections.begin(), m_connections.end(), isAnswering));
}

} // namespace wrenhinge
