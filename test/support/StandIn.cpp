/** \file
 * Stand-ins for a model engine and a plain service: one small program, for tests, demo and benchmarks.
 *
 * The engine has slots, honours priorities, keeps prompt prefixes in a bounded cache, holds a prefill's result under a
 * second, and hands results over a link of limited rate. `GET /truth` tells what it really did, so that tests read the
 * truth from the upstream's side. Single-threaded, so it needs no locks.
 */
#include "StandInAnswer.h"
#include "connection/Asio.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <popt.h>
#include <set>
#include <xxhash.h>

namespace {

using namespace std::chrono_literals;
using wrenhinge::ErrorCode;
using wrenhinge::IoContext;
using wrenhinge::Tcp;
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace standin = wrenhinge::standin;
using Json = nlohmann::json;
using Request = http::request<http::string_body>;
using Millis = std::chrono::duration<double, std::milli>;
template <typename T> using Awaitable = asio::awaitable<T>;

constexpr std::size_t charactersPerToken = 4;
constexpr std::size_t charactersPerBlock = 256;
constexpr std::size_t cachedBlocks = 4096;
constexpr std::size_t bodyLimit = 64u << 20;

struct Options {
    std::string listen = "127.0.0.1:0";
    std::string kind = "plain";
    int slots = 20;
    double fixedMs = 2; ///< Of a prefill, or of a plain call.
    double microsPerToken = 20; ///< Of a prefill.
    double tokenMs = 5; ///< Between tokens.
    double resultLifeMs = 800;
    double microsPerTokenLink = 2; ///< Of the transfer of a result.
    double rateLimit = 0; ///< Requests a second, stated in each answer; zero: none is stated.
};

/// Slots that are given to waiters by priority, then in order.
class Slots {
public:
    Slots(IoContext& io, int free)
        : m_io(io)
        , m_free(free)
    {
    }

    Awaitable<void> acquire(int priority)
    {
        if (m_free > 0) {
            --m_free;
            co_return;
        }
        auto timer = std::make_shared<asio::steady_timer>(m_io, asio::steady_timer::time_point::max());
        m_waiting.emplace(std::pair(priority, ++m_order), timer);
        ErrorCode ec;
        co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }

    void release()
    {
        if (m_waiting.empty()) {
            ++m_free;
            return;
        }
        auto first = m_waiting.begin();
        first->second->cancel();
        m_waiting.erase(first);
    }

    [[nodiscard]] std::size_t waiting() const { return m_waiting.size(); }

private:
    IoContext& m_io;
    int m_free;
    std::uint64_t m_order = 0;
    std::map<std::pair<int, std::uint64_t>, std::shared_ptr<asio::steady_timer>> m_waiting;
};

struct Truth {
    int running = 0;
    int mostRunning = 0;
    int prefilled = 0;
    int fetched = 0;
    int released = 0;
    int expired = 0;
    int completed = 0;
    int cancelled = 0;
    std::map<std::string, int> runs; ///< By Idempotency-Key, else by X-Request-Id.
    std::vector<std::int64_t> arrivals; ///< When each request arrived, in milliseconds of the steady clock.
};

class StandIn {
public:
    StandIn(IoContext& io, Options options)
        : m_io(io)
        , m_options(std::move(options))
        , m_slots(io, m_options.slots)
    {
    }

    std::string start()
    {
        auto colon = m_options.listen.rfind(':');
        Tcp::endpoint endpoint(asio::ip::make_address(m_options.listen.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoi(m_options.listen.substr(colon + 1))));
        m_acceptor.emplace(m_io, endpoint);
        m_port = m_acceptor->local_endpoint().port();
        m_host = endpoint.address().to_string();
        asio::co_spawn(m_io, acceptAll(), asio::detached);
        return m_host + ":" + std::to_string(m_port);
    }

private:
    /// One call, with a watch for its caller's leaving.
    struct Call {
        explicit Call(Tcp::socket s)
            : socket(std::move(s))
            , timer(socket.get_executor())
        {
        }
        Tcp::socket socket;
        asio::steady_timer timer;
        bool gone = false;
        char byte = 0;
    };
    using CallPtr = std::shared_ptr<Call>;

    Awaitable<void> acceptAll()
    {
        for (;;) {
            ErrorCode ec;
            auto socket = co_await m_acceptor->async_accept(asio::redirect_error(asio::use_awaitable, ec));
            if (ec)
                continue;
            asio::co_spawn(m_io, serve(std::make_shared<Call>(std::move(socket))), asio::detached);
        }
    }

    Awaitable<void> serve(CallPtr call)
    {
        ErrorCode ec;
        call->socket.set_option(Tcp::no_delay(true), ec);
        beast::flat_buffer buffer;
        http::request_parser<http::string_body> parser;
        parser.body_limit(bodyLimit);
        co_await http::async_read(call->socket, buffer, parser, asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
            co_return;
        auto request = parser.release();
        watch(call);
        std::string target(request.target());
        if (target == "/truth")
            co_await respond(call, 200, truth().dump());
        else if (target == "/v1/kv/release")
            co_await releaseResult(call, request);
        else if (target.starts_with("/v1/kv/fetch"))
            co_await handOver(call, target);
        else
            co_await serveRequest(call, request);
        call->socket.shutdown(Tcp::socket::shutdown_send, ec);
    }

    Awaitable<void> serveRequest(CallPtr call, const Request& request)
    {
        m_truth.arrivals.push_back(std::chrono::steady_clock::now().time_since_epoch() / 1ms);
        if (m_options.kind == "plain")
            co_await servePlain(call, request);
        else
            co_await serveEngine(call, request);
    }

    void watch(CallPtr call)
    {
        call->socket.async_read_some(asio::buffer(&call->byte, 1), [call](ErrorCode ec, std::size_t) {
            if (ec) {
                call->gone = true;
                call->timer.cancel();
            }
        });
    }

    Awaitable<void> sleep(CallPtr call, double ms)
    {
        ErrorCode ec;
        call->timer.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(Millis(ms)));
        if (!call->gone)
            co_await call->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }

    Awaitable<void> write(CallPtr call, std::string text)
    {
        ErrorCode ec;
        co_await asio::async_write(call->socket, asio::buffer(text), asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
            call->gone = true;
    }

    Awaitable<void> respond(CallPtr call, int status, std::string body, std::string type = "application/json")
    {
        co_await write(call,
            "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: " + type + "\r\nContent-Length: " + std::to_string(body.size())
                + "\r\nConnection: close\r\n" + limitHeader() + "\r\n" + body);
    }

    [[nodiscard]] std::string limitHeader() const
    {
        return m_options.rateLimit > 0 ? "Request-Rate-Limit: " + std::to_string(m_options.rateLimit) + "\r\n" : "";
    }

    void begin()
    {
        ++m_truth.running;
        m_truth.mostRunning = std::max(m_truth.mostRunning, m_truth.running);
    }

    void end(const CallPtr& call)
    {
        --m_truth.running;
        ++(call->gone ? m_truth.cancelled : m_truth.completed);
        m_slots.release();
    }

    Awaitable<void> servePlain(CallPtr call, const Request& request)
    {
        auto key = std::string(request["Idempotency-Key"]);
        if (key.empty())
            key = std::string(request["X-Request-Id"]);
        co_await m_slots.acquire(0);
        begin();
        ++m_truth.runs[key];
        auto delay = std::string(request["X-Delay-Ms"]);
        co_await sleep(call, delay.empty() ? m_options.fixedMs : std::stod(delay));
        if (request["X-Fail"] == "close") {
            ErrorCode ec;
            call->socket.close(ec);
        } else {
            co_await respond(call, 200,
                standin::plainAnswer(std::string(request.method_string()), std::string(request.target()), request.body()), "text/plain");
        }
        end(call);
    }

    Awaitable<void> serveEngine(CallPtr call, const Request& request)
    {
        auto json = Json::parse(request.body(), nullptr, false);
        if (!json.is_object()) {
            co_await respond(call, 400, "{}");
            co_return;
        }
        ++m_truth.runs[std::string(request["X-Request-Id"])];
        auto params = json.value("kv_transfer_params", Json::object());
        co_await m_slots.acquire(json.value("priority", 1));
        begin();
        if (params.value("do_remote_decode", false))
            co_await prefill(call, standin::promptIn(request.body()));
        else
            co_await decode(call, json, standin::promptIn(request.body()), params);
        end(call);
    }

    std::size_t takeCached(const std::string& prompt)
    {
        std::size_t cached = 0;
        std::uint64_t chain = 0;
        bool isLeading = true;
        for (std::size_t at = 0; at + charactersPerBlock <= prompt.size(); at += charactersPerBlock) {
            chain = XXH3_64bits_withSeed(prompt.data() + at, charactersPerBlock, chain);
            bool isKnown = m_cache.contains(chain);
            isLeading = isLeading && isKnown;
            cached += isLeading ? charactersPerBlock / charactersPerToken : 0;
            if (!isKnown) {
                m_cache.insert(chain);
                m_cacheAge.push_back(chain);
            }
        }
        while (m_cacheAge.size() > cachedBlocks) {
            m_cache.erase(m_cacheAge.front());
            m_cacheAge.pop_front();
        }
        return cached;
    }

    Awaitable<void> prefill(CallPtr call, std::string prompt)
    {
        auto tokens = prompt.size() / charactersPerToken + 1;
        auto cached = takeCached(prompt);
        co_await sleep(call, m_options.fixedMs + m_options.microsPerToken / 1000 * static_cast<double>(tokens - std::min(cached, tokens)));
        if (call->gone)
            co_return;
        ++m_truth.prefilled;
        auto id = ++m_lastResult;
        m_results[id] = tokens;
        asio::co_spawn(m_io, expire(id), asio::detached);
        Json params { { "do_remote_prefill", true }, { "do_remote_decode", false },
            { "remote_engine_id", m_host + ":" + std::to_string(m_port) }, { "remote_block_ids", { id } }, { "remote_host", m_host },
            { "remote_port", m_port } };
        Json answer {
            { "object", "chat.completion" }, { "choices", Json::array() }, { "kv_transfer_params", params },
            { "usage",
                { { "prompt_tokens", tokens }, { "completion_tokens", 1 }, { "prompt_tokens_details", { { "cached_tokens", cached } } } } }
        };
        co_await respond(call, 200, answer.dump());
    }

    Awaitable<void> expire(std::uint64_t id)
    {
        asio::steady_timer timer(m_io, std::chrono::duration_cast<std::chrono::steady_clock::duration>(Millis(m_options.resultLifeMs)));
        co_await timer.async_wait(asio::use_awaitable);
        if (m_results.erase(id))
            ++m_truth.expired;
    }

    Awaitable<void> releaseResult(CallPtr call, const Request& request)
    {
        auto params = Json::parse(request.body(), nullptr, false);
        if (params.is_object() && params.contains("remote_block_ids")
            && m_results.erase(params["remote_block_ids"][0].get<std::uint64_t>()))
            ++m_truth.released;
        co_await respond(call, 200, "{}");
    }

    /// The prefill engine's side of a transfer: the result crosses the link, one at a time, and is freed.
    Awaitable<void> handOver(CallPtr call, std::string target)
    {
        auto id = std::stoull(target.substr(target.rfind('=') + 1));
        auto it = m_results.find(id);
        if (it == m_results.end()) {
            co_await respond(call, 404, "{}");
            co_return;
        }
        auto tokens = it->second;
        m_results.erase(it);
        ++m_truth.fetched;
        auto now = std::chrono::steady_clock::now();
        auto took = std::chrono::duration_cast<std::chrono::steady_clock::duration>(
            Millis(m_options.microsPerTokenLink / 1000 * static_cast<double>(tokens)));
        m_linkFreeAt = std::max(m_linkFreeAt, now) + took;
        co_await sleep(call, Millis(m_linkFreeAt - now).count());
        co_await respond(call, 200, "{}");
    }

    Awaitable<bool> fetch(Json params)
    {
        Tcp::socket socket(m_io);
        ErrorCode ec;
        Tcp::endpoint endpoint(
            asio::ip::make_address(params["remote_host"].get<std::string>()), params["remote_port"].get<std::uint16_t>());
        co_await socket.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
            co_return false;
        http::request<http::empty_body> request(http::verb::get, "/v1/kv/fetch?id=" + params["remote_block_ids"][0].dump(), 11);
        request.set(http::field::host, "engine");
        co_await http::async_write(socket, request, asio::redirect_error(asio::use_awaitable, ec));
        beast::flat_buffer buffer;
        http::response<http::string_body> response;
        if (!ec)
            co_await http::async_read(socket, buffer, response, asio::redirect_error(asio::use_awaitable, ec));
        co_return !ec && response.result_int() == 200;
    }

    Awaitable<void> decode(CallPtr call, Json json, std::string prompt, Json params)
    {
        bool needsResult = params.value("do_remote_prefill", false);
        bool hasResult = needsResult && co_await fetch(params);
        if (needsResult && !hasResult) {
            co_await respond(call, 500, "{\"error\":\"the prefill's result is gone\"}");
            co_return;
        }
        auto maxTokens = json.value("max_tokens", 256u);
        auto n = standin::answerLength(prompt, maxTokens);
        if (!json.value("stream", false)) {
            co_await sleep(call, m_options.tokenMs * n);
            if (!call->gone)
                co_await respond(call, 200, standin::wholeAnswer(prompt, maxTokens));
            co_return;
        }
        co_await write(call,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n" + limitHeader()
                + "\r\n");
        for (std::uint32_t i = 0; i < n && !call->gone; ++i) {
            co_await sleep(call, m_options.tokenMs);
            co_await write(call, chunk(standin::streamEvent(prompt, i)));
        }
        if (!call->gone)
            co_await write(call, chunk(standin::streamEnd) + "0\r\n\r\n");
    }

    static std::string chunk(const std::string& text)
    {
        char size[20];
        std::snprintf(size, sizeof size, "%zx\r\n", text.size());
        return size + text + "\r\n";
    }

    [[nodiscard]] Json truth() const
    {
        return { { "running", m_truth.running }, { "most_running", m_truth.mostRunning }, { "waiting", m_slots.waiting() },
            { "held_results", m_results.size() }, { "prefilled", m_truth.prefilled }, { "fetched", m_truth.fetched },
            { "released", m_truth.released }, { "expired", m_truth.expired }, { "completed", m_truth.completed },
            { "cancelled", m_truth.cancelled }, { "runs", m_truth.runs }, { "arrivals_ms", m_truth.arrivals } };
    }

    IoContext& m_io;
    Options m_options;
    Slots m_slots;
    std::optional<Tcp::acceptor> m_acceptor;
    std::string m_host;
    std::uint16_t m_port = 0;
    Truth m_truth;
    std::set<std::uint64_t> m_cache;
    std::deque<std::uint64_t> m_cacheAge;
    std::map<std::uint64_t, std::size_t> m_results; ///< Prompt tokens by result id.
    std::uint64_t m_lastResult = 0;
    std::chrono::steady_clock::time_point m_linkFreeAt;
};

Options readOptions(int argc, const char** argv)
{
    Options options;
    char* listen = nullptr;
    char* kind = nullptr;
    poptOption table[] = { { "listen", 0, POPT_ARG_STRING, &listen, 0, "address", "IP:PORT" },
        { "kind", 0, POPT_ARG_STRING, &kind, 0, "prefill, decode or plain", nullptr },
        { "slots", 0, POPT_ARG_INT, &options.slots, 0, "requests at a time", nullptr },
        { "fixed-ms", 0, POPT_ARG_DOUBLE, &options.fixedMs, 0, "fixed time of a prefill or plain call", nullptr },
        { "us-per-token", 0, POPT_ARG_DOUBLE, &options.microsPerToken, 0, "prefill time a token", nullptr },
        { "token-ms", 0, POPT_ARG_DOUBLE, &options.tokenMs, 0, "time between tokens", nullptr },
        { "result-life-ms", 0, POPT_ARG_DOUBLE, &options.resultLifeMs, 0, "life of a prefill's result", nullptr },
        { "rate-limit", 0, POPT_ARG_DOUBLE, &options.rateLimit, 0, "requests a second, stated in each answer", nullptr },
        { "us-per-token-link", 0, POPT_ARG_DOUBLE, &options.microsPerTokenLink, 0, "transfer time a token", nullptr },
        POPT_AUTOHELP POPT_TABLEEND };
    auto context = poptGetContext("wrenhinge-standin", argc, argv, table, 0);
    if (poptGetNextOpt(context) < -1) {
        std::cerr << "wrenhinge-standin: bad option; see --help\n";
        std::exit(2);
    }
    if (listen)
        options.listen = listen;
    if (kind)
        options.kind = kind;
    std::free(listen); // popt allocates what it hands over.
    std::free(kind);
    poptFreeContext(context);
    return options;
}

} // namespace

int main(int argc, const char** argv)
{
    IoContext io(1);
    StandIn standIn(io, readOptions(argc, argv));
    std::cout << Json { { "ready", "standin" }, { "address", standIn.start() } }.dump() << std::endl;
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&io](ErrorCode, int) { io.stop(); });
    io.run();
}
