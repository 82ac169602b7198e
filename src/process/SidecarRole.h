/** \file
 * The sidecar as a process: its upstream on one side, gateways and controllers on the other, SidecarLogic between them.
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

    void carry(sidecar::Effect&);
    void carryOut(sidecar::Send& e) { m_hub.send(e.to, e.message); }
    void carryOut(sidecar::StartCall& e) { m_client->start(std::move(e.call)); }
    void carryOut(sidecar::AbortCall& e) { m_client->abort(e.call); }
    void carryOut(sidecar::ReleaseResult& e) { m_client->releaseResult(e.kvParams); }
    void carryOut(sidecar::Drained&);
    void carryOut(LogEvent& e) { m_runtime.log().write(e); }
    void leave();
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
