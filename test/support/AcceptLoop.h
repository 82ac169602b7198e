/** \file
 * A listening socket of a test's own that serves each connection on a thread of its own.
 */
#pragma once

#include "connection/Asio.h"

#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace wrenhinge::test {

/// Its owner must call `end` before anything that `serve` uses goes, and may call it more than once.
class AcceptLoop {
public:
    using Serve = std::function<void(Tcp::socket&)>;

    /// \param serve called on a thread for each connection, which is closed when it returns.
    explicit AcceptLoop(Serve serve)
        : m_serve(std::move(serve))
    {
        m_threads.emplace_back([this] { accept(); });
    }
    ~AcceptLoop()
    {
        end();
        m_threads.front().join();
        for (std::size_t i = 1; i < m_threads.size(); ++i)
            m_threads[i].join();
    }
    AcceptLoop(const AcceptLoop&) = delete;
    AcceptLoop& operator=(const AcceptLoop&) = delete;

    [[nodiscard]] const std::string& address() const { return m_address; }
    [[nodiscard]] bool hasEnded() const
    {
        std::lock_guard lock(m_mutex);
        return m_hasEnded;
    }
    /// From now on `shutdownOpen` and `end` leave this connection alone.
    void release(Tcp::socket& socket)
    {
        std::lock_guard lock(m_mutex);
        m_open.erase(&socket);
    }
    /// Shuts that side of all connections that are served and were not released.
    void shutdownOpen(int side)
    {
        std::lock_guard lock(m_mutex);
        shutdownAll(side);
    }
    /// Accepts no more, and breaks off all connections that are served and were not released.
    void end()
    {
        std::lock_guard lock(m_mutex);
        if (std::exchange(m_hasEnded, true))
            return;
        shutdownAll(SHUT_RDWR);
        // Wakes the accept.
        ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
    }

private:
    void accept()
    {
        for (;;) {
            ErrorCode ec;
            auto socket = std::make_shared<Tcp::socket>(m_acceptor.accept(ec));
            std::lock_guard lock(m_mutex);
            if (ec || m_hasEnded)
                return;
            m_open.insert(socket.get());
            m_threads.emplace_back([this, socket] {
                m_serve(*socket);
                release(*socket);
                ErrorCode ignored;
                socket->shutdown(Tcp::socket::shutdown_both, ignored);
            });
        }
    }

    void shutdownAll(int side)
    {
        for (auto* socket : m_open)
            ::shutdown(socket->native_handle(), side);
    }

    Serve m_serve;
    IoContext m_io;
    Tcp::acceptor m_acceptor { m_io, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0) };
    std::string m_address = "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    std::vector<std::thread> m_threads; ///< The first one accepts; it alone adds others.
    mutable std::mutex m_mutex; ///< Guards what follows.
    std::set<Tcp::socket*> m_open;
    bool m_hasEnded = false;
};

} // namespace wrenhinge::test
