/** \file
 * The process role of a gateway: it connects GatewayLogic to the callers and to the sidecars and controllers.
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

    /// Starts all servers and connects to the controllers. \returns the listening addresses as JSON, for the line that the daemon prints
    /// when it is ready.
    Result<nlohmann::json> start();
    void drain();
    void reload(const Settings&);

private:
    using Driver = LogicDriver<GatewayLogic, gateway::Event, gateway::Effect>;

    void executeEffect(gateway::Effect&);
    void execute(gateway::Send&);
    void execute(gateway::AnswerHead&);
    void execute(gateway::AnswerData&);
    void execute(gateway::AnswerEnd&);
    void execute(gateway::AnswerError&);
    void execute(gateway::AnswerAborted&);
    void execute(gateway::Finished&);
    void execute(gateway::Drained&);
    void execute(LogEvent&);
    [[nodiscard]] bool isReady() const;
    void shutDown();
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
