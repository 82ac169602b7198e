#include "connection/UpstreamPool.h"

#include "base/SystemClock.h"
#include "connection/Endpoint.h"
#include "connection/HttpText.h"
#include "connection/Timer.h"

#include <array>
#include <charconv>

namespace wrenhinge {

namespace {

    /// A connection with unacknowledged bytes or probes fails after this long. Callers give up a stream after 3.6 s.
    constexpr int upstreamSilenceMs = 3000;

    /// For how long a connection may be idle and still be used again.
    Duration reusableFor(const HeaderList& headers)
    {
        auto keepAlive = headerValue(headers, "Keep-Alive");
        auto at = keepAlive ? keepAlive->find("timeout=") : std::string_view::npos;
        if (!keepAlive || at == std::string_view::npos)
            return UpstreamPool::idleUnstated;
        auto digits = keepAlive->substr(at + std::string_view("timeout=").size());
        std::uint32_t seconds = 0;
        std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
        return std::max<Duration>(std::min(seconds, 3600u) * 1s - UpstreamPool::idleMargin, UpstreamPool::idleUnstated);
    }

} // namespace

class UpstreamPool::Connection : public std::enable_shared_from_this<UpstreamPool::Connection> {
public:
    Connection(UpstreamPool& pool, ReplicaRun replica, const Strand& strand)
        : m_pool(pool)
        , m_replica(std::move(replica))
        , m_socket(strand)
        , m_timer(strand)
        , m_callTimer(strand)
    {
    }

    void connect(const std::string& address)
    {
        auto endpoint = parseEndpoint(address);
        if (!endpoint) {
            boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->fail("no address"); });
            return;
        }
        m_timer.start(connectLimit, [self = shared_from_this()] { self->fail("no connection in time"); });
        m_socket.async_connect(endpoint.value(), [self = shared_from_this()](ErrorCode ec) {
            if (self->m_isClosed)
                return;
            self->m_timer.cancel();
            if (ec)
                return self->fail("no connection: " + ec.message());
            ErrorCode ignored;
            self->m_socket.set_option(Tcp::no_delay(true), ignored);
            failWhenSilent(self->m_socket.native_handle(), upstreamSilenceMs);
            self->m_isConnected = true;
            self->write();
            self->read();
        });
    }

    /// \returns the call's number on this connection.
    std::uint64_t start(UpstreamRequest request, UpstreamCallHandlers handlers)
    {
        ++m_call;
        m_request = std::move(request);
        m_handlers = std::move(handlers);
        m_isBusy = true;
        m_writing = Writing::NotBegun;
        m_mayHaveRun = false;
        m_answer.emplace(m_handlers.bodyLimit, m_request.isHead);
        if (m_handlers.timeLimit)
            m_callTimer.start(*m_handlers.timeLimit, [self = shared_from_this()] { self->fail("no answer in time"); });
        if (!m_isConnected)
            return m_call;
        // Nothing may be reported before this function returns the call's number.
        boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
            if (self->m_isClosed || !self->m_isBusy)
                return;
            self->write();
        });
        return m_call;
    }

    /// Ends the call if it is still in progress. A later call on this connection belongs to another request.
    void cancel(std::uint64_t call)
    {
        if (call != m_call || !m_isBusy)
            return;
        m_handlers = {};
        m_isBusy = false;
        close();
    }

    void close()
    {
        if (m_isClosed)
            return;
        m_isClosed = true;
        m_timer.cancel();
        m_callTimer.cancel();
        ErrorCode ignored;
        m_socket.close(ignored);
    }

    [[nodiscard]] const ReplicaRun& replica() const { return m_replica; }
    [[nodiscard]] bool isUsable(Instant now) { return !m_isClosed && !m_isBusy && now < m_reusableUntil && isQuiet(m_socket); }

private:
    /// How far the request has been written.
    enum class Writing : std::uint8_t {
        NotBegun,
        InProgress,
        Failed, ///< With some bytes written.
        Complete,
    };

    void write()
    {
        m_mayHaveRun = true;
        m_writing = Writing::InProgress;
        std::array<boost::asio::const_buffer, 2> parts { boost::asio::buffer(m_request.bytes) };
        if (m_request.body)
            parts[1] = boost::asio::buffer(*m_request.body);
        boost::asio::async_write(m_socket, parts, [self = shared_from_this()](ErrorCode ec, std::size_t n) { self->written(ec, n); });
    }

    void written(ErrorCode ec, std::size_t n)
    {
        if (m_hasReadEnd) {
            // The write was stopped by `ended`, unless it had failed before.
            m_writing = ec && ec != boost::asio::error::operation_aborted ? Writing::Failed : Writing::Complete;
            return ended(boost::asio::error::eof);
        }
        if (!ec) {
            m_writing = Writing::Complete;
        } else if (!n && m_isBusy) {
            m_mayHaveRun = false;
            fail("nothing could be written: " + ec.message());
        } else {
            // The read may still find an answer.
            m_writing = Writing::Failed;
        }
    }

    void read()
    {
        if (m_isClosed)
            return;
        readSomeOrEnd(
            m_socket, boost::asio::buffer(m_chunk), [self = shared_from_this()](ErrorCode ec, std::size_t n) { self->received(ec, n); });
    }

    void received(ErrorCode ec, std::size_t n)
    {
        if (m_isClosed)
            return;
        if (!m_isBusy) {
            // The connection was closed, or the bytes belong to no request. It is removed from the pool here, as connections to runs that
            // have ended would otherwise never be removed.
            close();
            m_pool.dropIdle(*this);
            return;
        }
        if (ec)
            return ended(ec);
        m_answer->add({ m_chunk.data(), n });
        takeParts();
        read();
    }

    /// The connection has ended. An answer that ends with it is complete if the replica has closed it, and cut if it was reset. The system
    /// reports a reset once only: if that was to the write, the read finds a clean end.
    void ended(ErrorCode why)
    {
        if (m_isClosed || why != boost::asio::error::eof || !m_answer->endsWithConnection())
            return fail(why == boost::asio::error::eof ? "the connection ended" : "the connection failed: " + why.message());
        if (m_writing == Writing::InProgress) {
            m_hasReadEnd = true;
            ErrorCode ignored;
            m_socket.cancel(ignored);
            return;
        }
        if (m_writing == Writing::Failed)
            return fail("the connection was reset before the request was written");
        finish();
    }

    void takeParts()
    {
        while (m_isBusy && !m_isClosed) {
            switch (m_answer->next()) {
            case AnswerReader::Part::None:
                return;
            case AnswerReader::Part::Head:
                takeHead();
                break;
            case AnswerReader::Part::Body:
                if (auto bytes = m_answer->takeBody(); m_handlers.onBody)
                    m_handlers.onBody(std::move(bytes));
                break;
            case AnswerReader::Part::End:
                return finish();
            case AnswerReader::Part::Fault:
                return fail(m_answer->fault());
            }
        }
    }

    void takeHead()
    {
        if (m_handlers.whose(m_answer->head()) == AnswerOwner::FormerCall)
            m_answer->skip();
        else
            m_handlers.onHead(m_answer->head());
    }

    void finish()
    {
        auto handlers = std::exchange(m_handlers, {});
        m_isBusy = false;
        m_callTimer.cancel();
        bool isReusable = m_answer->isReusable() && m_writing == Writing::Complete && !m_isClosed;
        if (isReusable) {
            m_reusableUntil = currentInstant() + reusableFor(m_answer->head().headers);
            m_request = {};
            m_pool.m_idle[m_replica].push_back(shared_from_this());
        } else {
            close();
        }
        handlers.onEnd();
    }

    void fail(const std::string& why)
    {
        if (m_isClosed)
            return;
        close();
        auto handlers = std::exchange(m_handlers, {});
        if (std::exchange(m_isBusy, false) && handlers.onFailure)
            handlers.onFailure(m_mayHaveRun, why);
    }

    UpstreamPool& m_pool;
    ReplicaRun m_replica;
    Tcp::socket m_socket;
    Timer m_timer; ///< Limits the time to connect.
    Timer m_callTimer; ///< Limits the time of the call.
    std::array<char, 4096> m_chunk {};
    std::optional<AnswerReader> m_answer; ///< Of the present call.
    UpstreamRequest m_request;
    UpstreamCallHandlers m_handlers;
    Instant m_reusableUntil;
    std::uint64_t m_call = 0;
    Writing m_writing = Writing::NotBegun;
    bool m_isConnected = false;
    bool m_isBusy = false;
    bool m_mayHaveRun = false;
    bool m_hasReadEnd = false; ///< The read has found the connection's end, and the write has not ended yet.
    bool m_isClosed = false;
};

UpstreamPool::UpstreamPool(Strand strand)
    : m_strand(std::move(strand))
{
}

/// Idle connections are closed, since their handlers would access the pool later.
UpstreamPool::~UpstreamPool()
{
    for (const auto& [replica, connections] : m_idle) {
        for (const auto& connection : connections)
            connection->close();
    }
}

UpstreamPool::Call UpstreamPool::call(
    const ReplicaRun& replica, const std::string& address, UpstreamRequest request, UpstreamCallHandlers handlers)
{
    auto connection = takeIdle(replica);
    bool isNew = !connection;
    if (isNew) {
        connection = std::make_shared<Connection>(*this, replica, m_strand);
        ++m_opened;
    }
    auto number = connection->start(std::move(request), std::move(handlers));
    if (isNew)
        connection->connect(address);
    return { connection, number };
}

void UpstreamPool::cancel(const Call& call)
{
    if (auto connection = call.connection.lock())
        connection->cancel(call.number);
}

/// Takes the connection that was used last, so that unneeded ones reach their idle timeout.
std::shared_ptr<UpstreamPool::Connection> UpstreamPool::takeIdle(const ReplicaRun& replica)
{
    auto it = m_idle.find(replica);
    if (it == m_idle.end())
        return nullptr;
    auto now = currentInstant();
    std::shared_ptr<Connection> taken;
    while (!it->second.empty() && !taken) {
        auto connection = it->second.back();
        it->second.pop_back();
        if (connection->isUsable(now))
            taken = connection;
        else
            connection->close();
    }
    if (it->second.empty())
        m_idle.erase(it);
    return taken;
}

void UpstreamPool::dropIdle(const Connection& connection)
{
    auto it = m_idle.find(connection.replica());
    if (it == m_idle.end())
        return;
    it->second.remove_if([&connection](const auto& idle) { return idle.get() == &connection; });
    if (it->second.empty())
        m_idle.erase(it);
}

void UpstreamPool::forget(const ReplicaRun& replica)
{
    auto begin = m_idle.lower_bound({ replica.id, ReplicaStart() });
    auto end = m_idle.upper_bound(replica);
    for (auto it = begin; it != end; ++it) {
        for (const auto& connection : it->second)
            connection->close();
    }
    m_idle.erase(begin, end);
}

/// Answers to the process's own calls have a few hundred bytes. A faulty replica may send an endless one; it is truncated, so that it
/// can't be decoded.
constexpr std::uint64_t gatheredLimit = 1u << 20;

UpstreamCallHandlers gather(std::function<void(const GatheredAnswer&)> onEnd,
    std::function<void(bool mayHaveRun, const std::string& why)> onFailure, std::optional<Duration> timeLimit)
{
    auto answer = std::make_shared<GatheredAnswer>();
    UpstreamCallHandlers handlers;
    handlers.timeLimit = timeLimit;
    handlers.bodyLimit = gatheredLimit;
    handlers.whose = [](const UpstreamHead&) { return AnswerOwner::ThisCall; };
    handlers.onHead = [answer](const UpstreamHead& head) { answer->head = head; };
    handlers.onBody = [answer](const std::string& bytes) {
        if (answer->body.size() <= gatheredLimit)
            answer->body += bytes;
    };
    handlers.onEnd = [answer, onEnd = std::move(onEnd)] { onEnd(*answer); };
    handlers.onFailure = std::move(onFailure);
    return handlers;
}

} // namespace wrenhinge
