/** \file
 * A process that stood still: what came meanwhile counts, though a time limit ended too. Links between processes, and callers of
 * a gateway with sidecars. HttpTest has the same of connections without sidecars.
 */
#include "Ports.h"
#include "connection/CallerServer.h"
#include "connection/Endpoint.h"
#include "connection/PeerLink.h"

#include <doctest/doctest.h>
#include <thread>

using namespace wrenhinge;
using namespace wrenhinge::test;

namespace {

/// Calls `f` as soon as the loop runs again, before any limit that was set later and has ended too.
void callFirst(boost::asio::steady_timer& timer, std::function<void()> f)
{
    timer.expires_after(1ms);
    timer.async_wait([f = std::move(f)](ErrorCode) { f(); });
}

} // namespace

TEST_CASE("a link whose peer has spoken while this process stood still is kept")
{
    // Guards against reconnecting all links of a controller that was busy for longer than the silence limit.
    IoContext io { 1 };
    Tcp::acceptor acceptor(io, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    Tcp::socket peer(io);
    peer.connect(acceptor.local_endpoint());
    Tcp::socket accepted(boost::asio::make_strand(io));
    acceptor.accept(accepted);
    auto link = PeerLink::make(std::move(accepted), PeerLink::Side::Accepted);
    int closed = 0;
    link->start({ [](HybridTime, Message&&) {}, [&closed] { ++closed; } });
    io.poll();
    boost::asio::steady_timer first(io);
    // How an HTTP/2 connection begins, with empty settings.
    const std::string hello = std::string("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n") + std::string("\0\0\0\4\0\0\0\0\0", 9);
    callFirst(first, [&] { boost::asio::write(peer, boost::asio::buffer(hello)); });
    std::this_thread::sleep_for(PeerLink::silenceLimit + 50ms);
    while (io.poll()) { }
    CHECK(closed == 0);
    link->close();
    peer.close();
    while (!closed)
        io.run_one();
}

TEST_CASE("a caller's request that is found together with the end of its time is handed over and not refused")
{
    // Guards against answering 408, which means "not run", to a request that is handed over.
    constexpr Duration limit = 30ms;
    IoContext io { 1 };
    CallerSettings settings;
    HeldPorts ports(1);
    settings.listen = "127.0.0.1:" + std::to_string(ports[0]);
    std::string head = "POST /services/app/x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n";
    std::string early;
    SUBCASE("idle") { settings.idleTime = limit; }
    SUBCASE("in its body")
    {
        settings.bodyTime = limit;
        early = std::exchange(head, {});
    }
    std::vector<RequestId> submitted;
    CallerServer server(io, settings, {}, PeerId(1),
        { [&](const RequestId& id, const CallerRequest&) { submitted.push_back(id); }, [](const RequestId&) {} });
    auto address = server.start().value();
    IoContext clientIo;
    Tcp::socket client(clientIo);
    client.connect(parseEndpoint(address).value());
    boost::asio::write(client, boost::asio::buffer(early));
    // The connection is accepted, and waits.
    while (!server.connections())
        io.run_one();
    while (io.poll()) { }
    boost::asio::write(client, boost::asio::buffer(head + "ab"));
    std::this_thread::sleep_for(2 * limit);
    while (submitted.empty())
        io.run_one();
    while (io.poll()) { }
    server.head(submitted.front(), 200, { { "Connection", "close" } });
    server.data(submitted.front(), "whole");
    server.end(submitted.front());
    std::string text;
    std::array<char, 4096> buf {};
    client.non_blocking(true);
    ErrorCode ec;
    while (text.find("whole") == std::string::npos && (!ec || ec == boost::asio::error::would_block)) {
        io.poll();
        text.append(buf.data(), client.read_some(boost::asio::buffer(buf), ec));
    }
    CHECK(text.starts_with("HTTP/1.1 200"));
    CHECK(text.find("408") == std::string::npos);
    client.close();
    while (server.connections())
        io.run_one();
}
