#include "process/SidecarRole.h"

#include "connection/Endpoint.h"

namespace wrenhinge {

namespace {

    using Json = nlohmann::json;

    constexpr Duration flushLimit = 2s;

    SidecarOptions optionsOf(const Settings& settings, PeerId self)
    {
        SidecarOptions options;
        options.self = self;
        options.service = settings.upstream.service;
        options.replica = settings.name;
        options.kind = settings.upstream.kind;
        options.model = settings.upstream.model;
        options.slots = settings.upstream.slots;
        options.lease = settings.upstream.lease;
        options.announceEvery = settings.upstream.announceEvery;
        options.resultLife = settings.upstream.resultLife;
        return options;
    }

} // namespace

SidecarRole::SidecarRole(const Settings& settings, Runtime& runtime)
    : m_settings(settings)
    , m_runtime(runtime)
    , m_hub(runtime.io(), Hello { runtime.self(), Role::Sidecar, settings.name, settings.site, settings.zone, "", {} },
          { [this](const Hello& peer) { m_driver.post(sidecar::PeerUp { peer }); },
              [this](PeerId peer) { m_driver.post(sidecar::PeerDown { peer }); },
              [this](PeerId peer, Message&& message) {
                  m_driver.post(sidecar::PeerMessage { peer, std::move(message) });
              },
              [this] { return m_runtime.log().stampSend(); }, [this](HybridTime stamp) { m_runtime.log().stampReceive(stamp); },
              runtime.refusals().linkHandler() })
    , m_driver(
          runtime.timers(), [this](sidecar::Effect& effect) { executeEffect(effect); }, sidecar::Tick {},
          optionsOf(settings, runtime.self()))
    , m_pages(settings, runtime,
          { [this] { return m_driver.inspect([](const SidecarLogic& logic) { return !logic.isDraining(); }); },
              [this] { return m_hub.peers(); } })
{
}

Result<Json> SidecarRole::start()
{
    auto upstream = parseEndpoint(m_settings.upstream.address);
    if (!upstream)
        return upstream.error();
    m_client = std::make_unique<UpstreamClient>(m_runtime.io(), upstream.value(), [this](sidecar::Event event) { m_driver.post(event); });
    auto adminAddress = m_adminServer.start(m_settings.admin, [this](const AdminRequest& request) { return admin(request); });
    if (!adminAddress)
        return adminAddress.error();
    m_pages.setAdminAddress(adminAddress.value());
    m_hub.setAdminAddress(adminAddress.value());
    for (const auto& controller : m_settings.controllers)
        m_hub.dial(controller);
    for (const auto& gateway : m_settings.gateways)
        m_hub.dial(gateway);
    m_driver.post(sidecar::Tick {});
    return Json { { "admin", adminAddress.value() } };
}

void SidecarRole::drain() { m_driver.post(sidecar::Drain {}); }

void SidecarRole::executeEffect(sidecar::Effect& effect)
{
    std::visit([this](auto& e) { execute(e); }, effect);
}

void SidecarRole::execute(sidecar::Drained&)
{
    boost::asio::post(m_runtime.io(), [this] { shutDown(); });
}

void SidecarRole::shutDown()
{
    m_hub.stop();
    m_runtime.waitUntil([this] { return m_hub.peers().empty(); }, flushLimit,
        [this](bool) {
            m_runtime.log().write({ EventCode::ProcessStopped, {}, "drained" });
            m_runtime.finish(0);
        });
}

AdminReply SidecarRole::admin(const AdminRequest& request)
{
    if (auto common = m_pages.answer(request))
        return *common;
    if (request.path == "/status") {
        auto json = m_pages.identity();
        json["service"] = m_settings.upstream.service;
        json["kind"] = nameOf(m_settings.upstream.kind);
        m_driver.inspect([&json](const SidecarLogic& logic) {
            json["in_progress"] = logic.inProgress();
            json["draining"] = logic.isDraining();
            json["config_version"] = logic.configuration().version().value();
            json["load"] = toJson(logic.load({}, currentInstant()));
            if (const auto& limit = logic.rateLimit())
                json["requests_per_second_limit"] = *limit;
        });
        return AdminPages::json(json);
    }
    if (request.path == "/config")
        return AdminPages::json(m_driver.inspect([](const SidecarLogic& logic) { return toJson(logic.configuration()); }));
    if (request.path == "/metrics") {
        auto load = m_driver.inspect([](const SidecarLogic& logic) { return logic.load({}, currentInstant()); });
        auto text = "# TYPE wrenhinge_slots gauge\nwrenhinge_slots " + std::to_string(load.slots)
            + "\n# TYPE wrenhinge_slots_occupied gauge\nwrenhinge_slots_occupied " + std::to_string(load.occupied)
            + "\n# TYPE wrenhinge_queued gauge\nwrenhinge_queued " + std::to_string(load.queued) + "\n";
        return { 200, "text/plain; version=0.0.4", text + m_runtime.refusals().metrics() };
    }
    return AdminPages::notFound(request.path);
}

} // namespace wrenhinge
