#include "connection/UpstreamClient.h"

#include <array>
#include <atomic>
#include <chrono>
#include <doctest/doctest.h>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

using namespace wrenhinge;
using namespace std::chrono_literals;

namespace {

/// Accepts calls and answers none of them.
class SilentUpstream {
public:
    explicit SilentUpstream(IoContext& io)
        : m_acceptor(io, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    {
        accept();
    }
    [[nodiscard]] Tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }
    [[nodiscard]] int open() const { return m_open; }

private:
    void accept()
    {
        m_acceptor.async_accept([this](ErrorCode ec, Tcp::socket socket) {
            if (ec)
                return;
            ++m_open;
            read(std::make_shared<Tcp::socket>(std::move(socket)));
            accept();
        });
    }

    void read(const std::shared_ptr<Tcp::socket>& socket)
    {
        readSomeOrEnd(*socket, boost::asio::buffer(m_bytes), [this, socket](ErrorCode ec, std::size_t) {
            if (ec)
                --m_open;
            else
                read(socket);
        });
    }

    Tcp::acceptor m_acceptor;
    std::array<char, 4096> m_bytes {}; ///< Of no interest.
    std::atomic<int> m_open = 0;
};

/// \returns false if it never happens.
bool eventually(const std::function<bool()>& isReached)
{
    constexpr int pollsUntilHung = 2000;
    for (int i = 0; i < pollsUntilHung; ++i) {
        if (isReached())
            return true;
        std::this_thread::sleep_for(5ms);
    }
    return false;
}

UpstreamCall callOf(std::uint64_t number)
{
    UpstreamCall call;
    call.id = CallId(number);
    call.kind = UpstreamKind::Plain;
    call.method = "POST";
    call.path = "/x";
    call.body = "b";
    return call;
}

} // namespace

TEST_CASE("a call that is given up at once is not left at its upstream")
{
    // Guards against a replica that works on for a caller that has disconnected.
    IoContext upstreamIo;
    SilentUpstream upstream(upstreamIo);
    IoContext io;
    auto guard = boost::asio::make_work_guard(io);
    std::vector<std::thread> threads;
    threads.emplace_back([&] { upstreamIo.run(); });
    constexpr int workers = 4;
    for (int i = 0; i < workers; ++i)
        threads.emplace_back([&] { io.run(); });
    UpstreamClient client(io, upstream.endpoint(), [](const sidecar::Event&) {});
    constexpr std::uint64_t calls = 5000;
    for (std::uint64_t i = 1; i <= calls; ++i) {
        client.start(callOf(i));
        client.abort(CallId(i));
    }
    client.start(callOf(calls + 1));
    CHECK(eventually([&] { return upstream.open() > 0; }));
    // The last call alone is not given up.
    CHECK(eventually([&] { return upstream.open() == 1; }));
    guard.reset();
    io.stop();
    upstreamIo.stop();
    for (auto& thread : threads)
        thread.join();
}
