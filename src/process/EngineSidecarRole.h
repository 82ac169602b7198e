/** \file
 * The sidecar process of an engine that gateways call directly: runs EngineAdmission on the engine's reports and the messages of gateways,
 * which connect to the sidecar. No requests pass through it.
 */
#pragma once

#include "connection/PeerHub.h"
#include "connection/UpstreamPool.h"
#include "process/AdminPages.h"
#include "process/LogicDriver.h"
#include "process/Runtime.h"
#include "process/StreamDirectoryServer.h"
#include "request/engine/EngineAdmission.h"

#include <nlohmann/json.hpp>

namespace wrenhinge {

/// The format of the calls that read an engine's memory use.
template <typename D>
concept EngineReportDialect = requires(const std::string& address, const GatheredAnswer& answer)
{
    {
        D::readMemory(address)
        } -> std::same_as<UpstreamRequest>;
    {
        D::engineReport(answer)
        } -> std::same_as<std::optional<admission::EngineReport>>;
};

template <EngineReportDialect Dialect> class EngineSidecarRole {
public:
    EngineSidecarRole(const Settings& settings, Runtime& runtime)
        : m_settings(settings)
        , m_runtime(runtime)
        , m_strand(boost::asio::make_strand(runtime.io()))
        , m_hub(runtime.io(), Hello { runtime.self(), Role::Sidecar, settings.listen, settings.site, settings.zone, "", {} },
              { [this](const Hello& peer) {
                   if (peer.role == Role::Gateway)
                       m_driver.post(admission::GatewayUp { peer.id });
               },
                  [this](PeerId peer) { m_driver.post(admission::GatewayDown { peer }); },
                  [this](PeerId peer, Message&& message) { onMessage(peer, message); }, [this] { return m_runtime.log().stampSend(); },
                  [this](HybridTime stamp) { m_runtime.log().stampReceive(stamp); }, runtime.refusals().linkHandler() })
        , m_streams(m_strand, m_hub)
        , m_pool(m_strand)
        , m_driver(
              runtime.timers(), [this](admission::Effect& effect) { std::visit([this](auto& e) { execute(e); }, effect); },
              admission::Tick {}, EngineAdmission::Settings { settings.engine.address, settings.engine.spareDeviations })
        , m_pages(settings, runtime, { [] { return true; }, [this] { return m_hub.peers(); } })
    {
    }

    Result<nlohmann::json> start()
    {
        auto links = m_hub.listen(m_settings.listen);
        if (!links)
            return links.error();
        auto admin = m_adminServer.start(m_settings.admin, [this](const AdminRequest& request) { return answerAdmin(request); });
        if (!admin)
            return admin.error();
        m_pages.setAdminAddress(admin.value());
        m_hub.setAdminAddress(admin.value());
        m_driver.post(admission::Tick {});
        return nlohmann::json { { "admin", admin.value() }, { "links", links.value() } };
    }

    /// Stops immediately, as gateways continue without this process.
    void drain()
    {
        m_hub.stop();
        m_runtime.log().write({ EventCode::ProcessStopped, {}, "stopped; the engine continues to run" });
        m_runtime.finish(0);
    }

    void reload(const Settings&) { }

private:
    void onMessage(PeerId peer, const Message& message)
    {
        if (const auto* request = std::get_if<ReservationRequest>(&message))
            m_driver.post(admission::ReservationRequested { peer, *request });
        else if (const auto* end = std::get_if<ReservationEnd>(&message))
            m_driver.post(admission::ReservationEnded { peer, *end });
        else if (const auto* notice = std::get_if<PrefillNotice>(&message))
            m_driver.post(admission::PrefillReported { peer, *notice });
        else
            m_streams.receive(peer, message);
    }

    void execute(admission::Send& send) { m_hub.send(send.to, send.message); }

    void execute(admission::ReadEngine& read)
    {
        boost::asio::post(m_strand, [this, number = read.number] {
            // Without this, the response to an abandoned call could be taken for that of the next call on its connection.
            UpstreamPool::cancel(std::exchange(m_call, {}));
            auto onEnd = [this, number](const GatheredAnswer& answer) {
                auto report = Dialect::engineReport(answer);
                if (!report && answer.head.status == 200)
                    m_runtime.refusals().note(
                        InputSource::Report, m_settings.engine.address, "the report lacks the memory use or the running requests");
                m_driver.post(admission::EngineRead { number, std::move(report) });
            };
            auto onFailure = [this, number](bool, const std::string&) { m_driver.post(admission::EngineRead { number, std::nullopt }); };
            const auto& address = m_settings.engine.address;
            m_call = m_pool.call({ address, {} }, address, Dialect::readMemory(address), gather(onEnd, onFailure));
        });
    }

    void execute(LogEvent& event) { m_runtime.log().write(event); }

    AdminReply answerAdmin(const AdminRequest& request)
    {
        if (auto common = m_pages.answer(request))
            return *common;
        auto [headroom, running]
            = m_driver.inspect([](const EngineAdmission& logic) { return std::pair(logic.headroom(), logic.running()); });
        if (request.path == "/status") {
            auto json = m_pages.identity();
            json["engine"] = m_settings.engine.address;
            json["room_tokens"] = headroom;
            json["runs"] = running;
            return AdminPages::json(json);
        }
        if (request.path != "/metrics")
            return AdminPages::notFound(request.path);
        auto text = "# TYPE wrenhinge_engine_room_tokens gauge\nwrenhinge_engine_room_tokens " + std::to_string(headroom)
            + "\n# TYPE wrenhinge_engine_runs gauge\nwrenhinge_engine_runs " + std::to_string(running) + "\n";
        return { 200, "text/plain; version=0.0.4", text + m_runtime.refusals().metrics() };
    }

    Settings m_settings;
    Runtime& m_runtime;
    Strand m_strand;
    PeerHub m_hub;
    StreamDirectoryServer m_streams;
    UpstreamPool m_pool;
    UpstreamPool::Call m_call; ///< The latest read; accessed only on the strand.
    LogicDriver<EngineAdmission, admission::Event, admission::Effect> m_driver;
    AdminPages m_pages;
    AdminServer m_adminServer; ///< Last, as its threads access the members above.
};

} // namespace wrenhinge
