#include "connection/HttpConnection.h"

#include "connection/HttpText.h"

#include <cstdio>

namespace wrenhinge {

void HttpServer::Connection::reply(int status, const HeaderList& headers, std::string body)
{
    if (m_state != State::Answering)
        return;
    auto text = head(status, headers);
    bool hasNoBody = isWithoutBody(status);
    if (!hasNoBody)
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    text += "\r\n";
    if (!m_isHead && !hasNoBody)
        text += body;
    send(std::move(text));
    finish();
}

void HttpServer::Connection::begin(int status, const HeaderList& headers)
{
    if (m_state != State::Answering)
        return;
    bool hasLength = headerValue(headers, "Content-Length").has_value();
    m_hasNoBody = m_isHead || isWithoutBody(status);
    m_isChunked = m_version >= 11 && !hasLength && !m_hasNoBody;
    m_keepAlive = m_keepAlive && (m_isChunked || hasLength || m_hasNoBody);
    auto text = head(status, headers);
    if (m_isChunked)
        text += "Transfer-Encoding: chunked\r\n";
    send(text + "\r\n");
}

void HttpServer::Connection::write(std::string bytes)
{
    if (m_state != State::Answering || bytes.empty() || m_hasNoBody)
        return;
    if (m_isChunked) {
        std::array<char, 20> size {};
        auto n = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
        bytes.insert(0, size.data(), static_cast<std::size_t>(n));
        bytes += "\r\n";
    }
    send(std::move(bytes));
}

void HttpServer::Connection::end()
{
    if (m_state != State::Answering)
        return;
    if (m_isChunked)
        send("0\r\n\r\n");
    finish();
}

void HttpServer::Connection::breakOff()
{
    if (m_state != State::Answering)
        return;
    onGone = nullptr;
    if (m_isWriting)
        closeWhenWritten();
    else
        close();
}

void HttpServer::Connection::replyError(const Error& error, const HttpRequest& request)
{
    auto out = m_server.m_errorFormat(error, request);
    reply(out.status, out.headers, std::move(out.body));
}

void HttpServer::Connection::refuse(const Error& error)
{
    m_state = State::Answering;
    m_version = 11;
    m_isHead = false;
    m_keepAlive = false;
    replyError(error, m_request);
}

std::string HttpServer::Connection::head(int status, const HeaderList& headers)
{
    m_keepAlive = m_keepAlive && !m_server.m_isClosing && !m_server.isCrowded();
    std::string text = "HTTP/1.1 " + std::to_string(status) + " " + std::string(reasonOf(status)) + "\r\n";
    appendHeaders(text, headers);
    if (!m_keepAlive)
        text += "Connection: close\r\n";
    return text;
}

void HttpServer::Connection::finish()
{
    // Sending the last bytes may have closed the connection, as too many wait for this caller.
    if (m_state != State::Answering)
        return;
    onGone = nullptr;
    // The head of a long answer may have been sent, without `Connection: close`, before the server began to close. If the connection
    // stayed open, it would receive another request that can't be answered in time.
    if (!m_keepAlive || m_server.m_isClosed)
        return closeWhenWritten();
    expectRequest();
    queueIn(m_server.m_idle);
    // The next request may already be buffered. It is parsed later, since this may be called from within parse().
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (self->m_state == State::Idle)
            self->parse();
        self->read();
    });
}

void HttpServer::Connection::closeWhenWritten()
{
    m_state = State::Ending;
    ++m_server.m_endingCount;
    m_timer.cancel();
    releaseInput();
    leaveQueue();
    if (!m_isWriting)
        closeGently();
}

void HttpServer::Connection::send(std::string bytes)
{
    if (m_output.empty())
        m_output = std::move(bytes);
    else
        m_output += bytes;
    if (!m_isWriting)
        flush();
    noteUnsent();
    m_server.closeLargestUnsent();
}

void HttpServer::Connection::flush()
{
    m_isWriting = true;
    m_inFlight = std::move(m_output);
    m_output.clear();
    m_written = 0;
    writeSome();
}

void HttpServer::Connection::writeSome()
{
    m_writeTimer.limit(m_server.m_limits.idleTime, [self = shared_from_this()] {
        ++self->m_server.m_counters.closedUnread;
        self->close();
    });
    auto rest = boost::asio::buffer(m_inFlight) + m_written;
    m_socket.async_write_some(rest, [self = shared_from_this()](ErrorCode ec, std::size_t n) { self->wrote(ec, n); });
}

void HttpServer::Connection::wrote(ErrorCode ec, std::size_t n)
{
    m_written += n;
    if (m_state == State::Closed)
        return;
    if (ec)
        return close();
    if (m_written < m_inFlight.size())
        return writeSome();
    m_isWriting = false;
    m_inFlight = {};
    m_writeTimer.cancel();
    noteUnsent();
    if (!m_output.empty())
        return flush();
    if (m_state == State::Ending)
        return closeGently();
    if (m_state != State::Idle)
        return;
    waitForRequest();
    parse();
    read();
}

} // namespace wrenhinge
