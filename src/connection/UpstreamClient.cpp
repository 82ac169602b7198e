#include "connection/UpstreamClient.h"

#include "connection/EngineProtocol.h"
#include "connection/RateLimitHeader.h"
#include "connection/RetryAfterHeader.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace wrenhinge {

namespace {

    namespace beast = boost::beast;
    namespace http = boost::beast::http;

    constexpr std::size_t readBytes = 16384;
    /// In bytes. Answers in use have a few thousand, and those to prefills a few hundred.
    constexpr std::uint64_t answerLimit = 8u << 20;
    constexpr std::uint64_t prefillAnswerLimit = 1u << 20;

    bool isHopByHop(beast::string_view name)
    {
        for (auto hop : { "connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade", "proxy-connection" }) {
            if (beast::iequals(name, hop))
                return true;
        }
        return false;
    }

    bool isStreamedBody(const http::response_header<>& head)
    {
        return beast::iequals(head[http::field::content_type].substr(0, 17), "text/event-stream");
    }

} // namespace

/// One call on its own connection and strand.
class UpstreamClient::Exchange : public std::enable_shared_from_this<UpstreamClient::Exchange> {
public:
    Exchange(IoContext& io, UpstreamCall call, Report report)
        : m_socket(boost::asio::make_strand(io))
        , m_call(std::move(call))
        , m_report(std::move(report))
        , m_tokens(true)
    {
        m_parser.body_limit(m_call.kind == UpstreamKind::Prefill ? prefillAnswerLimit : answerLimit);
    }

    /// Posted, since the caller holds the lock of the logic that the report acquires. Any thread, as `abort`; their order is kept:
    /// otherwise a call that is given up at once could begin after its end.
    void start(const Tcp::endpoint& endpoint)
    {
        boost::asio::post(m_socket.get_executor(), [self = shared_from_this(), endpoint] { self->run(endpoint); });
    }

    void abort()
    {
        boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
            self->m_done = true;
            ErrorCode ignored;
            self->m_socket.close(ignored);
        });
    }

private:
    void run(const Tcp::endpoint& endpoint)
    {
        if (m_done)
            return;
        if (auto built = buildRequest(); !built)
            return fail(false, ResultCode::MalformedRequest);
        m_socket.async_connect(endpoint, [self = shared_from_this()](ErrorCode ec) {
            if (ec)
                return self->fail(false);
            ErrorCode ignored;
            self->m_socket.set_option(Tcp::no_delay(true), ignored);
            self->write();
        });
    }

    Result<void> buildRequest()
    {
        auto body = Result<std::string>(std::move(m_call.body));
        if (m_call.kind == UpstreamKind::Prefill)
            body = makePrefillBody(body.value(), m_call.priority);
        else if (m_call.kind == UpstreamKind::Decode)
            body = makeDecodeBody(body.value(), m_call.kvParams, m_call.priority);
        if (!body)
            return body.error();
        m_request.version(11);
        m_request.method_string(m_call.method);
        m_request.target(m_call.path);
        for (const auto& [name, value] : m_call.headers)
            m_request.insert(name, value);
        if (m_call.kind != UpstreamKind::Plain)
            m_request.set(http::field::content_type, "application/json");
        m_request.set(http::field::host, "upstream");
        m_request.set("X-Request-Id", toString(m_call.request));
        m_request.keep_alive(false);
        m_request.body() = std::move(body.value());
        m_request.prepare_payload();
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }

    void write()
    {
        http::async_write(m_socket, m_request, [self = shared_from_this()](ErrorCode ec, std::size_t) {
            // Some bytes may have arrived although the write failed.
            if (ec)
                return self->breakOff();
            self->m_request.body().clear();
            self->readHead();
        });
    }

    void readHead()
    {
        if (m_request.method() == http::verb::head)
            m_parser.skip(true);
        http::async_read_header(m_socket, m_buffer, m_parser, [self = shared_from_this()](ErrorCode ec, std::size_t) {
            if (ec)
                return self->breakOff();
            self->onHead();
        });
    }

    void onHead()
    {
        const auto& head = m_parser.get();
        m_status = static_cast<int>(head.result_int());
        m_tokens = TokenCounter(isStreamedBody(head));
        auto headers = headersOf(head);
        m_rateLimit = readRateLimit(headers, rateLimitName);
        if (head.result() == http::status::service_unavailable)
            m_rest = readRetryAfter(headers);
        if (m_call.kind != UpstreamKind::Plain && m_status >= 400)
            return fail(true, m_status < 500 ? ResultCode::MalformedRequest : ResultCode::UpstreamFailed);
        if (m_call.kind != UpstreamKind::Prefill)
            report(sidecar::CallHead { m_call.id, m_status, std::move(headers), m_rateLimit, m_rest });
        readBody();
    }

    static HeaderList headersOf(const http::response_header<>& head)
    {
        HeaderList headers;
        for (const auto& field : head) {
            if (!isHopByHop(field.name_string()))
                headers.emplace_back(field.name_string(), field.value());
        }
        return headers;
    }

    void readBody()
    {
        auto ended = m_buffer.size() ? ErrorCode() : endOfStream(m_socket);
        if (ended && !m_parser.is_done()) {
            ErrorCode ec = ended == boost::asio::error::eof ? ErrorCode() : ended;
            if (!ec)
                m_parser.put_eof(ec);
            if (ec)
                return breakOff();
        }
        if (m_parser.is_done())
            return end();
        m_parser.get().body().data = m_piece.data();
        m_parser.get().body().size = m_piece.size();
        http::async_read_some(m_socket, m_buffer, m_parser, [self = shared_from_this()](ErrorCode ec, std::size_t) {
            if (ec && ec != http::error::need_buffer && ec != http::error::end_of_stream)
                return self->breakOff();
            self->onBody();
        });
    }

    void onBody()
    {
        auto n = m_piece.size() - m_parser.get().body().size;
        if (n && m_call.kind == UpstreamKind::Prefill) {
            m_gathered.append(m_piece.data(), n);
        } else if (n) {
            std::string_view piece(m_piece.data(), n);
            report(sidecar::CallData { m_call.id, std::string(piece), m_call.kind == UpstreamKind::Decode ? m_tokens.count(piece) : 0 });
        }
        readBody();
    }

    void end()
    {
        if (m_call.kind != UpstreamKind::Prefill)
            return finish(sidecar::CallEnd { m_call.id });
        auto answer = parsePrefillAnswer(m_gathered);
        if (!answer)
            return fail(true);
        finish(sidecar::CallPrefilled { m_call.id, answer.value().kvParams, answer.value().cachedTokens, m_rateLimit });
    }

    void fail(bool mayHaveRun, ResultCode code = ResultCode::UpstreamFailed)
    {
        finish(sidecar::CallFailed { m_call.id, mayHaveRun, code, false, m_rest });
    }

    /// The connection ended before the answer was complete.
    void breakOff() { finish(sidecar::CallFailed { m_call.id, true, ResultCode::UpstreamFailed, true }); }

    void finish(sidecar::Event event)
    {
        report(std::move(event));
        m_done = true;
        ErrorCode ignored;
        m_socket.close(ignored);
    }

    void report(sidecar::Event event)
    {
        if (!m_done)
            m_report(std::move(event));
    }

    Tcp::socket m_socket;
    UpstreamCall m_call;
    Report m_report;
    http::request<http::string_body> m_request;
    http::response_parser<http::buffer_body> m_parser;
    beast::flat_buffer m_buffer;
    std::array<char, readBytes> m_piece {};
    std::string m_gathered;
    TokenCounter m_tokens;
    StatedRateLimit m_rateLimit;
    std::optional<Duration> m_rest;
    int m_status = 0;
    bool m_done = false;
};

UpstreamClient::UpstreamClient(IoContext& io, Tcp::endpoint endpoint, Report report)
    : m_io(io)
    , m_endpoint(std::move(endpoint))
    , m_report(std::move(report))
{
}

void UpstreamClient::start(UpstreamCall call)
{
    auto id = call.id;
    auto exchange = std::make_shared<Exchange>(m_io, std::move(call), m_report);
    {
        std::lock_guard lock(m_mutex);
        std::erase_if(m_exchanges, [](const auto& item) { return item.second.expired(); });
        m_exchanges[id] = exchange;
    }
    exchange->start(m_endpoint);
}

void UpstreamClient::abort(CallId id)
{
    std::shared_ptr<Exchange> exchange;
    {
        std::lock_guard lock(m_mutex);
        if (auto it = m_exchanges.find(id); it != m_exchanges.end())
            exchange = it->second.lock();
        m_exchanges.erase(id);
    }
    if (exchange)
        exchange->abort();
}

void UpstreamClient::releaseResult(const std::string& kvParams)
{
    UpstreamCall call;
    call.kind = UpstreamKind::Plain;
    call.method = "POST";
    call.path = std::string(releasePath);
    call.headers = { { "Content-Type", "application/json" } };
    call.body = kvParams;
    auto exchange = std::make_shared<Exchange>(m_io, std::move(call), [](sidecar::Event) {});
    exchange->start(m_endpoint);
}

} // namespace wrenhinge
