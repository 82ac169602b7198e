/** \file
 * Links between processes over loopback: what a peer of another release says ends its own link, and no other; what
 * waits for a peer that does not read is bounded.
 */
#include "connection/Endpoint.h"
#include "connection/PeerHub.h"

#include <condition_variable>
#include <doctest/doctest.h>
#include <thread>

using namespace wrenhinge;

namespace {

/// What a hub told its owner, to wait for.
class Record {
public:
    void add(const std::string& what)
    {
        {
            std::lock_guard lock(m_mutex);
            m_list.push_back(what);
        }
        m_added.notify_all();
    }
    /// Waits until `what` has been told `n` times.
    void await(const std::string& what, std::ptrdiff_t n = 1)
    {
        std::unique_lock lock(m_mutex);
        m_added.wait(lock, [&] { return std::count(m_list.begin(), m_list.end(), what) >= n; });
    }
    std::ptrdiff_t count(const std::string& what)
    {
        std::lock_guard lock(m_mutex);
        return std::count(m_list.begin(), m_list.end(), what);
    }
    std::string faults;

private:
    std::mutex m_mutex;
    std::condition_variable m_added;
    std::vector<std::string> m_list;
};

Hello hello(std::uint64_t id, const std::string& name)
{
    Hello hello;
    hello.id = PeerId(id);
    hello.name = name;
    return hello;
}

PeerHub::Handlers handlers(Record& record)
{
    return { [&record](const Hello& peer) { record.add("up " + peer.name); }, [&record](PeerId) { record.add("down"); },
        [&record](PeerId, Message&&) { record.add("message"); }, [] { return HybridTime {}; }, [](HybridTime) {},
        [&record](const std::string& from, const std::string& what) {
            record.faults += from + " " + what + "\n";
            record.add("fault");
        } };
}

struct Net {
    Net()
        : guard(boost::asio::make_work_guard(io))
        , thread([this] { io.run(); })
    {
    }
    ~Net() { stop(); }
    /// Call it before the hubs are destroyed: their handlers run on the thread.
    void stop()
    {
        io.stop();
        if (thread.joinable())
            thread.join();
    }
    IoContext io { 1 };
    boost::asio::executor_work_guard<IoContext::executor_type> guard;
    std::thread thread;
};

/// A link whose peer reads nothing.
struct UnreadLink {
    UnreadLink()
    {
        Tcp::socket ours(io);
        ours.connect(acceptor.local_endpoint());
        theirs = acceptor.accept();
        link = PeerLink::make(std::move(ours), PeerLink::Side::Dialled);
        link->start({ [](HybridTime, Message&&) {}, [this] { isClosed = true; } });
    }
    void poll()
    {
        io.restart();
        io.poll();
    }
    IoContext io;
    Tcp::acceptor acceptor { io, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0) };
    Tcp::socket theirs { io };
    bool isClosed = false;
    std::shared_ptr<PeerLink> link;
};

/// Speaks to a hub as a peer of another release would: its first words are `first`.
std::shared_ptr<PeerLink> speak(Net& net, Record& record, const std::string& address, const std::vector<Message>& words)
{
    Tcp::socket socket(boost::asio::make_strand(net.io));
    socket.connect(parseEndpoint(address).value());
    auto link = PeerLink::make(std::move(socket), PeerLink::Side::Dialled);
    link->start({ [](HybridTime, Message&&) {}, [&record] { record.add("closed"); } });
    for (const auto& word : words)
        link->send(word, {});
    return link;
}

} // namespace

TEST_CASE("a peer that says what can't be used loses its link, is told of, and the others keep theirs")
{
    // Guards against a process that crashes or misbehaves over invalid messages from another release.
    Record told;
    Record strangers;
    Net net;
    PeerHub hub(net.io, hello(1, "hub"), handlers(told));
    auto address = hub.listen("127.0.0.1:0").value();
    Record good;
    PeerHub friendly(net.io, hello(2, "friend"), handlers(good));
    friendly.dial(address);
    told.await("up friend");

    auto ofAnotherRelease = hello(3, "later");
    ofAnotherRelease.role = static_cast<Role>(77);
    std::vector<std::vector<Message>> wrongs { { ofAnotherRelease }, { ReplicaWithdrawn { "a" } }, { hello(0, "nobody") },
        { hello(4, std::string(100000, 'n')) }, { hello(5, "near"), RelayedAnnouncement {} } };
    std::ptrdiff_t n = 0;
    for (const auto& words : wrongs) {
        auto link = speak(net, strangers, address, words);
        told.await("fault", ++n);
        strangers.await("closed", n);
    }
    // Bytes that are no link at all.
    {
        boost::asio::io_context io;
        Tcp::socket socket(io);
        socket.connect(parseEndpoint(address).value());
        boost::asio::write(socket, boost::asio::buffer(std::string(200, 'x')));
        told.await("fault", ++n);
    }
    friendly.send(PeerId(1), ReplicaWithdrawn { "b" });
    told.await("message");
    CHECK(good.count("down") == 0);
    CHECK(told.count("message") == 1);
    CHECK(told.faults.find("127.0.0.1:") != std::string::npos);
    CHECK(told.faults.find("type 0") != std::string::npos);
    CHECK(told.faults.find("`id`") != std::string::npos);
    hub.stop();
    friendly.stop();
    net.stop();
}

TEST_CASE("a link whose peer does not read is given up before it fills the memory")
{
    // Guards against a process that runs out of memory because a peer reads too slowly.
    UnreadLink unread;
    auto& link = unread.link;
    DocumentPart part;
    part.bytes.assign(1u << 20, 'x');
    std::size_t most = 0;
    // More than the limit and what buffers of the system take.
    for (int i = 0; i < 64 && !unread.isClosed; ++i) {
        link->send(part, {});
        unread.poll();
        most = std::max(most, link->queuedBytes());
    }
    CHECK(unread.isClosed);
    CHECK(most <= PeerLink::queueLimit + (2u << 20));
}

TEST_CASE("offered messages that wait for a peer leave room for small ones and close no link")
{
    // Guards against a few large requests that end all requests at an upstream, as their bytes close the link.
    UnreadLink unread;
    auto& link = unread.link;
    unread.poll();
    // One that is alone is sent, whatever its size.
    CHECK(link->offerEncoded(std::string(2 * PeerLink::queueLimit, 'x'), {}));
    int taken = 0;
    constexpr int offers = 64;
    for (int i = 0; i < offers; ++i) {
        unread.poll();
        taken += link->offerEncoded(std::string(PeerLink::queueLimit / 2, 'x'), {}) ? 1 : 0;
    }
    CHECK(taken < offers);
    DocumentPart part;
    part.bytes.assign(1u << 16, 'x');
    link->send(part, {});
    unread.poll();
    CHECK_FALSE(unread.isClosed);
    CHECK(link->queuedBytes() <= 3 * PeerLink::queueLimit);
}

TEST_CASE("a link takes little memory of its own")
{
    // Guards against idle processes whose memory grows with the number of links.
    CHECK(sizeof(PeerLink) <= 8192);
}
