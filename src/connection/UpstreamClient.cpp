#include "connection/UpstreamClient.h"

#include "connection/AnswerReader.h"
#include "connection/EngineProtocol.h"
#include "connection/HttpText.h"
#include "connection/RateLimitHeader.h"
#include "connection/RetryAfterHeader.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace wrenhinge {

namespace {

    namespace beast = boost::beast;
    namespace http = boost::beast::http;

    constexpr int unavailableStatus = 503;
    constexpr std::size_t readBytes = 16384;
    /// In bytes. Answers in use have a few thousand, and those to prefills a few hundred.
    constexpr std::uint64_t answerLimit = 8u << 20;
    constexpr std::uint64_t prefillAnswerLimit = 1u << 20;

    bool isHopByHop(std::string_view name)
    {
        for (std::string_view hop : { "connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade", "proxy-connection" }) {
            if (isSameName(name, hop))
                return true;
        }
        return false;
    }

    bool isStreamedBody(const HeaderList& headers)
    {
        constexpr std::string_view type = "text/event-stream";
        return isSameName(headerValue(headers, "Content-Type").value_or("").substr(0, type.size()), type);
    }

} // namespace

/// One call on its own connection and strand.
class UpstreamClient::Exchange : public std::enable_shared_from_this<UpstreamClient::Exchange> {
public:
    Exchange(IoContext& io, UpstreamCall call, Report report)
        : m_socket(boost::asio::make_strand(io))
        , m_call(std::move(call))
        , m_report(std::move(report))
        , m_answer(m_call.kind == UpstreamKind::Prefill ? prefillAnswerLimit : answerLimit, m_call.method == "HEAD")
        , m_tokens(true)
    {
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
            self->read();
        });
    }

    void read()
    {
        readSomeOrEnd(m_socket, boost::asio::buffer(m_piece), [self = shared_from_this()](ErrorCode ec, std::size_t n) {
            if (self->m_done)
                return;
            if (ec)
                return self->onEndOfStream(ec);
            self->m_answer.add({ self->m_piece.data(), n });
            self->takeParts();
        });
    }

    /// The request was written whole before the first read, so no write has taken the report of a reset.
    void onEndOfStream(ErrorCode ec)
    {
        if (ec != boost::asio::error::eof || !m_answer.endsWithConnection())
            return breakOff();
        end();
    }

    void takeParts()
    {
        while (!m_done) {
            switch (m_answer.next()) {
            case AnswerReader::Part::None:
                return read();
            case AnswerReader::Part::Head:
                onHead();
                break;
            case AnswerReader::Part::Body:
                onBody(m_answer.takeBody());
                break;
            case AnswerReader::Part::End:
                return end();
            case AnswerReader::Part::Fault:
                return breakOff();
            }
        }
    }

    void onHead()
    {
        auto headers = m_answer.head().headers;
        std::erase_if(headers, [](const auto& header) { return isHopByHop(header.first); });
        auto status = m_answer.head().status;
        m_tokens = TokenCounter(isStreamedBody(headers));
        m_rateLimit = readRateLimit(headers, rateLimitName);
        if (status == unavailableStatus)
            m_rest = readRetryAfter(headers);
        if (m_call.kind != UpstreamKind::Plain && status >= 400)
            return fail(true, status < 500 ? ResultCode::MalformedRequest : ResultCode::UpstreamFailed);
        if (m_call.kind != UpstreamKind::Prefill)
            report(sidecar::CallHead { m_call.id, status, std::move(headers), m_rateLimit, m_rest });
    }

    void onBody(std::string bytes)
    {
        if (m_call.kind == UpstreamKind::Prefill) {
            m_gathered += bytes;
        } else {
            auto tokens = m_call.kind == UpstreamKind::Decode ? m_tokens.count(bytes) : 0;
            report(sidecar::CallData { m_call.id, std::move(bytes), tokens });
        }
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
    AnswerReader m_answer;
    std::array<char, readBytes> m_piece {};
    std::string m_gathered;
    TokenCounter m_tokens;
    StatedRateLimit m_rateLimit;
    std::optional<Duration> m_rest;
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
