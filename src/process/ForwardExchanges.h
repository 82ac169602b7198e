/** \file
 * The requests in progress at a gateway that calls upstreams itself, and the answers to their callers: executes those effects of
 * ForwardLogic that a caller sees.
 *
 * Accessed only on the strand of the callers' connections.
 */
#pragma once

#include "connection/HttpServer.h"
#include "connection/UpstreamPool.h"
#include "process/ForwardAdapter.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

namespace wrenhinge {

template <ForwardAdapter Dialect> class ForwardExchanges {
public:
    /// A request in progress, the answer to its caller, and the current call to a replica.
    struct Exchange {
        std::shared_ptr<const HttpRequest> request;
        std::string callerId; ///< The request id that the caller assigned.
        std::shared_ptr<HttpAnswer> answer;
        UpstreamPool::Call call {};
    };

    void add(const RequestId& id, Exchange exchange) { m_exchanges[id] = std::move(exchange); }
    /// \returns nullptr if the request has ended.
    Exchange* find(const RequestId& id)
    {
        auto it = m_exchanges.find(id);
        return it == m_exchanges.end() ? nullptr : &it->second;
    }

    /// Ends the exchange, whichever way its request has ended.
    void remove(const RequestId& id) { m_exchanges.erase(id); }

    void execute(forward::Reply& reply)
    {
        if (auto* exchange = find(reply.id))
            exchange->answer->reply(reply.status, reply.headers, std::move(reply.body));
    }

    void execute(forward::Refuse& refuse)
    {
        auto* exchange = find(refuse.id);
        if (!exchange)
            return;
        auto headers = Dialect::errorHeaders(refuse.error, exchange->callerId);
        exchange->answer->reply(httpStatusOf(refuse.error.code), headers, Dialect::errorBody(refuse.error));
    }

    void execute(forward::BeginStream& begin)
    {
        if (auto* exchange = find(begin.id))
            exchange->answer->begin(begin.status, begin.headers);
    }

    void execute(forward::StreamBytes& bytes)
    {
        if (auto* exchange = find(bytes.id))
            exchange->answer->write(std::move(bytes.bytes));
    }

    void execute(forward::EndStream& end)
    {
        if (auto* exchange = find(end.id))
            exchange->answer->end();
    }

    void execute(forward::AbortStream& abort)
    {
        if (auto* exchange = find(abort.id))
            exchange->answer->breakOff();
    }

    void execute(forward::CancelCall& cancel)
    {
        if (auto* exchange = find(cancel.id))
            UpstreamPool::cancel(exchange->call);
    }

private:
    std::unordered_map<RequestId, Exchange> m_exchanges;
};

} // namespace wrenhinge
