/** \file
 * State machine of a sidecar: scheduling and admission for one upstream.
 *
 * Every gateway sends its work for the upstream through this sidecar, so priority order, at-most-once execution and the
 * release of resources after a caller disconnects are decided by one table in one process. The state machine takes
 * events and the current time and returns effects; it does no I/O.
 */
#pragma once

#include "base/Safeguards.h"
#include "request/sidecar/AdmissionLedger.h"
#include "request/sidecar/CallRateLimiter.h"
#include "request/sidecar/DecodeAdmission.h"
#include "request/sidecar/QueueAdmission.h"
#include "request/sidecar/SidecarEvents.h"
#include "request/sidecar/Work.h"
#include "version/ConfigFollower.h"

#include <map>
#include <optional>
#include <string>

namespace wrenhinge {

/// A sidecar's part of the settings.
struct SidecarOptions {
    PeerId self;
    std::string service;
    std::string replica;
    UpstreamKind kind = UpstreamKind::Plain;
    std::string model;
    std::uint32_t slots = 1;
    Duration lease = 3s; ///< A gateway that receives no announcement for this long stops using the upstream.
    Duration announceEvery = 100ms;
    Duration resultLife = 800ms; ///< How long the engine keeps a prefill's result.
    std::size_t keptAnswerLimit = 16384; ///< Bytes; the ledger does not store a larger answer body.
    Safeguards safeguards;
    LinearCost initialCost { 5ms, 50, 2000 }; ///< Cost model of a prefill or plain call before any was measured.
};

class SidecarLogic {
public:
    /// Lower bound of the retry delay in a refusal, so that refused callers do not retry immediately.
    static constexpr Duration minRetryAfter = 50ms;

    using Effects = std::vector<sidecar::Effect>;

    explicit SidecarLogic(SidecarOptions);

    Effects step(const sidecar::Event&, Instant now);
    /// The latest time at which the next Tick is due.
    [[nodiscard]] Instant nextWake() const;

    [[nodiscard]] LoadReport load(PeerId gateway, Instant now) const;
    [[nodiscard]] std::size_t inProgress() const { return m_work.size(); }
    [[nodiscard]] bool isDraining() const;
    [[nodiscard]] const Configuration& configuration() const { return m_follower.configuration(); }
    /// Whether the configuration is known to be at least as new as every one that was applied here before.
    [[nodiscard]] bool isConfirmed() const { return m_follower.isConfirmed(); }
    [[nodiscard]] const SidecarOptions& options() const { return m_options; }
    /// The request rate limit that the upstream states, per second.
    [[nodiscard]] const std::optional<double>& rateLimit() const { return m_rateLimit.limit(); }

private:
    struct Gateway {
        std::uint64_t covered = 0; ///< Highest sequence number received from this gateway.
    };

    void on(const sidecar::PeerUp&, Instant);
    void on(const sidecar::PeerDown&, Instant);
    void on(const sidecar::PeerMessage&, Instant);
    void on(const sidecar::CallHead&, Instant);
    void on(const sidecar::CallData&, Instant);
    void on(const sidecar::CallEnd&, Instant);
    void on(const sidecar::CallPrefilled&, Instant);
    void on(const sidecar::CallFailed&, Instant);
    void on(const sidecar::Drain&, Instant);
    void on(const sidecar::Tick&, Instant);

    void onMessage(PeerId, const SlotRequest&, Instant);
    void onMessage(PeerId, const PrefillRequest&, Instant);
    void onMessage(PeerId, const DecodeRequest&, Instant);
    void onMessage(PeerId, const Dispatch&, Instant);
    void onMessage(PeerId, const Cancel&, Instant);
    void onMessage(PeerId, const Seal&, Instant);
    void onMessage(PeerId, const ConfigDelta&, Instant);
    void onMessage(PeerId, const Watch&, Instant);

    Work& addWork(PeerId, const WorkKey&, Priority, Duration budget, Instant);
    bool isDuplicate(PeerId, std::uint64_t sequence, const WorkKey&);
    void queueOrRefuse(Work&, Instant);
    void schedule(Instant);
    void scheduleQueue(Instant);
    void scheduleDecode(Instant);
    void expire(Instant);
    void startReady(Instant);
    void start(Work&, Instant);
    void grant(Work&, Instant);
    void refuse(const WorkKey&, ResultCode, Instant);
    void release(const WorkKey&, Instant);
    void undoRecordedCall(const Work&, Instant);
    void releaseResult(std::string kvParams, Instant);
    void finish(Work&, Instant);
    void observeRest(std::optional<Duration>, Instant);
    void observeLimit(const StatedRateLimit&, Instant calledAt, Instant);
    void observeTokens(Work&, std::uint32_t tokens, Instant);
    [[nodiscard]] Duration retryAfter(const Work&, Instant) const;
    Work* findWork(CallId);
    void announce(PeerId, const LoadReport&);
    [[nodiscard]] std::uint64_t coveredFor(PeerId) const;
    void announceAll(Instant);
    void updateObjective();
    void send(PeerId, Message);
    void sendAll(ConfigFollower::Sends);
    void note(EventCode, const WorkKey&, std::string text);

    SidecarOptions m_options;
    ConfigFollower m_follower;
    DecodeAdmission m_decode;
    QueueAdmission m_queue;
    AdmissionLedger m_ledger;
    CallRateLimiter m_rateLimit; ///< Stated by the upstream, for all calls.
    WorkTable m_work;
    WaitQueue m_waiting; ///< Work in stage Queued.
    WaitQueue m_ready; ///< Work in stage Ready.
    std::map<CallId, WorkKey> m_calls;
    std::map<PeerId, Gateway> m_gateways;
    CallId m_lastCall;
    std::uint64_t m_arrivals = 0;
    Instant m_nextAnnounce;
    Instant m_lastSchedule;
    bool m_isShuttingDown = false;
    bool m_reportedDrained = false;
    Effects m_effects;
};

} // namespace wrenhinge
