/** \file
 * State machine of a gateway: accepts callers' requests, routes each through the flow of its kind and answers it once.
 *
 * It takes events and the current time, returns effects and does no I/O. Its random choices are seeded by the caller.
 */
#pragma once

#include "request/sidecar/GatewayContext.h"
#include "request/sidecar/GenerationFlow.h"
#include "request/sidecar/PlainFlow.h"

namespace wrenhinge {

class GatewayLogic {
public:
    using Effects = std::vector<gateway::Effect>;

    explicit GatewayLogic(std::uint64_t seed, const Safeguards& = {});

    Effects step(const gateway::Event&, Instant now);
    /// The latest time at which the next Tick is due.
    [[nodiscard]] Instant nextWake() const { return m_nextTick; }

    [[nodiscard]] const UpstreamTable& upstreams() const { return m_context.upstreams; }
    [[nodiscard]] const Configuration& configuration() const { return m_context.follower.configuration(); }
    /// Whether the configuration is known to be at least as new as every one that was applied here before.
    [[nodiscard]] bool isConfirmed() const { return m_context.follower.isConfirmed(); }
    [[nodiscard]] std::size_t inProgress() const { return m_context.requests.size(); }
    [[nodiscard]] bool isDraining() const { return m_isDraining; }

private:
    void on(const gateway::PeerUp&, Instant);
    void on(const gateway::PeerDown&, Instant);
    void on(const gateway::PeerMessage&, Instant);
    void on(const gateway::Submit&, Instant);
    void on(const gateway::CallerDisconnected&, Instant);
    void on(const gateway::Unsent&, Instant);
    void on(const gateway::Drain&, Instant);
    void on(const gateway::Tick&, Instant);

    void onMessage(PeerId, const UpstreamAnnouncement&, Instant);
    void onMessage(PeerId, const SlotGrant&, Instant);
    void onMessage(PeerId, const Refused&, Instant);
    void onMessage(PeerId, const PrefillDone&, Instant);
    void onMessage(PeerId, const ResponseHead&, Instant);
    void onMessage(PeerId, const ResponseData&, Instant);
    void onMessage(PeerId, const ResponseEnd&, Instant);
    void onMessage(PeerId, const Failed&, Instant);
    void onMessage(PeerId, const SealReply&, Instant);
    void onMessage(PeerId, const ConfigDelta&, Instant);
    void onMessage(PeerId, const Watch&, Instant);
    void onMessage(PeerId, const ProposeReply&, Instant);
    void onMessage(PeerId, const CrashReport&, Instant);

    void handleUpstreamLoss(PeerId, Instant);
    void onDecided(const ControllerClient::Decided&, Instant);
    void refuseNew(const RequestId&, Error);
    Result<ServiceRules> rulesFor(const std::string& service) const;
    [[nodiscard]] std::string serviceOf(const CallerRequest&) const;
    void checkDrained();
    GatewayRequest* findCurrent(PeerId from, const RequestId&, Attempt);
    /// Calls `f` with the flow of the request's kind.
    template <typename F> void withFlow(GatewayRequest&, F f);

    GatewayContext m_context;
    GenerationFlow m_generation;
    PlainFlow m_plain;
    std::unordered_map<PeerId, Hello> m_sidecars;
    Instant m_nextTick;
    Instant m_nextCrashExpiry;
    bool m_isDraining = false;
    bool m_reportedDrained = false;
};

} // namespace wrenhinge
