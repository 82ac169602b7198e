/** \file
 * What a gateway that calls upstreams itself exchanges with the other processes of this project: it turns their messages into events of
 * ForwardLogic, and its effects into messages to controllers and to the sidecars of engines.
 */
#pragma once

#include "connection/PeerHub.h"
#include "request/forward/ForwardEffects.h"
#include "request/forward/ForwardEvents.h"

#include <optional>

namespace wrenhinge {

/// \returns nothing for messages that are not for ForwardLogic.
std::optional<forward::Event> forwardEventOf(PeerId from, Message&&);

class ForwardPeers {
public:
    /// \param sidecarPort where the sidecar of an engine listens on the engine's host; zero: engines have none.
    ForwardPeers(PeerHub& hub, std::uint32_t sidecarPort)
        : m_hub(hub)
        , m_sidecarPort(sidecarPort)
    {
    }

    // Sidecars.
    void execute(const forward::ConnectSidecar&);
    void execute(const forward::DisconnectSidecar&);
    void execute(const forward::NotifyPrefill&);
    void execute(const forward::EndSidecarReservation&);
    /// \param callerId the request id that the caller assigned.
    void reserve(const forward::ReserveAtSidecar&, const std::string& callerId);

    // Controllers.
    void execute(const forward::FetchRegistry&);
    void execute(const forward::ReportLoad&);
    void execute(const forward::ReportCrashes&);
    void execute(const forward::ReportQuotaUsage&);
    void execute(const forward::ReportReplicaLimits&);
    void execute(const forward::RequestPermits&);

    // Processes that hold the origins of streams.
    void execute(const forward::SendStreamRecords&);
    void execute(const forward::SendStreamLookup&);

private:
    void sendToControllers(const Message&);

    PeerHub& m_hub;
    std::uint32_t m_sidecarPort;
};

} // namespace wrenhinge
