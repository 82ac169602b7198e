/** \file
 * The callers' side of a gateway with sidecars: reads callers' requests in the project's own protocol, passes each to the gateway's logic,
 * and words its answer. HttpServer has the connections.
 */
#pragma once

#include "connection/AccountBook.h"
#include "connection/CallerSettings.h"
#include "connection/HttpServer.h"
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

    /// \param limits of connections and memory; the others are in the settings.
    /// \param origin this run of the gateway, the first half of the ids that it gives to requests.
    CallerServer(IoContext&, CallerSettings, HttpServer::Limits, PeerId origin, Handlers);

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

    [[nodiscard]] std::size_t connections() const { return m_server.connections(); }
    /// After stopAccepting: requests whose answer has not wholly left yet, as of the last call.
    [[nodiscard]] std::size_t unfinished();
    [[nodiscard]] const HttpServer::Counters& counters() const { return m_server.counters(); }

private:
    HttpServer::HeadDecision decideAtHead(const HttpRequest&);
    void onRequest(HttpRequest&&, const std::shared_ptr<HttpAnswer>&);
    [[nodiscard]] Result<std::string> accountOf(const HttpRequest&);
    template <typename F> void withAnswer(const RequestId&, F);
    void finish(const RequestId&);
    std::shared_ptr<const AccountBook> accounts();

    /// A request in progress.
    struct Exchange {
        std::shared_ptr<HttpAnswer> answer;
        std::shared_ptr<const RequestMemory::Share> memory;
        bool isStream = false; ///< Its answer has begun without a length.
    };

    CallerSettings m_settings;
    PeerId m_origin;
    Handlers m_handlers;
    Strand m_strand;
    HttpServer m_server; ///< Accessed on the strand, as the exchanges are.
    std::unordered_map<RequestId, Exchange> m_exchanges;
    std::uint64_t m_lastSequence = 0;
    std::atomic<std::size_t> m_unfinished = 0;
    std::mutex m_mutex; ///< Guards the accounts.
    std::shared_ptr<const AccountBook> m_accounts;
};

} // namespace wrenhinge
