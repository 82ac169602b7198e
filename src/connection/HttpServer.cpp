#include "connection/HttpServer.h"

#include "base/SystemClock.h"
#include "connection/Endpoint.h"
#include "connection/HttpText.h"
#include "connection/Timer.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cmath>
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
    /// A connection is given this long to send its first request before it is closed for a newer one.
    constexpr Duration firstRequestTime = 500ms;
    /// A request may come in so many pieces of fewer bytes than this, and is then read with pauses.
    constexpr int freeSmallReads = 16;
    constexpr std::size_t smallReadBytes = 512;
    constexpr Duration smallReadPause = 20ms;
    /// What the kernel may keep of a connection that is not read yet: the least with which requests come in few pieces, and the most.
    constexpr int smallestReceiveBuffer = 4 * 1024;
    constexpr int largestReceiveBuffer = 64 * 1024;
    /// A large body that has not come for this long makes room for another one.
    constexpr Duration largeBodyTime = 500ms;
    /// Looks at so many connections for one to close.
    constexpr int roomAttempts = 8;
    /// How long a connection is still read after its sending side was closed. Closing it with unread bytes would reset it, and the
    /// last answer could be lost.
    constexpr Duration lingerTime = 1s;
    constexpr int callerSilenceMs = 10000;
    constexpr Duration acceptAgainAfter = 50ms;

    /// A body in a string that grows with what arrives. Beast's own reserves the stated length at once: thousands of callers that state
    /// the largest and send nothing would take all address space.
    struct GrowingBody {
        using value_type = std::string;
        static std::uint64_t size(const value_type& body) { return body.size(); }
        class reader { // NOLINT(readability-identifier-naming): the name that Beast looks for.
        public:
            template <bool isRequest, typename Fields>
            reader(http::header<isRequest, Fields>&, value_type& body)
                : m_body(body)
            {
            }
            static void init(const boost::optional<std::uint64_t>&, ErrorCode& ec) { ec = {}; }
            template <typename Buffers> std::size_t put(const Buffers& buffers, ErrorCode& ec)
            {
                std::size_t n = 0;
                for (auto it = boost::asio::buffer_sequence_begin(buffers); it != boost::asio::buffer_sequence_end(buffers); ++it) {
                    boost::asio::const_buffer buf = *it;
                    m_body.append(static_cast<const char*>(buf.data()), buf.size());
                    n += buf.size();
                }
                ec = {};
                return n;
            }
            static void finish(ErrorCode& ec) { ec = {}; }

        private:
            value_type& m_body;
        };
    };
    using RequestParser = http::request_parser<GrowingBody>;

    /// \returns why the framing of a request is ambiguous, or nothing.
    std::optional<std::string> framingFault(const http::request<GrowingBody>& request)
    {
        if (request.count(http::field::host) != 1 && request.version() >= 11)
            return "exactly one Host header is needed";
        if (request.count(http::field::host) > 1)
            return "exactly one Host header is needed";
        if (request.count(http::field::content_length) > 1)
            return "two Content-Length headers";
        auto codings = request.count(http::field::transfer_encoding);
        if (codings > 1 || (codings && request.count(http::field::content_length)))
            return "both a length and a transfer coding";
        if (codings
            && !isSameName({ request[http::field::transfer_encoding].data(), request[http::field::transfer_encoding].size() }, "chunked"))
            return "a transfer coding other than chunked";
        if (request.target().empty() || request.target().front() != '/')
            return "the target must be a path";
        return std::nullopt;
    }

} // namespace

class HttpServer::Connection : public HttpAnswer, public std::enable_shared_from_this<HttpServer::Connection> {
public:
    Connection(HttpServer& server, Tcp::socket socket)
        : m_server(server)
        , m_socket(std::move(socket))
        , m_timer(m_socket.get_executor())
        , m_writeTimer(m_socket.get_executor())
    {
    }

    void start()
    {
        ErrorCode ignored;
        m_socket.set_option(Tcp::no_delay(true), ignored);
        failWhenSilent(m_socket.native_handle(), callerSilenceMs);
        expectRequest();
        queueIn(m_server.m_unproductive);
        read();
    }

    [[nodiscard]] bool isAnswering() const { return m_state == State::Answering || m_isWriting; }
    /// Whether no request is in progress and no bytes wait to be read, so that closing the connection loses no request.
    [[nodiscard]] bool isIdle() { return m_state == State::Idle && !m_isWriting && !m_input.size() && isQuiet(m_socket); }
    /// Since when it has been in its queue.
    [[nodiscard]] Instant queuedSince() const { return m_queuedSince; }
    /// Moves it to the end of its queue.
    void queueAgain()
    {
        m_queue->splice(m_queue->end(), *m_queue, m_inQueue);
        m_queuedSince = currentInstant();
    }

    void reply(int status, const HeaderList& headers, std::string body) override
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

    void begin(int status, const HeaderList& headers) override
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

    void write(std::string bytes) override
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

    void end() override
    {
        if (m_state != State::Answering)
            return;
        if (m_isChunked)
            send("0\r\n\r\n");
        finish();
    }

    void breakOff() override
    {
        if (m_state != State::Answering)
            return;
        onGone = nullptr;
        if (m_isWriting)
            closeWhenWritten();
        else
            close();
    }

    void disconnect() { close(); }

    /// \returns how long nothing has come of its large body.
    [[nodiscard]] Duration bodyPause() const { return currentInstant() - m_lastReadAt; }
    /// Gives the large receive buffer back. Not while its body comes: a sender that has seen a large window waits for long before it
    /// uses a small one.
    void endLargeBody()
    {
        if (!m_hasLargeBuffer)
            return;
        m_hasLargeBuffer = false;
        m_server.m_largeBodies.erase(m_inLargeBodies);
        setReceiveBuffer(m_server.receiveBuffer());
    }

    /// Refuses a request that has not come whole.
    void refuseForMemory() { refuse({ ResultCode::Overloaded, "too many requests are being received", memoryRetryAfter }); }

    /// Closes the sending side first, so that the caller sees an end of file and not a reset.
    void closeGently()
    {
        if (m_state == State::Closed || m_state == State::Lingering)
            return;
        leave(State::Lingering);
        releaseInput();
        m_output.clear();
        m_writeTimer.cancel();
        noteUnsent();
        queueIn(m_server.m_unproductive);
        ErrorCode ignored;
        m_socket.shutdown(Tcp::socket::shutdown_send, ignored);
        m_lingersUntil = currentInstant() + m_server.m_limits.idleTime;
        linger();
    }

private:
    enum class State : std::uint8_t {
        Idle, ///< Between requests.
        Reading,
        Answering, ///< A request was passed to the handler, and its answer is not complete.
        Ending, ///< The last answer is being written; received bytes are discarded.
        Lingering, ///< The sending side is closed; received bytes are discarded.
        Closed,
    };

    /// A caller may send the rest of a body whose answer it has already.
    void linger()
    {
        auto left = std::max(m_lingersUntil - currentInstant(), Duration::zero());
        m_timer.start(std::min(lingerTime, left), [self = shared_from_this()] { self->close(); });
    }

    void queueIn(Connections& queue)
    {
        leaveQueue();
        m_queue = &queue;
        m_inQueue = queue.insert(queue.end(), this);
        m_queuedSince = currentInstant();
    }

    void leaveQueue()
    {
        if (auto* queue = std::exchange(m_queue, nullptr))
            queue->erase(m_inQueue);
    }

    /// Lets a body come in large pieces, if few others do: through a small buffer it takes a round trip for each.
    void beginLargeBody()
    {
        auto stated = m_parser->content_length_remaining();
        if (m_hasLargeBuffer || (stated && *stated <= static_cast<std::uint64_t>(m_server.receiveBuffer()))
            || !m_server.makeRoomForLargeBody())
            return;
        m_hasLargeBuffer = true;
        m_inLargeBodies = m_server.m_largeBodies.insert(m_server.m_largeBodies.end(), this);
        setReceiveBuffer(largestReceiveBuffer);
    }

    void noteRead()
    {
        m_lastReadAt = currentInstant();
        if (m_hasLargeBuffer)
            m_server.m_largeBodies.splice(m_server.m_largeBodies.end(), m_server.m_largeBodies, m_inLargeBodies);
    }

    void setReceiveBuffer(int bytes)
    {
        ErrorCode ignored;
        m_socket.set_option(boost::asio::socket_base::receive_buffer_size(bytes), ignored);
        // Otherwise the limit of when the connection was made stays.
        ::setsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_WINDOW_CLAMP, &bytes, sizeof bytes);
    }

    void releaseInput()
    {
        m_input = {};
        m_parser.reset();
        m_request = {};
        m_server.m_receiving.set(this, 0);
    }

    void expectRequest()
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

    /// Starts the idle time. The time in which the caller still reads the previous answer doesn't count.
    void waitForRequest()
    {
        m_idleSince = currentInstant();
        limitTime(m_server.m_limits.idleTime, &Connection::idleTimeEnded);
    }

    void idleTimeEnded()
    {
        // The limits may have changed meanwhile, and callers rely on the present ones.
        auto left = m_idleSince + m_server.m_limits.idleTime - currentInstant();
        if (left > Duration::zero() || !isQuiet(m_socket))
            return limitTime(std::max(left, Duration::zero()), &Connection::idleTimeEnded);
        closeGently();
    }

    void headerTimeEnded() { refuse({ ResultCode::RequestTimeout, "the request's header did not come in time" }); }
    void bodyTimeEnded() { refuse({ ResultCode::RequestTimeout, "the request's body did not come in time" }); }

    /// Calls `onTimeout` after `limit`, unless the state changes before. Bytes that have arrived by then are read first: otherwise a
    /// process that was suspended would close a connection on which a complete request had arrived in time.
    void limitTime(Duration limit, void (Connection::*onTimeout)())
    {
        m_timer.limit(limit, [self = shared_from_this(), onTimeout] { (*self.*onTimeout)(); });
    }

    void read()
    {
        if (m_isReading || m_state == State::Closed || m_pause)
            return;
        if (m_state == State::Reading && m_smallReads > freeSmallReads)
            return pause();
        m_isReading = true;
        readSomeOrEnd(
            m_socket, boost::asio::buffer(m_chunk), [self = shared_from_this()](ErrorCode ec, std::size_t n) { self->received(ec, n); });
    }

    /// Lets the small pieces of a request come together: each costs as much processor time as a large one.
    void pause()
    {
        m_smallReads = freeSmallReads;
        m_pause.emplace(m_socket.get_executor());
        m_pause->start(smallReadPause, [self = shared_from_this()] {
            self->m_pause.reset();
            self->read();
        });
    }

    void received(ErrorCode ec, std::size_t n)
    {
        m_isReading = false;
        m_smallReads += n < smallReadBytes ? 1 : 0;
        if (m_state == State::Closed)
            return;
        if (ec)
            return close();
        noteRead();
        if (m_state == State::Lingering || m_state == State::Ending || m_isOverrun)
            discard(n);
        else
            take(n);
        read();
    }

    /// Received bytes are of no use: the connection is closed after its answer.
    void discard(std::size_t n)
    {
        m_discarded += n;
        if (m_discarded > m_server.m_limits.bodyBytes + m_server.m_limits.headerBytes)
            return close();
        if (m_state == State::Lingering)
            linger();
    }

    void take(std::size_t n)
    {
        bool isAhead = m_state == State::Answering || (m_state == State::Idle && m_isWriting);
        if (isAhead && m_input.size() + n > readAheadLimit)
            return stopReadingAhead();
        boost::asio::buffer_copy(m_input.prepare(n), boost::asio::buffer(m_chunk, n));
        m_input.commit(n);
        if (m_state != State::Answering)
            parse();
    }

    /// The caller sees that the connection ends after the answer, and so that what it has sent ahead has not run.
    void stopReadingAhead()
    {
        ++m_server.m_counters.sentTooFarAhead;
        m_isOverrun = true;
        m_keepAlive = false;
        m_input = {};
        if (m_state == State::Idle)
            closeWhenWritten();
    }

    void parse()
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
                // Not before: an eager parser ignores that the stated length exceeds the limit, and allocates that much.
                m_parser->eager(true);
                if (auto fault = framingFault(m_parser->get()))
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

    /// Keeps of the head what the request needs. The parser's own fields take many times their bytes.
    void takeHead()
    {
        auto& message = m_parser->get();
        m_isHead = message.method() == http::verb::head;
        m_version = message.version();
        m_keepAlive = message.keep_alive();
        m_expectsContinue = message.count(http::field::expect);
        m_request = {};
        m_request.method = std::string(message.method_string());
        m_request.target = std::string(message.target());
        m_request.host = std::string(message[http::field::host]);
        HeaderFields fields;
        for (const auto& field : message)
            fields.add({ field.name_string().data(), field.name_string().size() }, { field.value().data(), field.value().size() });
        m_request.headers = withoutConnectionHeaders(fields);
        message.clear();
    }

    /// \returns whether the request needed no more than its head, and was answered.
    bool answerAtHead()
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

    /// Counts what has come of a request that isn't whole.
    void noteReceived()
    {
        m_server.m_receiving.set(this, m_input.capacity() + headBytesOf(m_request) + m_parser->get().body().size());
        m_server.refuseLargestReceived();
    }

    /// Uses the present limits: they may have changed since the connection became idle.
    void beginRequest()
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

    static ResultCode codeOf(ErrorCode ec)
    {
        if (ec == http::error::header_limit)
            return ResultCode::HeaderTooLarge;
        return ec == http::error::body_limit ? ResultCode::BodyTooLarge : ResultCode::MalformedRequest;
    }

    void dispatch()
    {
        m_state = State::Answering;
        m_timer.cancel();
        leaveQueue();
        endLargeBody();
        m_server.m_receiving.set(this, 0);
        auto request = std::exchange(m_request, {});
        request.body = std::move(m_parser->get().body());
        request.readFor = currentInstant() - m_startedAt;
        request.memory = m_server.m_inProgress.take(requestOverhead + headCopies * headBytesOf(request) + request.body.size());
        if (!request.memory) {
            ++m_server.m_counters.refusedWhenReceived;
            return replyError({ ResultCode::Overloaded, "too many requests are in progress", memoryRetryAfter }, request);
        }
        m_server.m_handler(std::move(request), shared_from_this());
    }

    static bool isWithoutBody(int status) { return status == 204 || status == 304; }

    static std::size_t headBytesOf(const HttpRequest& request)
    {
        return request.headers.bytes() + request.target.size() + request.host.size();
    }

    void replyError(const Error& error, const HttpRequest& request)
    {
        auto out = m_server.m_errorFormat(error, request);
        reply(out.status, out.headers, std::move(out.body));
    }

    /// Refuses a request that was not received whole, and closes the connection, since the start of the next request is unknown.
    void refuse(const Error& error)
    {
        m_state = State::Answering;
        m_version = 11;
        m_isHead = false;
        m_keepAlive = false;
        replyError(error, m_request);
    }

    std::string head(int status, const HeaderList& headers)
    {
        m_keepAlive = m_keepAlive && !m_server.m_isClosing;
        std::string text = "HTTP/1.1 " + std::to_string(status) + " " + std::string(reasonOf(status)) + "\r\n";
        appendHeaders(text, headers);
        if (!m_keepAlive)
            text += "Connection: close\r\n";
        return text;
    }

    void finish()
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

    void closeWhenWritten()
    {
        m_state = State::Ending;
        m_timer.cancel();
        releaseInput();
        leaveQueue();
        if (!m_isWriting)
            closeGently();
    }

    void send(std::string bytes)
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

    void noteUnsent() { m_server.m_unsent.set(this, m_state == State::Closed ? 0 : m_output.size() + m_inFlight.size()); }

    void flush()
    {
        m_isWriting = true;
        m_inFlight = std::move(m_output);
        m_output.clear();
        m_written = 0;
        writeSome();
    }

    /// Each part that the caller takes gives it the idle time for the next.
    void writeSome()
    {
        m_writeTimer.limit(m_server.m_limits.idleTime, [self = shared_from_this()] {
            ++self->m_server.m_counters.closedUnread;
            self->close();
        });
        auto rest = boost::asio::buffer(m_inFlight) + m_written;
        m_socket.async_write_some(rest, [self = shared_from_this()](ErrorCode ec, std::size_t n) { self->wrote(ec, n); });
    }

    void wrote(ErrorCode ec, std::size_t n)
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

    void close()
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
        leaveQueue();
        leave(State::Closed);
    }

    /// Every transition to Lingering or Closed goes through here, so that the handler always learns of a disconnect. Otherwise a request
    /// would run, and might even be sent again, although its caller has gone.
    void leave(State next)
    {
        bool wasAnswering = m_state == State::Answering;
        m_state = next;
        if (auto gone = std::exchange(onGone, nullptr); gone && wasAnswering)
            gone();
    }

    HttpServer& m_server;
    Tcp::socket m_socket;
    Timer m_timer; ///< Limits the time in the present state.
    Timer m_writeTimer; ///< Limits the time until the caller takes some of its answer.
    boost::beast::flat_buffer m_input;
    std::array<char, 4096> m_chunk {};
    std::optional<RequestParser> m_parser;
    HttpRequest m_request; ///< The head of the request that is being received.
    std::string m_output;
    std::string m_inFlight;
    std::size_t m_written = 0; ///< Of m_inFlight.
    std::size_t m_discarded = 0;
    int m_smallReads = 0; ///< Of the present request.
    std::optional<Timer> m_pause; ///< Set while it isn't read.
    Connections* m_queue = nullptr; ///< The list of the server that it is in.
    Connections::iterator m_inQueue;
    Connections::iterator m_inLargeBodies;
    Instant m_queuedSince;
    Instant m_startedAt;
    Instant m_lastReadAt;
    Instant m_idleSince;
    Instant m_lingersUntil;
    State m_state = State::Idle;
    unsigned m_version = 11;
    bool m_isReading = false;
    bool m_isWriting = false;
    bool m_isHead = false;
    bool m_isChunked = false;
    bool m_hasNoBody = false; ///< The answer ends with its head.
    bool m_keepAlive = true;
    bool m_sentContinue = false;
    bool m_expectsContinue = false;
    bool m_hasCheckedHead = false;
    bool m_hasLargeBuffer = false;
    bool m_isOverrun = false; ///< The caller has sent more ahead than is kept.
};

HttpServer::HttpServer(Strand strand, Handler handler, HeadCheck headCheck, ErrorFormat errorFormat)
    : m_strand(std::move(strand))
    , m_handler(std::move(handler))
    , m_headCheck(std::move(headCheck))
    , m_errorFormat(std::move(errorFormat))
    , m_acceptor(m_strand)
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
    accept();
    return bound;
}

/// Of a connection without a large body. All together hold at most the limit of bytes that are not read, and large bodies a quarter more.
int HttpServer::receiveBuffer() const
{
    auto part = m_limits.unreadBytes / std::max<std::size_t>(m_limits.connections, 1);
    return static_cast<int>(std::clamp<std::size_t>(part, smallestReceiveBuffer, largestReceiveBuffer));
}

/// \returns whether one more connection may have a large receive buffer. Takes one from a connection that doesn't use it.
bool HttpServer::makeRoomForLargeBody()
{
    auto most = std::max<std::size_t>(1, m_limits.unreadBytes / 4 / largestReceiveBuffer);
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
    m_acceptor.async_accept(m_strand, [this](ErrorCode ec, Tcp::socket socket) {
        if (ec == boost::asio::error::operation_aborted || !m_acceptor.is_open())
            return;
        // Beyond the limit the connection is closed unread, so the caller may safely try another gateway.
        if (!ec && (m_connections.size() < m_limits.connections || makeRoom())) {
            auto connection = std::make_shared<Connection>(*this, std::move(socket));
            m_connections.insert(connection);
            m_connectionCount = m_connections.size();
            connection->start();
        }
        if (!ec || (ec == boost::asio::error::no_descriptors && makeRoom()))
            return accept();
        // An immediate retry would probably fail too.
        auto timer = std::make_shared<boost::asio::steady_timer>(m_strand, acceptAgainAfter);
        timer->async_wait([this, timer](ErrorCode) { accept(); });
    });
}

/// Closes the connection that is least likely to be of use and has no request in progress. \returns false if there is none.
bool HttpServer::makeRoom()
{
    return makeRoomIn(m_unproductive, firstRequestTime) || makeRoomIn(m_idle, Duration::zero())
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
