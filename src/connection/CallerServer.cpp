#include "connection/CallerServer.h"

#include "connection/CallerProtocol.h"
#include "connection/HttpText.h"

namespace wrenhinge {

namespace {

    /// An error of this protocol. \param id of the request, if it was handed to the logic.
    HttpReply errorReply(const Error& error, const RequestId& id)
    {
        HttpReply out { httpStatusOf(error.code), { { "Content-Type", "application/json" } }, errorBody(error, id) };
        if (error.retryAfter)
            out.headers.emplace_back("Retry-After", retryAfterSeconds(*error.retryAfter));
        if (id.sequence)
            out.headers.emplace_back("X-Request-Id", toString(id));
        return out;
    }

    HttpServer::Limits withSettings(HttpServer::Limits limits, const CallerSettings& settings)
    {
        limits.headerBytes = settings.headerLimit;
        limits.bodyBytes = settings.bodyLimit;
        limits.headerTime = settings.headerTime;
        limits.bodyTime = settings.bodyTime;
        limits.idleTime = settings.idleTime;
        return limits;
    }

} // namespace

CallerServer::CallerServer(IoContext& io, CallerSettings settings, HttpServer::Limits limits, PeerId origin, Handlers handlers)
    : m_settings(std::move(settings))
    , m_origin(origin)
    , m_handlers(std::move(handlers))
    , m_strand(boost::asio::make_strand(io))
    , m_server(
          m_strand, [this](HttpRequest&& request, const std::shared_ptr<HttpAnswer>& answer) { onRequest(std::move(request), answer); },
          [this](const HttpRequest& head) { return decideAtHead(head); },
          [](const Error& error, const HttpRequest&) { return errorReply(error, {}); })
    , m_accounts(std::make_shared<AccountBook>())
{
    m_server.setLimits(withSettings(limits, m_settings));
}

Result<std::string> CallerServer::start()
{
    if (auto loaded = reloadAccounts(); !loaded)
        return loaded.error();
    return m_server.listen(m_settings.listen);
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

void CallerServer::stopAccepting()
{
    // Until it is counted, an answer may be in progress.
    m_unfinished = 1;
    boost::asio::post(m_strand, [this] { m_server.closeIdle(); });
}

// --- Requests ---------------------------------------------------------------------------------------------------

Result<std::string> CallerServer::accountOf(const HttpRequest& request)
{
    auto account = accounts()->identify(std::string(headerValue(request.headers, "Authorization").value_or("")));
    if (!account)
        return Error { ResultCode::UnknownAccount,
            "the bearer token is missing or wrong; send `Authorization: Bearer <account>.<secret>`" };
    return *account;
}

HttpServer::HeadDecision CallerServer::decideAtHead(const HttpRequest& head)
{
    if (auto account = accountOf(head); !account)
        return { errorReply(account.error(), {}) };
    if (!isKnownPath(head.target))
        return { errorReply(unknownPath(), {}) };
    return {};
}

void CallerServer::onRequest(HttpRequest&& request, const std::shared_ptr<HttpAnswer>& answer)
{
    auto refuse = [&answer](const Error& error) {
        auto out = errorReply(error, {});
        answer->reply(out.status, out.headers, std::move(out.body));
    };
    auto account = accountOf(request);
    if (!account)
        return refuse(account.error());
    CallerHttpRequest http { std::move(request.method), std::move(request.target), {}, std::move(request.body) };
    for (const auto& [name, value] : request.headers)
        http.headers.emplace_back(name, value);
    auto caller = readCallerRequest(std::move(http), account.value());
    if (!caller)
        return refuse(caller.error());
    RequestId id { m_origin, ++m_lastSequence };
    answer->onGone = [this, id] {
        m_exchanges.erase(id);
        m_handlers.onGone(id);
    };
    m_exchanges[id] = { answer, std::move(request.memory) };
    m_handlers.onSubmit(id, std::move(caller.value()));
}

// --- Answers ----------------------------------------------------------------------------------------------------

template <typename F> void CallerServer::withAnswer(const RequestId& id, F f)
{
    boost::asio::post(m_strand, [this, id, f = std::move(f)]() mutable {
        auto it = m_exchanges.find(id);
        if (it == m_exchanges.end())
            return;
        // Writing may close the connection, and that ends the exchange.
        auto exchange = it->second;
        f(exchange);
    });
}

void CallerServer::head(const RequestId& id, int status, HeaderList headers)
{
    headers.emplace_back("X-Request-Id", toString(id));
    withAnswer(id, [this, id, status, headers = std::move(headers)](const Exchange& exchange) {
        m_exchanges.at(id).isStream = !headerValue(headers, "Content-Length");
        exchange.answer->begin(status, headers);
    });
}

void CallerServer::data(const RequestId& id, std::string bytes)
{
    withAnswer(id, [bytes = std::move(bytes)](const Exchange& exchange) mutable { exchange.answer->write(std::move(bytes)); });
}

void CallerServer::finish(const RequestId& id) { m_exchanges.erase(id); }

void CallerServer::end(const RequestId& id)
{
    withAnswer(id, [this, id](const Exchange& exchange) {
        exchange.answer->end();
        finish(id);
    });
}

void CallerServer::error(const RequestId& id, const Error& error)
{
    withAnswer(id, [this, id, out = errorReply(error, id)](const Exchange& exchange) mutable {
        exchange.answer->reply(out.status, out.headers, std::move(out.body));
        finish(id);
    });
}

/// Ends an answer of which a part was sent. A stream gets the error as its last event. The connection is closed without the end of the
/// body, so that the answer doesn't look complete.
void CallerServer::breakOff(const RequestId& id, const Error& error)
{
    withAnswer(id, [this, id, event = errorEvent(error, id)](const Exchange& exchange) {
        if (exchange.isStream)
            exchange.answer->write(event);
        exchange.answer->breakOff();
        finish(id);
    });
}

std::size_t CallerServer::unfinished()
{
    boost::asio::post(m_strand, [this] { m_unfinished = m_server.answersInProgress(); });
    return m_unfinished;
}

} // namespace wrenhinge
