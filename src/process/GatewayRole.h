/** \file
 * The gateway as a process: callers on one side, sidecars and controllers on the other, GatewayLogic between them.
 */
#pragma once

#include "connection/CallerServer.h"
#include "connection/PeerHub.h"
#include "process/AdminPages.h"
#include "process/LogicDriver.h"
#include "process/Metrics.h"
#include "request/sidecar/GatewayLogic.h"

namespace wrenhinge {

class GatewayRole {
public:
    GatewayRole(const Settings&, Runtime&);

    /// Binds everything. \returns the addresses as JSON for the ready line.
    Result<nlohmann::json> start();
    void drain();
    void reload(const Settings&);

private:
    using Driver = LogicDriver<GatewayLogic, gateway::Event, gateway::Effect>;

    void carry(gateway::Effect&);
    void carryOut(gateway::Send&);
    void carryOut(gateway::AnswerHead&);
    void carryOut(gateway::AnswerData&);
    void carryOut(gateway::AnswerEnd&);
    void carryOut(gateway::AnswerError&);
    void carryOut(gateway::AnswerAborted&);
    void carryOut(gateway::Finished&);
    void carryOut(gateway::Drained&);
    void carryOut(LogEvent&);
    [[nodiscard]] bool isReady() const;
    void leave();
    AdminReply admin(const AdminRequest&);
    [[nodiscard]] nlohmann::json status() const;
    [[nodiscard]] nlohmann::json upstreams() const;

    Settings m_settings;
    Runtime& m_runtime;
    Instant m_startedAt = currentInstant();
    Metrics m_metrics;
    PeerHub m_hub;
    CallerServer m_callers;
    Driver m_driver;
    AdminPages m_pages;
    AdminServer m_adminServer;
};

} // namespace wrenhinge
