#include "process/AdminServer.h"

#include "connection/Endpoint.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>
#include <thread>

namespace wrenhinge {

namespace {

    constexpr unsigned adminThreads = 2;
    constexpr unsigned maxAdminThreads = 4;
    constexpr int maxBindAttempts = 10;

    class AdminResponder : public cxxtools::http::Responder {
    public:
        AdminResponder(cxxtools::http::Service& service, const AdminServer::Handler& handler)
            : cxxtools::http::Responder(service)
            , m_handler(handler)
        {
        }

        void reply(std::ostream& out, cxxtools::http::Request& request, cxxtools::http::Reply& reply) override
        {
            auto answer = m_handler({ request.method(), request.url(), request.qparams(), request.bodyStr() });
            reply.httpReturn(static_cast<unsigned>(answer.status), answer.status < 300 ? "OK" : "Refused");
            reply.setHeader("Content-Type", answer.contentType.c_str());
            out << answer.body;
        }

    private:
        const AdminServer::Handler& m_handler;
    };

    class AdminService : public cxxtools::http::Service {
    public:
        explicit AdminService(AdminServer::Handler handler)
            : m_handler(std::move(handler))
        {
        }

    protected:
        cxxtools::http::Responder* createResponder(const cxxtools::http::Request&) override { return new AdminResponder(*this, m_handler); }
        void releaseResponder(cxxtools::http::Responder* responder) override { delete responder; }

    private:
        AdminServer::Handler m_handler;
    };

    /// cxxtools can't tell which port the kernel chose, so the port is asked for with a socket of our own first.
    std::uint16_t freePort(const Tcp::endpoint& endpoint)
    {
        IoContext io;
        Tcp::acceptor probe(io, endpoint);
        return probe.local_endpoint().port();
    }

} // namespace

struct AdminServer::Impl {
    explicit Impl(Handler handler)
        : server(loop)
        , service(std::move(handler))
    {
        server.minThreads(adminThreads);
        server.maxThreads(maxAdminThreads);
        server.addService(cxxtools::Regex(".*"), service);
    }
    cxxtools::EventLoop loop;
    cxxtools::http::Server server;
    AdminService service;
    std::thread thread;
};

AdminServer::AdminServer() = default;

AdminServer::~AdminServer() { stop(); }

Result<std::string> AdminServer::start(const std::string& address, Handler handler)
{
    auto endpoint = parseEndpoint(address);
    if (!endpoint)
        return endpoint.error();
    auto ip = endpoint.value().address().to_string();
    m_impl = std::make_unique<Impl>(std::move(handler));
    std::string reason;
    for (int i = 0; i < maxBindAttempts; ++i) {
        try {
            auto port = endpoint.value().port() ? endpoint.value().port() : freePort(endpoint.value());
            m_impl->server.listen(ip, port);
            m_impl->thread = std::thread([impl = m_impl.get()] { impl->loop.run(); });
            return ip + ":" + std::to_string(port);
        } catch (const std::exception& e) {
            reason = e.what();
            if (endpoint.value().port())
                break;
        }
    }
    return Error { ResultCode::BadSettings, "can't listen for operators on " + address + ": " + reason + "; choose another address" };
}

void AdminServer::stop()
{
    if (!m_impl)
        return;
    m_impl->loop.exit();
    if (m_impl->thread.joinable())
        m_impl->thread.join();
    m_impl.reset();
}

std::string queryValue(const std::string& query, const std::string& name)
{
    auto start = query.find(name + "=");
    if (start == std::string::npos)
        return {};
    start += name.size() + 1;
    return query.substr(start, query.find('&', start) - start);
}

} // namespace wrenhinge
