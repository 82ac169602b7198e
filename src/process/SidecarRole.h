/** \file
 * The process role of a sidecar: it connects SidecarLogic to its upstream and to the gateways and controllers.
 */
#pragma once

#include "connection/PeerHub.h"
#include "connection/UpstreamClient.h"
#include "process/AdminPages.h"
#include "process/LogicDriver.h"
#include "request/sidecar/SidecarLogic.h"

namespace wrenhinge {

class SidecarRole {
public:
    SidecarRole(const Settings&, Runtime&);

    Result<nlohmann::json> start();
    void drain();
    void reload(const Settings&) { }

private:
    using Driver = LogicDriver<SidecarLogic, sidecar::Event, sidecar::Effect>;

    void executeEffect(sidecar::Effect&);
    void execute(sidecar::Send& e) { m_hub.send(e.to, e.message); }
    void execute(sidecar::StartCall& e) { m_client->start(std::move(e.call)); }
    void execute(sidecar::AbortCall& e) { m_client->abort(e.call); }
    void execute(sidecar::ReleaseResult& e) { m_client->releaseResult(e.kvParams); }
    void execute(sidecar::Drained&);
    void execute(LogEvent& e) { m_runtime.log().write(e); }
    void shutDown();
    AdminReply admin(const AdminRequest&);

    Settings m_settings;
    Runtime& m_runtime;
    PeerHub m_hub;
    std::unique_ptr<UpstreamClient> m_client;
    Driver m_driver;
    AdminPages m_pages;
    AdminServer m_adminServer;
};

} // namespace wrenhinge
