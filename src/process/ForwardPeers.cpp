#include "process/ForwardPeers.h"

#include "connection/Endpoint.h"

#include <utility>

namespace wrenhinge {

std::optional<forward::Event> forwardEventOf(PeerId from, Message&& message)
{
    if (const auto* announced = std::get_if<RelayedAnnouncement>(&message))
        return *announced;
    if (const auto* withdrawn = std::get_if<ReplicaWithdrawn>(&message))
        return *withdrawn;
    if (const auto* headroom = std::get_if<EngineHeadroom>(&message))
        return forward::EngineHeadroomReported { headroom->address, { from, headroom->tokens, headroom->prefillBacklog } };
    if (const auto* reply = std::get_if<ReservationReply>(&message))
        return forward::SidecarReservationReply { reply->request, reply->attempt, reply->isGranted, reply->headroom };
    if (auto* heartbeat = std::get_if<RegistryHeartbeat>(&message))
        return forward::RegistryHeartbeatReceived { from, std::move(*heartbeat) };
    if (auto* list = std::get_if<RegistryList>(&message))
        return forward::RegistryListReceived { from, std::move(*list) };
    if (const auto* change = std::get_if<StageChange>(&message))
        return *change;
    if (auto* crashes = std::get_if<CrashReport>(&message))
        return forward::CrashesReported { std::move(*crashes) };
    if (auto* totals = std::get_if<QuotaTotals>(&message))
        return forward::QuotaTotalsReceived { from, std::move(*totals) };
    if (auto* limits = std::get_if<ReplicaRateLimits>(&message))
        return forward::ReplicaLimitsReceived { std::move(limits->limits) };
    if (auto* usage = std::get_if<ReplicaUsageTotals>(&message))
        return forward::PermitsReceived { from, std::move(usage->grant) };
    if (auto* held = std::get_if<StreamRecordsHeld>(&message))
        return forward::StreamRecordsConfirmed { from, std::move(*held) };
    if (auto* reply = std::get_if<StreamLookupReply>(&message))
        return forward::StreamLookupReplied { from, std::move(*reply) };
    return std::nullopt;
}

void ForwardPeers::execute(const forward::ConnectSidecar& connect)
{
    if (m_sidecarPort)
        m_hub.dial(withPort(connect.engineAddress, m_sidecarPort));
}

void ForwardPeers::execute(const forward::DisconnectSidecar& disconnect)
{
    if (m_sidecarPort)
        m_hub.leave(withPort(disconnect.engineAddress, m_sidecarPort));
}

void ForwardPeers::execute(const forward::NotifyPrefill& notify)
{
    m_hub.send(notify.sidecar, PrefillNotice { notify.id, notify.promptTokens, notify.hasEnded });
}

void ForwardPeers::execute(const forward::EndSidecarReservation& end)
{
    m_hub.send(end.sidecar, ReservationEnd { end.id, end.isComplete, end.hasFailed });
}

void ForwardPeers::reserve(const forward::ReserveAtSidecar& reserve, const std::string& callerId)
{
    m_hub.send(reserve.sidecar,
        ReservationRequest {
            reserve.id, reserve.attempt, callerId, reserve.promptTokens, reserve.expectedTokens, reserve.maxOutputTokens, reserve.slots });
}

void ForwardPeers::execute(const forward::FetchRegistry& fetch) { m_hub.send(fetch.controller, fetch.request); }

void ForwardPeers::execute(const forward::ReportLoad& load) { sendToControllers(load.report); }

void ForwardPeers::execute(const forward::ReportCrashes& crashes)
{
    if (crashes.controller)
        m_hub.send(*crashes.controller, crashes.report);
    else
        sendToControllers(crashes.report);
}

void ForwardPeers::execute(const forward::ReportQuotaUsage& usage)
{
    const auto& report = usage.report;
    for (const auto& peer : m_hub.peers()) {
        if (peer.role == Role::Controller)
            m_hub.send(peer.id, QuotaReport { report.uses, report.totalsSource == peer.id, report.asksForAll, report.knownGateways });
    }
}

void ForwardPeers::execute(const forward::ReportReplicaLimits& report)
{
    ReplicaRateLimits limits { report.limits };
    if (report.controller)
        m_hub.send(*report.controller, limits);
    else
        sendToControllers(limits);
}

void ForwardPeers::execute(const forward::RequestPermits& permits)
{
    m_hub.send(permits.controller, ReplicaUsageReport { {}, permits.request });
}

void ForwardPeers::execute(const forward::SendStreamRecords& records) { m_hub.send(records.holder, records.message); }

void ForwardPeers::execute(const forward::SendStreamLookup& lookup) { m_hub.send(lookup.holder, lookup.message); }

void ForwardPeers::sendToControllers(const Message& message)
{
    m_hub.broadcast(message, [](const Hello& peer) { return peer.role == Role::Controller; });
}

} // namespace wrenhinge
