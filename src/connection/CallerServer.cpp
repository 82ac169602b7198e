#include "connection/CallerServer.h"

#include "connection/CallerProtocol.h"
#include "connection/Endpoint.h"
#include "connection/Timer.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace wrenhinge {

namespace {

    namespace beast = boost::beast;
    namespace http = boost::beast::http;

    /// Pipelined bytes that are buffered while a request is in progress.
    constexpr std::size_t pipelineLimit = 65536;
    constexpr std::size_t watchBytes = 4096;

    std::string statusLine(int status)
    {
        return "HTTP/1.1 " + std::to_string(status) + " " + std::string(http::obsolete_reason(static_cast<http::status>(status))) + "\r\n";
    }

    std::string chunk(const std::string& bytes)
    {
        char size[20];
        std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
        return size + bytes + "\r\n";
    }

    bool isHeader(std::string_view name, std::string_view wanted)
    {
        return beast::iequals({ name.data(), name.size() }, { wanted.data(), wanted.size() });
    }

} // namespace

/// One caller's connection. All functions except the constructor run on its strand.
class CallerServer::Connection : public std::enable_shared_from_this<CallerServer::Connection> {
public:
    Connection(CallerServer& server, Tcp::socket socket)
        : m_server(server)
        , m_socket(std::move(socket))
        , m_timer(m_socket.get_executor())
    {
        ++m_server.m_connections;
    }

    ~Connection()
    {
        countFinished();
        --m_server.m_connections;
    }

    template <typename F> void post(F f)
    {
        boost::asio::post(m_socket.get_executor(), [self = shared_from_this(), f = std::move(f)]() mutable { f(*self); });
    }

    void readHead()
    {
        m_request = {};
        m_isAnswered = false;
        m_isChunked = false;
        m_hasBody = true;
        m_parser = std::make_unique<Parser>();
        m_parser->header_limit(static_cast<std::uint32_t>(m_server.m_settings.headerLimit));
        m_parser->body_limit(m_server.m_settings.bodyLimit);
        limitTime(m_buffer.size() ? m_server.m_settings.headerTime : m_server.m_settings.idleTime);
        if (m_server.m_isStopping && !m_buffer.size())
            return close();
        if (!m_buffer.size() && endOfStream(m_socket))
            return close();
        m_isIdle = true;
        http::async_read_header(m_socket, m_buffer, *m_parser, [self = shared_from_this()](ErrorCode ec, std::size_t) {
            self->m_isIdle = false;
            if (self->m_hasTimedOut)
                return;
            if (ec)
                return self->onReadError(ec);
            self->readBody();
        });
    }

    void writeHead(int status, const HeaderList& headers)
    {
        m_hasBody = m_parser->get().method() != http::verb::head && status >= 200 && status != 204 && status != 304;
        auto out = statusLine(status);
        bool hasLength = false;
        for (const auto& [name, value] : headers) {
            bool isLength = isHeader(name, "content-length");
            hasLength = hasLength || isLength;
            if (isLength && !m_hasBody && status < 300 && m_parser->get().method() != http::verb::head)
                continue;
            out += name + ": " + value + "\r\n";
        }
        bool canChunk = m_parser->get().version() >= 11;
        m_isChunked = m_hasBody && !hasLength && canChunk;
        if (m_hasBody && !hasLength && !canChunk)
            m_keepAlive = false;
        if (m_isChunked)
            out += "Transfer-Encoding: chunked\r\n";
        out += "X-Request-Id: " + toString(m_request) + "\r\n";
        out += m_keepAlive ? "\r\n" : "Connection: close\r\n\r\n";
        write(std::move(out));
    }

    void writeData(const std::string& bytes)
    {
        if (m_hasBody)
            write(m_isChunked ? chunk(bytes) : bytes);
    }

    void writeEnd()
    {
        if (m_isChunked)
            write("0\r\n\r\n");
        m_isAnswered = true;
        pump();
    }

    void writeError(const Error& error)
    {
        auto body = errorBody(error, m_request);
        HeaderList headers { { "Content-Type", "application/json" }, { "Content-Length", std::to_string(body.size()) } };
        if (error.retryAfter)
            headers.emplace_back("Retry-After", retryAfterSeconds(*error.retryAfter));
        writeHead(httpStatusOf(error.code), headers);
        writeData(body);
        writeEnd();
    }

    /// Ends an answer of which a part was sent. A stream gets the error as its last event. The connection is closed without the end of the
    /// body, so that the answer doesn't look complete.
    void writeBreak(const Error& error)
    {
        if (m_isChunked)
            write(chunk(errorEvent(error, m_request)));
        m_keepAlive = false;
        m_isAnswered = true;
        pump();
    }

private:
    using Parser = http::request_parser<http::string_body>;

    void onReadError(ErrorCode ec)
    {
        if (ec == http::error::end_of_stream || ec == boost::asio::error::operation_aborted || ec == boost::asio::error::connection_reset
            || ec == boost::asio::error::eof || ec == http::error::partial_message)
            return close();
        m_keepAlive = false;
        if (ec == http::error::header_limit)
            return writeError({ ResultCode::HeaderTooLarge, "the headers are too large; send fewer or shorter ones" });
        if (ec == http::error::body_limit)
            return writeError({ ResultCode::BodyTooLarge, "the body is too large; send a shorter one" });
        writeError({ ResultCode::MalformedRequest, "not a valid HTTP request: " + ec.message() });
    }

    void readBody()
    {
        m_keepAlive = m_parser->get().keep_alive();
        if (m_parser->get().version() != 11 && m_parser->get().version() != 10) {
            m_keepAlive = false;
            return writeError({ ResultCode::MalformedRequest, "use HTTP/1.1" });
        }
        limitTime(m_server.m_settings.bodyTime);
        if (beast::iequals(m_parser->get()[http::field::expect], "100-continue"))
            write("HTTP/1.1 100 Continue\r\n\r\n");
        http::async_read(m_socket, m_buffer, *m_parser, [self = shared_from_this()](ErrorCode ec, std::size_t) {
            if (self->m_hasTimedOut)
                return;
            if (ec)
                return self->onReadError(ec);
            self->submit();
        });
    }

    void submit()
    {
        m_timer.cancel();
        const auto& head = m_parser->get();
        auto account = m_server.accounts()->identify(std::string(head[http::field::authorization]));
        if (!account)
            return writeError(
                { ResultCode::UnknownAccount, "the bearer token is missing or wrong; send `Authorization: Bearer <account>.<secret>`" });
        CallerHttpRequest request { std::string(head.method_string()), std::string(head.target()), {}, std::move(m_parser->get().body()) };
        for (const auto& field : head)
            request.headers.emplace_back(field.name_string(), field.value());
        auto caller = readCallerRequest(std::move(request), *account);
        if (!caller)
            return writeError(caller.error());
        m_request = m_server.adopt(shared_from_this());
        m_isCounted = true;
        ++m_server.m_unfinished;
        watch();
        m_server.m_handlers.onSubmit(m_request, std::move(caller.value()));
    }

    /// Reads while the request is in progress, to notice a disconnect. Received bytes belong to the next pipelined request.
    void watch()
    {
        if (m_buffer.size() >= pipelineLimit)
            return;
        if (endOfStream(m_socket))
            return post([](Connection& self) { self.onGone(); });
        m_isWatching = true;
        m_socket.async_read_some(m_buffer.prepare(watchBytes), [self = shared_from_this()](ErrorCode ec, std::size_t n) {
            self->m_isWatching = false;
            self->m_buffer.commit(n);
            if (self->m_isAnswered)
                return self->pump();
            if (ec)
                return self->onGone();
            self->watch();
        });
    }

    void onGone()
    {
        if (m_request.sequence && !m_isAnswered) {
            auto request = std::exchange(m_request, {});
            m_server.forget(request);
            m_server.m_handlers.onGone(request);
        }
        close();
    }

    void write(std::string bytes)
    {
        m_out += bytes;
        pump();
    }

    void pump()
    {
        if (m_isWriting || m_isClosed)
            return;
        if (!m_out.empty()) {
            m_isWriting = true;
            m_writing = std::exchange(m_out, {});
            boost::asio::async_write(m_socket, boost::asio::buffer(m_writing), [self = shared_from_this()](ErrorCode ec, std::size_t) {
                self->m_isWriting = false;
                if (ec)
                    return self->onGone();
                self->pump();
            });
            return;
        }
        if (m_isAnswered)
            onAnswered();
    }

    void countFinished()
    {
        if (std::exchange(m_isCounted, false))
            --m_server.m_unfinished;
    }

    void onAnswered()
    {
        countFinished();
        if (!m_keepAlive)
            return close();
        if (m_isWatching) {
            // The handler of the pending read calls this function again.
            m_socket.cancel();
            return;
        }
        readHead();
    }

    void limitTime(Duration limit)
    {
        m_timer.limit(limit, [self = shared_from_this()] { self->onTimeout(); });
    }

    void onTimeout()
    {
        if (m_isIdle && !m_parser->got_some())
            return close();
        // What the pending read still receives is discarded, since this answer means that the request has not run.
        m_hasTimedOut = true;
        m_keepAlive = false;
        Error error { ResultCode::RequestTimeout, "the request was not received completely in time; send it again" };
        auto body = errorBody(error, {});
        auto text = statusLine(httpStatusOf(error.code))
            + "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
        boost::asio::async_write(m_socket, boost::asio::buffer(m_writing = std::move(text)),
            [self = shared_from_this()](ErrorCode, std::size_t) { self->close(); });
    }

    void close()
    {
        if (std::exchange(m_isClosed, true))
            return;
        countFinished();
        m_timer.cancel();
        ErrorCode ignored;
        m_socket.shutdown(Tcp::socket::shutdown_both, ignored);
        m_socket.close(ignored);
    }

    CallerServer& m_server;
    Tcp::socket m_socket;
    Timer m_timer; ///< Limits the time to receive a request, and the idle time.
    beast::flat_buffer m_buffer;
    std::unique_ptr<Parser> m_parser;
    RequestId m_request;
    std::string m_out;
    std::string m_writing;
    bool m_keepAlive = true;
    bool m_isChunked = false;
    bool m_hasBody = true;
    bool m_isAnswered = false;
    bool m_isWatching = false;
    bool m_isWriting = false;
    bool m_isIdle = false;
    bool m_isClosed = false;
    bool m_hasTimedOut = false; ///< The request is being refused because it was not received in time.
    bool m_isCounted = false; ///< Among the server's unfinished requests.
};

CallerServer::CallerServer(IoContext& io, CallerSettings settings, PeerId origin, Handlers handlers)
    : m_io(io)
    , m_settings(std::move(settings))
    , m_origin(origin)
    , m_handlers(std::move(handlers))
    , m_acceptor(boost::asio::make_strand(io))
    , m_accounts(std::make_shared<AccountBook>())
{
}

CallerServer::~CallerServer() = default;

Result<std::string> CallerServer::start()
{
    if (auto loaded = reloadAccounts(); !loaded)
        return loaded.error();
    auto bound = listenOn(m_acceptor, m_settings.listen);
    if (bound)
        accept();
    return bound;
}

Result<void> CallerServer::reloadAccounts()
{
    if (m_settings.accountsFile.empty())
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    auto book = AccountBook::read(m_settings.accountsFile);
    if (!book)
        return book.error();
    std::lock_guard lock(m_mutex);
    m_accounts = std::make_shared<AccountBook>(std::move(book.value()));
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

std::shared_ptr<const AccountBook> CallerServer::accounts()
{
    std::lock_guard lock(m_mutex);
    return m_accounts;
}

void CallerServer::accept()
{
    m_acceptor.async_accept(boost::asio::make_strand(m_io), [this](ErrorCode ec, Tcp::socket socket) {
        if (ec == boost::asio::error::operation_aborted || m_isStopping)
            return;
        if (!ec && m_connections < m_settings.connectionLimit) {
            ErrorCode ignored;
            socket.set_option(Tcp::no_delay(true), ignored);
            std::make_shared<Connection>(*this, std::move(socket))->post([](Connection& c) { c.readHead(); });
        }
        accept();
    });
}

void CallerServer::stopAccepting()
{
    m_isStopping = true;
    boost::asio::post(m_acceptor.get_executor(), [this] {
        ErrorCode ignored;
        m_acceptor.close(ignored);
    });
}

RequestId CallerServer::adopt(const std::shared_ptr<Connection>& connection)
{
    std::lock_guard lock(m_mutex);
    RequestId id { m_origin, ++m_lastSequence };
    m_requests[id] = connection;
    return id;
}

void CallerServer::forget(const RequestId& id)
{
    std::lock_guard lock(m_mutex);
    m_requests.erase(id);
}

std::shared_ptr<CallerServer::Connection> CallerServer::find(const RequestId& id, bool forget)
{
    std::lock_guard lock(m_mutex);
    auto it = m_requests.find(id);
    if (it == m_requests.end())
        return nullptr;
    auto connection = it->second.lock();
    if (forget)
        m_requests.erase(it);
    return connection;
}

void CallerServer::head(const RequestId& id, int status, HeaderList headers)
{
    if (auto connection = find(id, false))
        connection->post([status, headers = std::move(headers)](Connection& c) { c.writeHead(status, headers); });
}

void CallerServer::data(const RequestId& id, std::string bytes)
{
    if (auto connection = find(id, false))
        connection->post([bytes = std::move(bytes)](Connection& c) { c.writeData(bytes); });
}

void CallerServer::end(const RequestId& id)
{
    if (auto connection = find(id, true))
        connection->post([](Connection& c) { c.writeEnd(); });
}

void CallerServer::error(const RequestId& id, const Error& error)
{
    if (auto connection = find(id, true))
        connection->post([error](Connection& c) { c.writeError(error); });
}

void CallerServer::breakOff(const RequestId& id, const Error& error)
{
    if (auto connection = find(id, true))
        connection->post([error](Connection& c) { c.writeBreak(error); });
}

} // namespace wrenhinge
