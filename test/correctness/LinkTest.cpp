/** \file
 * Links between processes: what waits for a peer that does not read is bounded.
 */
#include "connection/PeerLink.h"

#include <doctest/doctest.h>

using namespace wrenhinge;

TEST_CASE("a link whose peer does not read is given up before it fills the memory")
{
    // Symptom: a process is killed by its memory limit. Sequence: its peer is slow or stopped while it is told megabytes a second.
    // Cause: what waits for a link had no bound but the silence after which a peer counts as gone, and a peer that still writes is not
    // silent.
    IoContext io;
    Tcp::acceptor acceptor(io, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    Tcp::socket ours(io);
    ours.connect(acceptor.local_endpoint());
    auto theirs = acceptor.accept();
    auto link = PeerLink::make(std::move(ours), PeerLink::Side::Dialled);
    bool isClosed = false;
    link->start({ [](HybridTime, Message&&) {}, [&] { isClosed = true; } });
    DocumentPart part;
    part.bytes.assign(1u << 20, 'x');
    std::size_t most = 0;
    // More than the limit and what buffers of the system take.
    for (int i = 0; i < 64 && !isClosed; ++i) {
        link->send(part, {});
        io.restart();
        io.poll();
        most = std::max(most, link->queuedBytes());
    }
    CHECK(isClosed);
    CHECK(most <= PeerLink::queueLimit + (2u << 20));
}
