#include "connection/HttpConnection.h"

#include "connection/HttpText.h"

#include <algorithm>
#include <netinet/tcp.h>

namespace wrenhinge {

namespace {

    namespace http = boost::beast::http;

    /// Pipelined bytes that are buffered while a request is in progress. Beyond them the connection is closed after its answer.
    constexpr std::size_t readAheadLimit = 16 * 1024;
    /// An input buffer that has grown beyond this is released between requests.
    constexpr std::size_t keptInputBytes = 4096;
    /// Memory of a request in progress besides its bytes. A head stands here and in the call to a replica, and its id, which may be most of
    /// it, with the request's state and each handler of the call.
    constexpr std::size_t requestOverhead = 2048;
    constexpr std::size_t headCopies = 6;
    /// When a caller may come again that was refused for the memory of requests.
    constexpr Duration memoryRetryAfter = 1s;
    /// A request may come in so many pieces of fewer bytes than this, and is then read with pauses.
    constexpr int freeSmallReads = 16;
    constexpr std::size_t smallReadBytes = 512;
    constexpr Duration smallReadPause = 20ms;
    /// Between reads of bytes that are thrown away, if more connections than these send any: otherwise all others would wait behind them.
    constexpr Duration discardPause = 100ms;
    constexpr std::size_t discardingWithoutPause = 64;
    /// How long a connection is still read after its sending side was closed. Closing it with unread bytes would reset it, and the
    /// last answer could be lost.
    constexpr Duration lingerTime = 1s;
    constexpr int callerSilenceMs = 10000;

} // namespace

HttpServer::Connection::Connection(HttpServer& server, Tcp::socket socket)
    : m_server(server)
    , m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_writeTimer(m_socket.get_executor())
{
}

void HttpServer::Connection::start()
{
    ErrorCode ignored;
    m_socket.set_option(Tcp::no_delay(true), ignored);
    failWhenSilent(m_socket.native_handle(), callerSilenceMs);
    expectRequest();
    queueIn(m_server.m_unproductive);
    read();
}

void HttpServer::Connection::queueAgain()
{
    m_queue->splice(m_queue->end(), *m_queue, m_inQueue);
    m_queuedSince = currentInstant();
}

void HttpServer::Connection::endLargeBody()
{
    if (!m_hasLargeBuffer)
        return;
    m_hasLargeBuffer = false;
    m_server.m_largeBodies.erase(m_inLargeBodies);
    setReceiveBuffer(m_server.receiveBuffer());
}

void HttpServer::Connection::refuseForMemory()
{
    refuse({ ResultCode::Overloaded, "too many requests are being received", memoryRetryAfter });
}

void HttpServer::Connection::closeGently()
{
    if (m_state == State::Closed || m_state == State::Lingering)
        return;
    leave(State::Lingering);
    releaseInput();
    m_output.clear();
    m_writeTimer.cancel();
    noteUnsent();
    queueIn(m_server.m_lingering);
    ErrorCode ignored;
    m_socket.shutdown(Tcp::socket::shutdown_send, ignored);
    m_lingersUntil = currentInstant() + m_server.m_limits.idleTime;
    linger();
}

void HttpServer::Connection::linger()
{
    auto left = std::max(m_lingersUntil - currentInstant(), Duration::zero());
    m_timer.start(std::min(lingerTime, left), [self = shared_from_this()] { self->close(); });
}

void HttpServer::Connection::queueIn(Connections& queue)
{
    leaveQueue();
    m_queue = &queue;
    m_inQueue = queue.insert(queue.end(), this);
    m_queuedSince = currentInstant();
}

void HttpServer::Connection::leaveQueue()
{
    if (auto* queue = std::exchange(m_queue, nullptr))
        queue->erase(m_inQueue);
}

void HttpServer::Connection::beginLargeBody()
{
    auto stated = m_parser->content_length_remaining();
    if (m_hasLargeBuffer || (stated && *stated <= static_cast<std::uint64_t>(m_server.receiveBuffer())) || !m_server.makeRoomForLargeBody())
        return;
    m_hasLargeBuffer = true;
    m_inLargeBodies = m_server.m_largeBodies.insert(m_server.m_largeBodies.end(), this);
    setReceiveBuffer(largestReceiveBuffer);
}

void HttpServer::Connection::noteRead()
{
    m_lastReadAt = currentInstant();
    if (m_hasLargeBuffer)
        m_server.m_largeBodies.splice(m_server.m_largeBodies.end(), m_server.m_largeBodies, m_inLargeBodies);
}

void HttpServer::Connection::setReceiveBuffer(int bytes)
{
    ErrorCode ignored;
    m_socket.set_option(boost::asio::socket_base::receive_buffer_size(bytes), ignored);
    // Otherwise the limit of when the connection was made stays.
    ::setsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_WINDOW_CLAMP, &bytes, sizeof bytes);
}

void HttpServer::Connection::releaseInput()
{
    m_input = {};
    m_parser.reset();
    m_request = {};
    m_server.m_receiving.set(this, 0);
}

void HttpServer::Connection::expectRequest()
{
    m_state = State::Idle;
    m_parser.reset();
    if (!m_input.size() && m_input.capacity() > keptInputBytes)
        m_input = {};
    m_hasCheckedHead = false;
    m_sentContinue = false;
    m_isChunked = false;
    m_hasNoBody = false;
    onGone = nullptr;
    if (!m_isWriting)
        waitForRequest();
}

void HttpServer::Connection::waitForRequest()
{
    m_idleSince = currentInstant();
    limitTime(m_server.m_limits.idleTime, &Connection::idleTimeEnded);
}

void HttpServer::Connection::idleTimeEnded()
{
    // The limits may have changed meanwhile, and callers rely on the present ones.
    auto left = m_idleSince + m_server.m_limits.idleTime - currentInstant();
    if (left > Duration::zero() || !isQuiet(m_socket))
        return limitTime(std::max(left, Duration::zero()), &Connection::idleTimeEnded);
    closeGently();
}

void HttpServer::Connection::limitTime(Duration limit, void (Connection::*onTimeout)())
{
    m_timer.limit(limit, [self = shared_from_this(), onTimeout] { (*self.*onTimeout)(); });
}

void HttpServer::Connection::read()
{
    if (m_isReading || m_state == State::Closed || m_pause)
        return;
    if (m_state == State::Reading && m_smallReads > freeSmallReads)
        return pause(smallReadPause);
    if (isDiscarding()) {
        m_server.m_discarding.insert(this);
        if (m_server.m_discarding.size() > discardingWithoutPause)
            return pause(discardPause);
    }
    readNow();
}

void HttpServer::Connection::pause(Duration duration)
{
    m_smallReads = std::min(m_smallReads, freeSmallReads);
    m_pause.emplace(m_socket.get_executor());
    m_pause->start(duration, [self = shared_from_this()] {
        self->m_pause.reset();
        self->readNow();
    });
}

void HttpServer::Connection::readNow()
{
    if (m_isReading || m_state == State::Closed)
        return;
    m_isReading = true;
    readSomeOrEnd(
        m_socket, boost::asio::buffer(m_chunk), [self = shared_from_this()](ErrorCode ec, std::size_t n) { self->received(ec, n); });
}

void HttpServer::Connection::received(ErrorCode ec, std::size_t n)
{
    m_isReading = false;
    m_smallReads += n < smallReadBytes ? 1 : 0;
    if (m_state == State::Closed)
        return;
    if (ec)
        return close();
    noteRead();
    if (isDiscarding())
        discard(n);
    else
        take(n);
    read();
}

void HttpServer::Connection::discard(std::size_t n)
{
    m_discarded += n;
    if (m_discarded > m_server.m_limits.bodyBytes + m_server.m_limits.headerBytes)
        return close();
    if (m_state == State::Lingering)
        linger();
}

void HttpServer::Connection::take(std::size_t n)
{
    bool isAhead = m_state == State::Answering || (m_state == State::Idle && m_isWriting);
    if (isAhead && m_input.size() + n > readAheadLimit)
        return stopReadingAhead();
    boost::asio::buffer_copy(m_input.prepare(n), boost::asio::buffer(m_chunk, n));
    m_input.commit(n);
    if (m_state != State::Answering)
        parse();
}

void HttpServer::Connection::stopReadingAhead()
{
    ++m_server.m_counters.sentTooFarAhead;
    m_isOverrun = true;
    m_keepAlive = false;
    m_input = {};
    if (m_state == State::Idle)
        closeWhenWritten();
}

void HttpServer::Connection::parse()
{
    // A caller that sends requests ahead and reads no answers has no claim to further ones.
    if (!m_input.size() || (m_state == State::Idle && m_isWriting))
        return;
    if (m_state == State::Idle)
        beginRequest();
    ErrorCode ec;
    while (m_input.size() && !m_parser->is_done()) {
        bool hadHeader = m_parser->is_header_done();
        auto n = m_parser->put(m_input.data(), ec);
        m_input.consume(n);
        if (m_parser->is_header_done() && !hadHeader) {
            // Not before: an eager parser ignores that the stated length exceeds the limit.
            m_parser->eager(true);
            if (auto fault = m_parser->framingFault())
                return refuse({ ResultCode::MalformedRequest, *fault });
            takeHead();
            limitTime(m_server.m_limits.bodyTime.value_or(m_server.m_limits.idleTime), &Connection::bodyTimeEnded);
        }
        if (ec)
            break;
    }
    if (ec && ec != http::error::need_more)
        return refuse({ codeOf(ec), ec.message() });
    if (m_parser->is_done())
        return dispatch();
    // What is left for want of more bytes is the start of a head or of a chunk's header.
    if (m_input.size() > std::max(readAheadLimit, m_server.m_limits.headerBytes))
        return refuse({ ResultCode::HeaderTooLarge, "the header of a chunk exceeds the size limit" });
    if (m_parser->is_header_done() && !std::exchange(m_hasCheckedHead, true) && answerAtHead())
        return;
    if (m_parser->is_header_done() && !m_sentContinue && m_expectsContinue) {
        m_sentContinue = true;
        send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (m_parser->is_header_done())
        beginLargeBody();
    noteReceived();
}

void HttpServer::Connection::takeHead()
{
    m_isHead = m_parser->method() == "HEAD";
    m_version = m_parser->version();
    m_keepAlive = m_parser->keep_alive();
    m_expectsContinue = m_parser->expectsContinue();
    m_request = {};
    m_request.method = m_parser->method();
    m_request.target = m_parser->target();
    m_request.host = m_parser->host();
    m_request.headers = withoutConnectionHeaders(m_parser->fields());
    m_parser->releaseHead();
}

bool HttpServer::Connection::answerAtHead()
{
    auto decision = m_server.m_headCheck ? m_server.m_headCheck(m_request) : HeadDecision();
    if (decision.reply) {
        ++m_server.m_counters.answeredAtHead;
        m_state = State::Answering;
        m_keepAlive = false;
        reply(decision.reply->status, decision.reply->headers, std::move(decision.reply->body));
        return true;
    }
    if (!decision.bodyLimit)
        return false;
    auto limit = std::min(*decision.bodyLimit, m_server.m_limits.bodyBytes);
    m_parser->body_limit(limit);
    // The parser compares the stated length with its limit only as it reads the head.
    if (m_parser->content_length().value_or(0) <= limit)
        return false;
    refuse({ ResultCode::BodyTooLarge, "the body exceeds the size limit" });
    return true;
}

void HttpServer::Connection::noteReceived()
{
    m_server.m_receiving.set(this, m_input.capacity() + headBytesOf(m_request) + m_parser->body().size());
    m_server.refuseLargestReceived();
}

void HttpServer::Connection::beginRequest()
{
    m_state = State::Reading;
    if (m_queue != &m_server.m_unproductive)
        queueIn(m_server.m_unproductive);
    m_startedAt = currentInstant();
    m_smallReads = 0;
    m_request = {};
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(m_server.m_limits.headerBytes));
    m_parser->body_limit(m_server.m_limits.bodyBytes);
    limitTime(m_server.m_limits.headerTime, &Connection::headerTimeEnded);
}

ResultCode HttpServer::Connection::codeOf(ErrorCode ec)
{
    if (ec == http::error::header_limit)
        return ResultCode::HeaderTooLarge;
    return ec == http::error::body_limit ? ResultCode::BodyTooLarge : ResultCode::MalformedRequest;
}

void HttpServer::Connection::dispatch()
{
    m_state = State::Answering;
    m_timer.cancel();
    leaveQueue();
    m_server.m_receiving.set(this, 0);
    auto request = std::exchange(m_request, {});
    request.body = std::move(m_parser->body());
    request.readFor = currentInstant() - m_startedAt;
    request.memory = m_server.m_inProgress.take(requestOverhead + headCopies * headBytesOf(request) + request.body.size());
    if (!request.memory) {
        ++m_server.m_counters.refusedWhenReceived;
        return replyError({ ResultCode::Overloaded, "too many requests are in progress", memoryRetryAfter }, request);
    }
    m_server.m_handler(std::move(request), shared_from_this());
}

std::size_t HttpServer::Connection::headBytesOf(const HttpRequest& request)
{
    return request.headers.bytes() + request.target.size() + request.host.size();
}

void HttpServer::Connection::close()
{
    if (m_state == State::Closed)
        return;
    auto self = shared_from_this();
    m_timer.cancel();
    m_writeTimer.cancel();
    endLargeBody();
    ErrorCode ignored;
    m_socket.close(ignored);
    m_server.m_connections.erase(self);
    m_server.m_connectionCount = m_server.m_connections.size();
    m_server.m_unsent.set(this, 0);
    m_server.m_receiving.set(this, 0);
    m_server.m_discarding.erase(this);
    leaveQueue();
    leave(State::Closed);
}

void HttpServer::Connection::leave(State next)
{
    bool wasAnswering = m_state == State::Answering;
    m_server.m_endingCount -= m_state == State::Ending ? 1 : 0;
    m_state = next;
    m_server.noteFreedPlace();
    if (auto gone = std::exchange(onGone, nullptr); gone && wasAnswering)
        gone();
}

} // namespace wrenhinge
