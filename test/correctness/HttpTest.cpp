/** \file
 * Connections of a gateway without sidecars, over loopback with ports from the kernel: callers' side and replicas' side.
 */
#include "connection/Endpoint.h"
#include "connection/HttpServer.h"
#include "connection/HttpText.h"
#include "connection/UpstreamPool.h"
#include "request/forward/EventSplitter.h"

#include <doctest/doctest.h>
#include <future>
#include <thread>

using namespace wrenhinge;

namespace {

/// A server on a thread of its own that answers by `handle`.
class Server {
public:
    explicit Server(HttpServer::Handler handle)
        : m_server(boost::asio::make_strand(m_io), std::move(handle))
    {
        m_address = m_server.listen("127.0.0.1:0").value();
        m_thread = std::thread([this] { m_io.run(); });
    }
    ~Server()
    {
        m_io.stop();
        m_thread.join();
    }
    const std::string& address() const { return m_address; }
    void closeIdle()
    {
        boost::asio::post(m_io, [this] { m_server.closeIdle(); });
    }
    template <typename F> void post(F f) { boost::asio::post(m_io, std::move(f)); }
    /// Runs `f` on the server's thread and waits for it.
    template <typename F> void call(F f)
    {
        std::promise<void> done;
        post([&] {
            f();
            done.set_value();
        });
        done.get_future().wait();
    }

private:
    IoContext m_io { 1 };
    HttpServer m_server;
    std::string m_address;
    std::thread m_thread;
};

/// A blocking connection.
class Client {
public:
    explicit Client(const std::string& address)
        : m_socket(m_io)
    {
        m_socket.connect(parseEndpoint(address).value());
    }
    void send(const std::string& bytes) { boost::asio::write(m_socket, boost::asio::buffer(bytes)); }
    /// Reads until `end` has come or the connection ends.
    std::string readTo(const std::string& end)
    {
        // Looked for only in what is new: a large answer comes in thousands of pieces.
        std::size_t from = 0;
        while (m_received.find(end, from) == std::string::npos) {
            from = m_received.size() > end.size() ? m_received.size() - end.size() : 0;
            if (!readMore())
                break;
        }
        return m_received;
    }
    std::string readAll()
    {
        while (readMore()) { }
        return m_received;
    }
    Tcp::socket& socket() { return m_socket; }

private:
    bool readMore()
    {
        std::array<char, 4096> buf {};
        ErrorCode ec;
        auto n = m_socket.read_some(boost::asio::buffer(buf), ec);
        m_received.append(buf.data(), n);
        return !ec;
    }
    IoContext m_io;
    Tcp::socket m_socket;
    std::string m_received;
};

void echo(HttpRequest&& request, const std::shared_ptr<HttpAnswer>& answer)
{
    answer->reply(200, {}, request.method + " " + request.target + " [" + request.body + "]");
}

std::string get(const std::string& target) { return "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n"; }

/// A replica that answers each connection by a script, and a pool that calls it.
class Replica {
public:
    /// \param serve gets a connected socket and does what it likes.
    explicit Replica(std::function<void(Tcp::socket)> serve)
        : m_acceptor(m_io, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    {
        m_thread = std::thread([this, serve = std::move(serve)] {
            for (;;) {
                ErrorCode ec;
                auto socket = m_acceptor.accept(ec);
                if (ec || m_isStopping)
                    return;
                ++accepted;
                serve(std::move(socket));
            }
        });
    }
    ~Replica()
    {
        m_isStopping = true;
        // Wakes the accept.
        IoContext io;
        Tcp::socket last(io);
        ErrorCode ignored;
        last.connect(m_acceptor.local_endpoint(), ignored);
        m_thread.join();
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }
    std::atomic<int> accepted = 0;

private:
    IoContext m_io;
    Tcp::acceptor m_acceptor;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

std::string readRequest(Tcp::socket& socket)
{
    std::string text;
    std::array<char, 4096> buf {};
    ErrorCode ec;
    while (text.find("\r\n\r\n") == std::string::npos && !ec)
        text.append(buf.data(), socket.read_some(boost::asio::buffer(buf), ec));
    return text;
}

void writeText(Tcp::socket& socket, const std::string& text)
{
    ErrorCode ignored;
    boost::asio::write(socket, boost::asio::buffer(text), ignored);
}

void reset(Tcp::socket& socket)
{
    socket.set_option(boost::asio::socket_base::linger(true, 0));
    socket.close();
}

struct Outcome {
    bool isWhole = false;
    bool hasFailed = false;
    bool mayHaveRun = false;
    int status = 0;
    std::string body;
};

/// Calls as a gateway would, and waits for the outcome.
class Caller {
public:
    Outcome call(const std::string& address, const std::string& id = "me", std::optional<Duration> timeLimit = {})
    {
        Outcome outcome;
        UpstreamCallHandlers handlers;
        handlers.timeLimit = timeLimit;
        handlers.whose = [id](const UpstreamHead& head) {
            auto echoed = headerValue(head.headers, "Id");
            return echoed && *echoed != id ? AnswerOwner::FormerCall : AnswerOwner::ThisCall;
        };
        handlers.onHead = [&](const UpstreamHead& head) { outcome.status = head.status; };
        handlers.onBody = [&](const std::string& bytes) { outcome.body += bytes; };
        handlers.onEnd = [&] { outcome.isWhole = true; };
        handlers.onFailure = [&](bool mayHaveRun, const std::string&) {
            outcome.hasFailed = true;
            outcome.mayHaveRun = mayHaveRun;
        };
        UpstreamRequest request;
        request.bytes = get("/");
        m_lastCall = m_pool.call({ "r", {} }, address, request, handlers);
        if (auto f = std::exchange(m_onStart, nullptr))
            f();
        while (!outcome.isWhole && !outcome.hasFailed)
            m_io.run_one();
        return outcome;
    }
    /// Lets what is under way arrive.
    void poll() { m_io.poll(); }
    std::uint64_t opened() const { return m_pool.opened(); }
    UpstreamPool::Call lastCall() const { return m_lastCall; }
    /// Calls `f` once, as soon as the next call has begun.
    void onStart(std::function<void()> f) { m_onStart = std::move(f); }
    /// Runs nothing for this long when the next call has begun.
    void standStillFor(Duration d)
    {
        onStart([d] { std::this_thread::sleep_for(d); });
    }

private:
    UpstreamPool::Call m_lastCall;
    std::function<void()> m_onStart;
    IoContext m_io { 1 };
    boost::asio::executor_work_guard<IoContext::executor_type> m_work { m_io.get_executor() };
    UpstreamPool m_pool { boost::asio::make_strand(m_io) };
};

const std::string whole = "HTTP/1.1 200 OK\r\nId: me\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok";

} // namespace

TEST_CASE("pipelined requests are answered in order, bodies with a length or in chunks")
{
    Server server(echo);
    Client client(server.address());
    client.send(get("/1") + "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
        + "POST /3 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n2\r\nde\r\n1\r\nf\r\n0\r\n\r\n");
    auto text = client.readAll();
    auto one = text.find("GET /1 []");
    auto two = text.find("POST /2 [abc]");
    auto three = text.find("POST /3 [def]");
    CHECK(one != std::string::npos);
    CHECK(one < two);
    CHECK(two < three);
    CHECK(three != std::string::npos);
    CHECK(text.find("Connection: close") != std::string::npos);
}

TEST_CASE("a request that two parsers could read differently is refused and its connection closed")
{
    // Guards against request smuggling: a replica that runs a request hidden in the body of another one.
    auto refused = [](const std::string& request) {
        Server server(echo);
        Client client(server.address());
        client.send(request + get("/smuggled"));
        auto text = client.readAll();
        CHECK(text.starts_with("HTTP/1.1 400"));
        CHECK(text.find("smuggled") == std::string::npos);
        CHECK(text.find("HTTP/1.1 200") == std::string::npos);
    };
    refused("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    refused("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n");
    refused("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd");
    refused("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n");
    refused("GET / HTTP/1.1\r\n\r\n");
    refused("GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n");
    refused("GET / HTTP/1.1\r\nHost : h\r\n\r\n");
    refused("GET example HTTP/1.1\r\nHost: h\r\n\r\n");
    refused("nonsense\r\n\r\n");
}

TEST_CASE("a caller that leaves is noticed while its answer is awaited")
{
    std::promise<void> gone;
    std::promise<void> arrived;
    std::shared_ptr<HttpAnswer> kept;
    Server server([&](HttpRequest&&, std::shared_ptr<HttpAnswer> answer) {
        answer->onGone = [&gone] { gone.set_value(); };
        kept = std::move(answer);
        arrived.set_value();
    });
    Client client(server.address());
    client.send(get("/"));
    arrived.get_future().wait();
    SUBCASE("by closing") { client.socket().close(); }
    SUBCASE("by a reset") { reset(client.socket()); }
    gone.get_future().wait();
    // An answer's connection may not outlive the loop that it runs on.
    server.call([&kept] { kept.reset(); });
}

TEST_CASE("a connection that was busy when the server closed is not kept for another request")
{
    // Guards against a request that is accepted long after SIGTERM and cut off when the process ends.
    std::shared_ptr<HttpAnswer> kept;
    std::promise<void> arrived;
    Server server([&](HttpRequest&&, std::shared_ptr<HttpAnswer> answer) {
        answer->begin(200, {});
        kept = std::move(answer);
        arrived.set_value();
    });
    Client client(server.address());
    client.send(get("/"));
    arrived.get_future().wait();
    server.closeIdle();
    server.post([&kept] {
        kept->write("part");
        kept->end();
    });
    auto text = client.readAll();
    CHECK(text.find("4\r\npart\r\n0\r\n\r\n") != std::string::npos);
    server.call([&kept] { kept.reset(); });
}

// --- Time limits that end while the process stands still --------------------------------------------------------
//
// A process that shares its core, or that parses a large document, runs nothing for tens to hundreds of ms. Bytes that came and
// time limits that ended meanwhile are then found at once, and the bytes are handled first. Asio's timer can't take a wait back
// that has already ended: its handler is called without an error, whatever was cancelled or armed anew before it.

namespace {

/// A server that runs only when the test lets it, and what it was asked.
class HandRunServer {
public:
    explicit HandRunServer(const HttpServer::Limits& limits)
        : m_server(m_strand, [this](HttpRequest&& request, std::shared_ptr<HttpAnswer> answer) {
            requests.push_back(std::move(request));
            answer->onGone = [this] { ++gone; };
            answers.push_back(std::move(answer));
        })
    {
        m_server.setLimits(limits);
        address = m_server.listen("127.0.0.1:0").value();
    }
    ~HandRunServer()
    {
        // An answer's connection may not outlive the loop that it runs on.
        answers.clear();
    }
    /// Runs what is ready, until nothing is.
    void run()
    {
        while (io.poll()) { }
    }
    template <typename F> void runUntil(F isReached)
    {
        while (!isReached())
            io.run_one();
    }
    /// Runs until so many requests have come.
    void awaitRequests(std::size_t n)
    {
        runUntil([&] { return requests.size() >= n; });
    }
    /// Calls `f` as soon as the loop runs again, before any limit that was set later and has ended too.
    void callFirst(std::function<void()> f)
    {
        m_first.expires_after(1ms);
        m_first.async_wait([f = std::move(f)](ErrorCode) { f(); });
    }
    HttpServer& server() { return m_server; }

    IoContext io { 1 };
    std::string address;
    std::vector<HttpRequest> requests;
    std::vector<std::shared_ptr<HttpAnswer>> answers;
    int gone = 0;

private:
    boost::asio::executor_work_guard<IoContext::executor_type> m_work { io.get_executor() };
    Strand m_strand { boost::asio::make_strand(io) };
    boost::asio::steady_timer m_first { m_strand };
    HttpServer m_server;
};

constexpr Duration shortLimit = 30ms;
/// The process stands still until a limit of `shortLimit` has ended.
void standStill() { std::this_thread::sleep_for(2 * shortLimit); }

HttpServer::Limits shortIdleTime()
{
    HttpServer::Limits limits;
    limits.idleTime = shortLimit;
    return limits;
}

HttpServer::Limits shortHeaderTime()
{
    HttpServer::Limits limits;
    limits.headerTime = shortLimit;
    return limits;
}

bool isWholeAnswer(const std::string& text) { return text.find("HTTP/1.1 200") != std::string::npos && text.ends_with("whole"); }

} // namespace

TEST_CASE("a request that is found together with the end of the idle time is answered")
{
    // Guards against a request that was passed on while the idle timeout closed its connection without an answer.
    HandRunServer server(shortIdleTime());
    Client client(server.address);
    client.send(get("/1"));
    server.awaitRequests(1);
    server.answers[0]->reply(200, {}, "first");
    server.run();
    client.readTo("first");
    client.send(get("/2"));
    standStill();
    server.run();
    REQUIRE(server.requests.size() == 2);
    server.answers[1]->reply(200, { { "Connection", "close" } }, "whole");
    server.run();
    CHECK(isWholeAnswer(client.readTo("whole")));
    CHECK(server.gone == 0);
}

TEST_CASE("a caller that leaves just as the idle time ended is still noticed")
{
    // Guards against a replica that continues to work for a caller that has disconnected.
    HandRunServer server(shortIdleTime());
    Client client(server.address);
    server.callFirst([] {});
    server.run();
    client.send(get("/1"));
    standStill();
    server.run();
    REQUIRE(server.requests.size() == 1);
    client.socket().close();
    server.run();
    CHECK(server.gone == 1);
}

TEST_CASE("bytes that came before the idle time was noticed to be over are served")
{
    // Guards against a complete request that is discarded because the process was suspended past the idle timeout.
    HandRunServer server(shortIdleTime());
    Client client(server.address);
    client.send(get("/1"));
    server.awaitRequests(1);
    server.answers[0]->reply(200, {}, "first");
    server.run();
    client.readTo("first");
    server.callFirst([&client] { client.send(get("/2")); });
    standStill();
    server.run();
    server.awaitRequests(2);
    server.answers[1]->reply(200, {}, "whole");
    server.run();
    CHECK(isWholeAnswer(client.readTo("whole")));
}

TEST_CASE("a request whose last bytes are found together with the end of its time is not refused as well")
{
    // Guards against answering 408, which means "not run", to a request that a replica runs.
    HandRunServer server(shortHeaderTime());
    Client client(server.address);
    client.send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n");
    server.callFirst([] {});
    server.io.run_one();
    server.run();
    client.send("\r\nab");
    standStill();
    server.run();
    REQUIRE(server.requests.size() == 1);
    server.answers[0]->reply(200, {}, "whole");
    server.run();
    auto text = client.readTo("whole");
    CHECK(isWholeAnswer(text));
    CHECK(text.find("408") == std::string::npos);
}

TEST_CASE("a connection that is about to end takes no further request")
{
    // Guards against a request that is passed on although its connection closes after the previous answer.
    HandRunServer server({});
    Client client(server.address);
    client.send("GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    server.awaitRequests(1);
    // More than the buffers of both sides take.
    constexpr std::size_t largeAnswer = 32u << 20;
    server.answers[0]->reply(200, {}, std::string(largeAnswer, 'x'));
    client.send(get("/2"));
    server.run();
    auto reading = std::async(std::launch::async, [&client] { return client.readAll(); });
    while (reading.wait_for(0s) != std::future_status::ready)
        server.io.poll();
    CHECK(reading.get().size() > largeAnswer);
    CHECK(server.requests.size() == 1);
}

TEST_CASE("an answer that its caller reads slowly does not count as idle time")
{
    // Guards against cutting off an answer that its caller reads slowly.
    HandRunServer server(shortIdleTime());
    Client client(server.address);
    client.send(get("/1"));
    server.awaitRequests(1);
    constexpr std::size_t largeAnswer = 32u << 20;
    server.answers[0]->reply(200, {}, std::string(largeAnswer, 'x') + "whole");
    server.run();
    standStill();
    server.run();
    auto reading = std::async(std::launch::async, [&client] { return client.readTo("whole"); });
    while (reading.wait_for(0s) != std::future_status::ready)
        server.io.poll();
    CHECK(isWholeAnswer(reading.get()));
}

TEST_CASE("a longer idle time holds for connections that wait already")
{
    // Guards against closing connections by the old idle timeout while callers rely on the new one.
    HandRunServer server(shortIdleTime());
    Client client(server.address);
    client.send(get("/1"));
    server.awaitRequests(1);
    server.answers[0]->reply(200, {}, "first");
    server.run();
    client.readTo("first");
    server.server().setLimits({});
    standStill();
    server.run();
    client.send(get("/2"));
    server.awaitRequests(2);
    server.answers[1]->reply(200, {}, "whole");
    server.run();
    CHECK(isWholeAnswer(client.readTo("whole")));
}

TEST_CASE("a larger limit of bodies holds for connections that wait already")
{
    // Guards against answering 413 to a body that the configuration in force allows.
    HttpServer::Limits limits;
    limits.bodyBytes = 1;
    HandRunServer server(limits);
    Client client(server.address);
    client.send(get("/1"));
    server.awaitRequests(1);
    server.answers[0]->reply(200, {}, "first");
    server.run();
    client.readTo("first");
    server.server().setLimits({});
    client.send("POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab");
    server.awaitRequests(2);
    CHECK(server.requests[1].body == "ab");
}

TEST_CASE("a request that has come before idle connections are closed is answered")
{
    // Guards against a complete request that gets no answer because its gateway shuts down.
    HandRunServer server({});
    Client client(server.address);
    client.send(get("/1"));
    server.awaitRequests(1);
    server.answers[0]->reply(200, {}, "first");
    server.run();
    client.readTo("first");
    client.send(get("/2"));
    server.server().closeIdle();
    server.awaitRequests(2);
    server.answers[1]->reply(200, {}, "whole");
    server.run();
    auto text = client.readAll();
    CHECK(isWholeAnswer(text));
    CHECK(text.find("Connection: close") != std::string::npos);
}

TEST_CASE("a stream that is broken off does not look complete")
{
    Server server([](HttpRequest&&, const std::shared_ptr<HttpAnswer>& answer) {
        answer->begin(200, {});
        answer->write("part");
        answer->breakOff();
    });
    Client client(server.address());
    client.send(get("/"));
    CHECK(client.readAll().find("0\r\n\r\n") == std::string::npos);
}

TEST_CASE("headers that concern one connection are removed, also those that it names")
{
    HeaderList headers { { "Connection", "keep-alive, X-Hop" }, { "X-Hop", "1" }, { "Keep-Alive", "timeout=5" }, { "Te", "trailers" },
        { "X-End", "2" } };
    removeConnectionHeaders(headers);
    CHECK(headers == HeaderList { { "X-End", "2" } });
}

TEST_CASE("a connection is used again after a whole answer, and only then")
{
    auto calls = [](const std::string& answer, bool closes) {
        Replica replica([answer, closes](Tcp::socket socket) {
            while (!readRequest(socket).empty()) {
                writeText(socket, answer);
                if (closes)
                    return;
            }
        });
        Caller caller;
        CHECK(caller.call(replica.address()).isWhole);
        caller.poll();
        CHECK(caller.call(replica.address()).isWhole);
        return caller.opened();
    };
    CHECK(calls(whole, false) == 1);
    CHECK(calls("HTTP/1.1 200 OK\r\nId: me\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", true) == 2);
    CHECK(calls("HTTP/1.1 200 OK\r\nId: me\r\n\r\nok", true) == 2);
    CHECK(calls(whole + "HTTP/1.1 200 OK\r\n", false) == 2);
}

TEST_CASE("an answer without a length is whole at a clean end and cut at a reset")
{
    // Guards against passing on a truncated answer as complete.
    Replica clean([](Tcp::socket socket) {
        readRequest(socket);
        writeText(socket, "HTTP/1.1 200 OK\r\nId: me\r\n\r\nhalf");
    });
    CHECK(Caller().call(clean.address()).isWhole);
    for (int i = 0; i < 20; ++i) {
        Replica broken([](Tcp::socket socket) {
            readRequest(socket);
            writeText(socket, "HTTP/1.1 200 OK\r\nId: me\r\n\r\nhalf");
            reset(socket);
        });
        auto outcome = Caller().call(broken.address());
        CHECK(outcome.hasFailed);
        CHECK(outcome.mayHaveRun);
    }
}

TEST_CASE("a refused connection has run nothing; one that ends without an answer may have")
{
    std::string address;
    {
        Replica replica([](Tcp::socket) {});
        address = replica.address();
    }
    auto refused = Caller().call(address);
    CHECK(refused.hasFailed);
    CHECK(!refused.mayHaveRun);
    Replica mute([](Tcp::socket socket) { readRequest(socket); });
    auto ended = Caller().call(mute.address());
    CHECK(ended.hasFailed);
    CHECK(ended.mayHaveRun);
}

TEST_CASE("a late answer to a former request is skipped, and its connection given up")
{
    Replica replica([](Tcp::socket socket) {
        while (!readRequest(socket).empty())
            writeText(socket, "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nother" + whole);
    });
    Caller caller;
    auto outcome = caller.call(replica.address());
    CHECK(outcome.isWhole);
    CHECK(outcome.body == "ok");
    caller.call(replica.address());
    CHECK(caller.opened() == 2);
}

TEST_CASE("a connection that is found together with the end of its time limit is used")
{
    // Guards against giving up a request that its replica runs, when the connect timeout and the connection come together.
    Replica replica([](Tcp::socket socket) {
        while (!readRequest(socket).empty())
            writeText(socket, whole);
    });
    Caller caller;
    caller.standStillFor(UpstreamPool::connectLimit + 50ms);
    auto outcome = caller.call(replica.address());
    CHECK(outcome.isWhole);
    CHECK(!outcome.hasFailed);
}

TEST_CASE("cancelling a call that has ended leaves the next call on its connection alone")
{
    // Guards against a call that neither ends nor fails.
    Replica replica([](Tcp::socket socket) {
        while (!readRequest(socket).empty())
            writeText(socket, whole);
    });
    Caller caller;
    CHECK(caller.call(replica.address()).isWhole);
    auto former = caller.lastCall();
    caller.onStart([&former] { UpstreamPool::cancel(former); });
    CHECK(caller.call(replica.address()).isWhole);
    CHECK(caller.opened() == 1);
}

TEST_CASE("bytes that are no answer fail the call")
{
    Replica replica([](Tcp::socket socket) {
        readRequest(socket);
        writeText(socket, "what?\r\n\r\n");
    });
    auto outcome = Caller().call(replica.address());
    CHECK(outcome.hasFailed);
    CHECK(outcome.mayHaveRun);
}

TEST_CASE("a request that states more bytes than it may have is refused")
{
    // Guards against a gateway that ends because it can't set aside what a caller announces.
    for (const std::string length : { "8000001", "99999999999", "18446744073709551615", "99999999999999999999" }) {
        Server server(echo);
        Client client(server.address());
        client.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + length + "\r\n\r\nbody");
        CHECK(client.readAll().starts_with("HTTP/1.1 4"));
    }
}

TEST_CASE("a request whose chunk header does not end is refused")
{
    Server server(echo);
    Client client(server.address());
    client.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5;" + std::string(1u << 17, 'x'));
    CHECK(client.readAll().starts_with("HTTP/1.1 431"));
}

TEST_CASE("of callers that do not read, the one with most bytes waiting is disconnected")
{
    // Guards against a process that runs out of memory over callers that stop to read, and against cutting off others for them.
    HttpServer::Limits limits;
    limits.unsentBytes = 32u << 20;
    HandRunServer server(limits);
    std::vector<std::unique_ptr<Client>> clients;
    for (std::size_t i = 0; i < 3; ++i) {
        clients.push_back(std::make_unique<Client>(server.address));
        clients.back()->send(get("/"));
        server.awaitRequests(i + 1);
    }
    std::vector<bool> hasGone(3);
    for (std::size_t i = 0; i < 3; ++i) {
        server.answers[i]->onGone = [&hasGone, i] { hasGone[i] = true; };
        server.answers[i]->begin(200, {});
    }
    constexpr std::size_t manyBytes = 18u << 20; // More than the buffers of both sides take.
    server.answers[0]->write(std::string(manyBytes, 'x'));
    server.answers[1]->write("small");
    server.run();
    CHECK(hasGone == std::vector<bool> { false, false, false });
    server.answers[2]->write(std::string(2 * manyBytes, 'x'));
    CHECK(hasGone == std::vector<bool> { false, false, true });
    server.answers[1]->end();
    server.run();
    CHECK(clients[1]->readTo("0\r\n\r\n").ends_with("5\r\nsmall\r\n0\r\n\r\n"));
}

TEST_CASE("of requests that have not come whole, the largest is refused as not run once they are too many together")
{
    // Guards against a process that keeps as much as all callers together send.
    HttpServer::Limits limits;
    limits.bodyBytes = 100000;
    limits.receivingBytes = 200000;
    HandRunServer server(limits);
    std::vector<std::unique_ptr<Client>> clients;
    auto sendPart = [&](std::size_t bytes) {
        clients.push_back(std::make_unique<Client>(server.address));
        clients.back()->send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + std::string(bytes, 'x'));
        server.run();
    };
    for (std::size_t bytes : { 50000u, 90000u, 40000u, 30000u })
        sendPart(bytes);
    auto refusal = clients[1]->readTo("\r\n\r\n");
    CHECK(refusal.starts_with("HTTP/1.1 503"));
    CHECK(refusal.find("Retry-After: 1\r\n") != std::string::npos);
    clients[0]->send(std::string(50000, 'x'));
    server.awaitRequests(1);
    CHECK(server.requests[0].body.size() == 100000);
}

TEST_CASE("a request that takes more than half of what is free for those in progress is refused as not run")
{
    // Guards against a few large requests that leave no room for all the small ones.
    HttpServer::Limits limits;
    limits.progressBytes = 100000;
    HandRunServer server(limits);
    std::vector<std::unique_ptr<Client>> clients;
    auto post = [&](std::size_t bytes) {
        clients.push_back(std::make_unique<Client>(server.address));
        clients.back()->send(
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n" + std::string(bytes, 'x'));
    };
    post(90000); // Alone it is always admitted.
    server.awaitRequests(1);
    post(5000);
    server.run();
    CHECK(clients[1]->readTo("\r\n\r\n").starts_with("HTTP/1.1 503"));
    post(100);
    server.awaitRequests(2);
    server.answers[0]->reply(200, {}, "");
    server.requests[0] = {};
    post(5000);
    server.awaitRequests(3);
    CHECK(server.requests[2].body.size() == 5000);
}

TEST_CASE("a caller that sends far ahead gets the answer in progress, which says that its connection ends")
{
    // Guards against keeping, and answering, whatever is sent ahead.
    HandRunServer server({});
    Client client(server.address);
    client.send(get("/"));
    server.awaitRequests(1);
    client.send(get("/" + std::string(15000, 'a')) + get("/" + std::string(15000, 'b')));
    server.run();
    server.answers[0]->reply(200, {}, "first");
    server.run();
    auto text = client.readTo("first");
    CHECK(text.find("Connection: close\r\n") != std::string::npos);
    CHECK(server.requests.size() == 1);
}

TEST_CASE("requests sent ahead by less are all answered, the next once the answer before has left")
{
    HandRunServer server({});
    Client client(server.address);
    client.send(get("/a") + get("/b"));
    server.awaitRequests(1);
    CHECK(server.requests.size() == 1);
    server.answers[0]->reply(200, {}, "first");
    server.awaitRequests(2);
    server.answers[1]->reply(200, {}, "second");
    server.run();
    CHECK(client.readTo("second").find("first") != std::string::npos);
}

TEST_CASE("a caller that takes nothing of its answer for the idle time is disconnected")
{
    // Guards against a connection, and an answer, that stay for as long as their caller likes.
    HttpServer::Limits limits;
    limits.idleTime = 30ms;
    HandRunServer server(limits);
    Client client(server.address);
    client.send(get("/"));
    server.awaitRequests(1);
    bool hasGone = false;
    server.answers[0]->onGone = [&] { hasGone = true; };
    server.answers[0]->begin(200, {});
    constexpr std::size_t manyBytes = 18u << 20; // More than the buffers of both sides take.
    server.answers[0]->write(std::string(manyBytes, 'x'));
    server.runUntil([&] { return hasGone; });
}

TEST_CASE("a new connection takes the place of one that has sent no request, else of the one that is idle for longest")
{
    // Guards against callers that find all places taken by those who ask for nothing.
    HttpServer::Limits limits;
    limits.connections = 3;
    HandRunServer server(limits);
    Client busy(server.address);
    busy.send(get("/busy"));
    server.awaitRequests(1);
    Client idle(server.address);
    idle.send(get("/idle"));
    server.awaitRequests(2);
    server.answers[1]->reply(200, {}, "idle");
    server.run();
    Client silent(server.address);
    server.run();
    std::this_thread::sleep_for(600ms); // Longer than a first request may take.
    Client first(server.address);
    first.send(get("/first"));
    server.awaitRequests(3);
    CHECK(silent.readAll().empty());
    Client second(server.address);
    second.send(get("/second"));
    server.awaitRequests(4);
    idle.readTo("idle");
    CHECK(idle.readAll().ends_with("idle"));
    // All places have a request in progress now.
    Client third(server.address);
    server.run();
    CHECK(third.readAll().empty());
    server.answers[0]->reply(200, {}, "served");
    server.run();
    CHECK(busy.readTo("served").starts_with("HTTP/1.1 200"));
}

TEST_CASE("beyond three quarters of the places a connection ends with its answer, and a new one gets its place")
{
    // Guards against connections that always have a request in progress and so keep all places.
    HttpServer::Limits limits;
    limits.connections = 4;
    HandRunServer server(limits);
    std::vector<std::unique_ptr<Client>> clients;
    for (std::size_t i = 0; i < limits.connections; ++i) {
        clients.push_back(std::make_unique<Client>(server.address));
        clients.back()->send(get("/") + get("/ahead"));
        server.awaitRequests(i + 1);
    }
    server.answers[0]->reply(200, {}, "first");
    Client next(server.address);
    next.send(get("/next"));
    server.awaitRequests(limits.connections + 1);
    CHECK(server.requests.back().target == "/next");
    CHECK(clients[0]->readTo("first").find("Connection: close\r\n") != std::string::npos);
}

TEST_CASE("callers that closed their side before they are accepted are answered, after those that wait")
{
    // Guards against a caller who waits for the answers to all that have connected, asked and left before it.
    HandRunServer server({});
    constexpr std::size_t gone = 30;
    std::vector<std::unique_ptr<Client>> clients;
    for (std::size_t i = 0; i <= gone; ++i) {
        clients.push_back(std::make_unique<Client>(server.address));
        clients.back()->send(get(i < gone ? "/gone" : "/waits"));
        if (i < gone)
            clients.back()->socket().shutdown(Tcp::socket::shutdown_send);
    }
    server.awaitRequests(1);
    CHECK(server.requests[0].target == "/waits");
    server.awaitRequests(1 + gone);
}

TEST_CASE("bytes without end fail their call, wherever they stand")
{
    // Guards against a call that keeps a connection, memory or the processor for as long as a faulty replica sends.
    std::string filler(16000, 'x');
    auto former = "HTTP/1.1 200 OK\r\nId: other\r\n\r\n";
    std::vector<std::pair<std::string, std::string>> all { { "HTTP/1.1 200 OK\r\nId: me\r\n\r\n", filler },
        { "HTTP/1.1 200 OK\r\nId: me\r\n", "X: x\r\n" }, { "", "HTTP/1.1 100 Continue\r\n\r\n" }, { former, filler },
        { "", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nno" },
        { "HTTP/1.1 200 OK\r\nId: me\r\nTransfer-Encoding: chunked\r\n\r\n1;", filler } };
    for (const auto& [first, rest] : all) {
        CAPTURE(first);
        Replica replica([&](Tcp::socket socket) {
            readRequest(socket);
            auto part = rest;
            while (part.size() < 100000)
                part += part;
            writeText(socket, first);
            for (ErrorCode ec; !ec;)
                boost::asio::write(socket, boost::asio::buffer(part), ec);
        });
        auto outcome = Caller().call(replica.address());
        CHECK(outcome.hasFailed);
        CHECK(outcome.mayHaveRun);
        CHECK(outcome.body.size() <= maxAnswerBytes);
    }
}

TEST_CASE("a call with a time limit fails when it has passed, and one that was answered before does not")
{
    // Guards against connections that are kept for ever for calls whose answers nobody waits for.
    Replica mute([](Tcp::socket socket) {
        while (!readRequest(socket).empty()) { }
    });
    CHECK(Caller().call(mute.address(), "me", 50ms).hasFailed);
    Replica replica([](Tcp::socket socket) {
        while (!readRequest(socket).empty())
            writeText(socket, whole);
    });
    Caller caller;
    CHECK(caller.call(replica.address(), "me", 10s).isWhole);
    CHECK(caller.call(replica.address()).isWhole);
    CHECK(caller.opened() == 1);
}

TEST_CASE("an answer that states more bytes than it may have fails its call")
{
    // Guards against a gateway that ends because it can't set aside what a faulty replica announces.
    for (const std::string length : { "8388609", "99999999999", "18446744073709551615", "99999999999999999999" }) {
        Replica replica([&length](Tcp::socket socket) {
            readRequest(socket);
            writeText(socket, "HTTP/1.1 200 OK\r\nId: me\r\nContent-Length: " + length + "\r\n\r\n" + std::string(4000, 'x'));
        });
        auto outcome = Caller().call(replica.address());
        CHECK(outcome.hasFailed);
        CHECK(outcome.mayHaveRun);
    }
}

TEST_CASE("a stream is cut into whole events, wherever its bytes are split")
{
    std::string text = "id: 7\ndata: a\n\nid: 8\r\ndata: b\r\n\r\n: note\n\n";
    for (std::size_t n = 1; n < text.size(); ++n) {
        EventSplitter splitter;
        auto events = splitter.push(std::string_view(text).substr(0, n));
        for (auto& event : splitter.push(std::string_view(text).substr(n)))
            events.push_back(event);
        REQUIRE(events.size() == 3);
        CHECK(events[0].id == 7);
        CHECK(events[1].id == 8);
        CHECK(!events[2].id);
        CHECK(events[0].bytes + events[1].bytes + events[2].bytes == text);
        CHECK(splitter.rest().empty());
    }
}
