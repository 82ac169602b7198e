/** \file
 * The sidecar beside an engine that gateways call themselves, as a process: EngineAdmission between the engine's reports and links to
 * gateways, which dial it. No request passes through it.
 */
#pragma once

#include "connection/PeerHub.h"
#include "connection/UpstreamPool.h"
#include "process/AdminPages.h"
#include "process/LogicDriver.h"
#include "process/Runtime.h"
#include "request/engine/EngineAdmission.h"

#include <nlohmann/json.hpp>

namespace wrenhinge {

/// The words in which an engine is asked for its memory.
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

    /// Gateways go on without this process, so nothing is waited for.
    void drain()
    {
        m_hub.stop();
        m_runtime.log().write({ EventCode::ProcessStopped, {}, "the engine goes on" });
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
    }

    void execute(admission::Send& tell) { m_hub.send(tell.to, tell.message); }

    void execute(admission::ReadEngine& read)
    {
        boost::asio::post(m_strand, [this, number = read.number] {
            // A call that was given up would come back on its connection to the next one.
            UpstreamPool::cancel(std::exchange(m_call, {}));
            auto onEnd = [this, number](const GatheredAnswer& answer) {
                auto report = Dialect::engineReport(answer);
                if (!report && answer.head.status == 200)
                    m_runtime.refusals().note(InputSource::Report, m_settings.engine.address, "its report lacks its memory or what runs");
                m_driver.post(admission::EngineRead { number, std::move(report) });
            };
            auto onFailure = [this, number](bool, const std::string&) { m_driver.post(admission::EngineRead { number, std::nullopt }); };
            const auto& address = m_settings.engine.address;
            m_call = m_pool.call({ address, {} }, address, Dialect::readMemory(address), gather(onEnd, onFailure));
        });
    }

    void execute(LogEvent& note) { m_runtime.log().write(note); }

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
    UpstreamPool m_pool;
    UpstreamPool::Call m_call; ///< The newest read; only on the strand.
    LogicDriver<EngineAdmission, admission::Event, admission::Effect> m_driver;
    AdminPages m_pages;
    AdminServer m_adminServer; ///< Last: its threads look at everything above.
};

} // namespace wrenhinge
