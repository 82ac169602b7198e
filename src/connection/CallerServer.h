/** \file
 * Callers' HTTP/1.1 connections (Boost.Beast): reads requests, passes each to the gateway's logic, writes its answer.
 *
 * One request of a connection is in progress at a time, so pipelined requests are answered in order. Meanwhile the connection is read: a
 * caller that closes it, or only its sending side, has disconnected, and everything that its request holds is released.
 */
#pragma once

#include "connection/AccountBook.h"
#include "connection/Asio.h"
#include "connection/CallerSettings.h"
#include "request/sidecar/GatewayEvents.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace wrenhinge {

class CallerServer {
public:
    struct Handlers {
        std::function<void(const RequestId&, CallerRequest)> onSubmit;
        std::function<void(const RequestId&)> onGone;
    };

    /// \param origin this run of the gateway, the first half of the ids that it gives to requests.
    CallerServer(IoContext&, CallerSettings, PeerId origin, Handlers);
    ~CallerServer();

    /// Reads the accounts and listens. \returns the bound address.
    Result<std::string> start();
    /// Reads the accounts file again; on an error the former accounts stay.
    Result<void> reloadAccounts();
    /// Accepts no more connections, and closes each that has nothing in progress as soon as its answer has left.
    void stopAccepting();

    // Any thread; each is about a request that was handed to onSubmit.
    void head(const RequestId&, int status, HeaderList);
    void data(const RequestId&, std::string bytes);
    void end(const RequestId&);
    void error(const RequestId&, const Error&);
    void breakOff(const RequestId&, const Error&);

    [[nodiscard]] std::size_t connections() const { return m_connections; }
    /// Requests whose answer has not wholly left yet.
    [[nodiscard]] std::size_t unfinished() const { return m_unfinished; }

private:
    class Connection;
    void accept();
    std::shared_ptr<Connection> find(const RequestId&, bool forget);
    RequestId adopt(const std::shared_ptr<Connection>&);
    void forget(const RequestId&);
    std::shared_ptr<const AccountBook> accounts();

    IoContext& m_io;
    CallerSettings m_settings;
    PeerId m_origin;
    Handlers m_handlers;
    Tcp::acceptor m_acceptor;
    std::atomic<std::size_t> m_connections = 0;
    std::atomic<std::size_t> m_unfinished = 0;
    std::atomic<bool> m_isStopping = false;
    std::mutex m_mutex; ///< Guards what follows; taken after the logic's lock, never before it.
    std::unordered_map<RequestId, std::weak_ptr<Connection>> m_requests;
    std::shared_ptr<const AccountBook> m_accounts;
    std::uint64_t m_lastSequence = 0;
};

} // namespace wrenhinge
