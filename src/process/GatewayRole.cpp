#include "process/GatewayRole.h"

#include "process/DescriptorShare.h"
#include "process/ForwardMetrics.h"
#include "process/MemoryShares.h"

namespace wrenhinge {

namespace {

    using Json = nlohmann::json;

    constexpr int exitUnfinished = 4;
    constexpr Duration firstConfigurationWait = 3s;

    Json describe(const UpstreamTable::Upstream& upstream)
    {
        auto now = currentInstant();
        bool isEjected = upstream.ejectedUntil > now;
        return { { "id", toString(upstream.id) }, { "service", upstream.service }, { "replica", upstream.replica },
            { "zone", upstream.zone }, { "kind", nameOf(upstream.kind) }, { "model", upstream.model },
            { "state",
                upstream.load.draining ? "draining"
                    : isEjected        ? "ejected"
                                       : "in-use" },
            { "lease_left_us", (upstream.leaseEnds - now).count() }, { "report_age_us", (now - upstream.reportedAt).count() },
            { "uncovered", upstream.uncovered.size() }, { "load", toJson(upstream.load) } };
    }

    /// What to report if the message isn't sent; nullopt: it has no request's body, and is sent in any case.
    std::optional<gateway::Unsent> unsentRequestOf(const gateway::Send& e)
    {
        return std::visit(
            [&e](const auto& message) -> std::optional<gateway::Unsent> {
                if constexpr (requires { message.sequence, message.attempt, message.body; })
                    return gateway::Unsent { e.to, message.request, message.attempt };
                else
                    return std::nullopt;
            },
            e.message);
    }

    /// The limits of a gateway's server that follow from the process's own.
    HttpServer::Limits callerLimits(const Settings& settings)
    {
        auto limits = limitsFor(MemoryShares(settings.memory));
        limits.connections = connectionsWithinDescriptors(settings.callers.connectionLimit);
        return limits;
    }

} // namespace

GatewayRole::GatewayRole(const Settings& settings, Runtime& runtime)
    : m_settings(settings)
    , m_runtime(runtime)
    , m_hub(runtime.io(), Hello { runtime.self(), Role::Gateway, settings.name, settings.site, settings.zone, "", {} },
          { [this](const Hello& peer) {
               m_runtime.log().write({ EventCode::PeerUp, {}, peer.name });
               m_driver.post(gateway::PeerUp { peer });
           },
              [this](PeerId peer) {
                  m_runtime.log().write({ EventCode::PeerDown, {}, toString(peer) });
                  m_driver.post(gateway::PeerDown { peer });
              },
              [this](PeerId peer, Message&& message) {
                  m_driver.post(gateway::PeerMessage { peer, std::move(message) });
              },
              [this] { return m_runtime.log().stampSend(); }, [this](HybridTime stamp) { m_runtime.log().stampReceive(stamp); },
              runtime.refusals().linkHandler() })
    , m_callers(runtime.io(), settings.callers, callerLimits(settings), runtime.self(),
          { [this](const RequestId& id, CallerRequest caller) {
               m_driver.post(gateway::Submit { id, std::move(caller) });
           },
              [this](const RequestId& id) { m_driver.post(gateway::CallerDisconnected { id }); } })
    , m_driver(
          runtime.timers(), [this](gateway::Effect& effect) { executeEffect(effect); }, gateway::Tick {}, randomIdentity())
    , m_pages(settings, runtime, { [this] { return isReady(); }, [this] { return m_hub.peers(); } })
{
}

Result<Json> GatewayRole::start()
{
    auto adminAddress = m_adminServer.start(m_settings.admin, [this](const AdminRequest& request) { return admin(request); });
    if (!adminAddress)
        return adminAddress.error();
    m_pages.setAdminAddress(adminAddress.value());
    m_hub.setAdminAddress(adminAddress.value());
    auto peers = m_hub.listen(m_settings.listen);
    if (!peers)
        return peers.error();
    for (const auto& controller : m_settings.controllers)
        m_hub.dial(controller);
    auto callers = m_callers.start();
    if (!callers)
        return callers.error();
    m_driver.post(gateway::Tick {});
    return Json { { "admin", adminAddress.value() }, { "peers", peers.value() }, { "callers", callers.value() } };
}

/// Until a gateway receives its first configuration it would use the defaults, so load balancers should use other gateways meanwhile.
/// After `firstConfigurationWait` it serves with the defaults: the site may never have been configured, or no process that has the
/// configuration may be reachable.
bool GatewayRole::isReady() const
{
    bool mayUseDefaults = m_settings.controllers.empty() || currentInstant() - m_startedAt > firstConfigurationWait;
    return m_driver.inspect([mayUseDefaults](const GatewayLogic& logic) {
        return !logic.isDraining() && (mayUseDefaults || logic.configuration().version() != ConfigVersion());
    });
}

void GatewayRole::drain() { m_driver.post(gateway::Drain {}); }

void GatewayRole::reload(const Settings&)
{
    if (auto loaded = m_callers.reloadAccounts(); !loaded)
        m_runtime.log().write({ EventCode::SettingsReloaded, {}, "accounts unchanged: " + loaded.error().message });
}

void GatewayRole::shutDown()
{
    m_callers.stopAccepting();
    auto isFlushed = [this] { return !m_callers.unfinished(); };
    m_runtime.waitUntil(isFlushed, m_settings.drainTimeout, [this](bool reached) {
        m_hub.stop();
        m_runtime.log().write({ EventCode::ProcessStopped, {}, reached ? "drained" : "drain limit reached" });
        m_runtime.finish(reached ? 0 : exitUnfinished);
    });
}

// --- Effects ----------------------------------------------------------------------------------------------------

void GatewayRole::executeEffect(gateway::Effect& effect)
{
    std::visit([this](auto& e) { execute(e); }, effect);
}

void GatewayRole::execute(gateway::Send& e)
{
    auto unsent = unsentRequestOf(e);
    if (!unsent)
        return m_hub.send(e.to, e.message);
    // Later: the driver is executing the effects of another event.
    if (!m_hub.offer(e.to, e.message))
        boost::asio::post(m_runtime.io(), [this, event = *unsent] { m_driver.post(event); });
}

void GatewayRole::execute(gateway::AnswerHead& e) { m_callers.head(e.request, e.status, std::move(e.headers)); }
void GatewayRole::execute(gateway::AnswerData& e) { m_callers.data(e.request, std::move(e.bytes)); }
void GatewayRole::execute(gateway::AnswerEnd& e) { m_callers.end(e.request); }
void GatewayRole::execute(gateway::AnswerError& e) { m_callers.error(e.request, e.error); }
void GatewayRole::execute(gateway::AnswerAborted& e) { m_callers.breakOff(e.request, e.error); }
void GatewayRole::execute(gateway::Finished& e) { m_metrics.record(e.summary); }
void GatewayRole::execute(LogEvent& e) { m_runtime.log().write(e); }

void GatewayRole::execute(gateway::Drained&)
{
    boost::asio::post(m_runtime.io(), [this] { shutDown(); });
}

// --- Admin pages ------------------------------------------------------------------------------------------------

AdminReply GatewayRole::admin(const AdminRequest& request)
{
    if (auto common = m_pages.answer(request))
        return *common;
    if (request.path == "/status")
        return AdminPages::json(status());
    if (request.path == "/upstreams")
        return AdminPages::json(upstreams());
    if (request.path == "/config")
        return AdminPages::json(m_driver.inspect([](const GatewayLogic& logic) { return toJson(logic.configuration()); }));
    if (request.path == "/metrics") {
        m_metrics.setGauge(
            "wrenhinge_in_progress", static_cast<double>(m_driver.inspect([](const GatewayLogic& l) { return l.inProgress(); })));
        m_metrics.setGauge("wrenhinge_caller_connections", static_cast<double>(m_callers.connections()));
        setGauges(m_metrics, m_callers.counters());
        m_metrics.setGauge("wrenhinge_links_declined_requests_total", static_cast<double>(m_hub.declinedOffers()));
        return { 200, "text/plain; version=0.0.4", m_metrics.text() + m_runtime.refusals().metrics() };
    }
    return AdminPages::notFound(request.path);
}

Json GatewayRole::status() const
{
    auto json = m_pages.identity();
    json["callers"] = m_callers.connections();
    m_driver.inspect([&json](const GatewayLogic& logic) {
        json["in_progress"] = logic.inProgress();
        json["draining"] = logic.isDraining();
        json["config_version"] = logic.configuration().version().value();
        json["upstreams"] = logic.upstreams().all().size();
    });
    return json;
}

Json GatewayRole::upstreams() const
{
    return m_driver.inspect([](const GatewayLogic& logic) {
        auto list = Json::array();
        for (const auto& [id, upstream] : logic.upstreams().all())
            list.push_back(describe(upstream));
        return list;
    });
}

} // namespace wrenhinge
