/** \file
 * The decisions of a gateway that calls upstreams itself, without sidecars: routes, places, resends, refuses and streams.
 *
 * A state machine without I/O. What it holds to:
 * - a call that may have run is sent again only if the route allows that, within the route's attempts and the retry budget;
 *   "not run" is said only if every send of the request is known not to have run;
 * - a whole answer is gathered before it is passed on, so that one which breaks off can still be replaced; a stream is passed
 *   on event by event, and goes on at another replica after the last whole event where the route allows it;
 * - a request that crashes the replicas which run it is refused, at whatever gateway it comes (CrashTracker);
 * - where the document has accounts, a request runs only for the account whose key its caller shows;
 * - an account that has used up its quota is refused before anything else is touched;
 * - told to stop, it refuses at once a stream that might be cut when the process ends (StreamForecast);
 * - at the route's timeout, or when the caller's patience ends, the caller has a final answer and the replica is released.
 */
#pragma once

#include "request/engine/EngineLoad.h"
#include "request/fleet/CrashTracker.h"
#include "request/fleet/RegistryFollower.h"
#include "request/fleet/SharedRetryBudget.h"
#include "request/forward/ForwardEffects.h"
#include "request/forward/ForwardEvents.h"
#include "request/forward/ForwardFlow.h"
#include "request/forward/LoadShedder.h"
#include "request/forward/ReplicaTable.h"
#include "request/forward/ReservationQueue.h"
#include "request/forward/StreamForecast.h"

#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace wrenhinge {

class ForwardLogic {
public:
    using Effects = std::vector<forward::Effect>;

    struct Settings {
        std::string zone;
        std::uint64_t seed = 1;
        RetryBudgetSettings budget;
        std::string name {}; ///< Of this gateway; stays over restarts.
        QuotaSettings quotas {};
    };

    /// A document that no controller could confirm is used all the same after this long: a cut-off site serves on.
    static constexpr Duration unconfirmedDocumentDelay = 1500ms;
    /// A request that comes before any document waits for one this long, and a quarter of its caller's patience at most. After a
    /// power loss of a whole site the gateways that start first are asked 0.2 to 0.6 s before the controllers have a leader; a
    /// refusal with a pause made all of these late, and a longer wait would let those be late that could have come back.
    static constexpr Duration maxDocumentWait = 500ms;
    /// How busy the engines are is told to the controllers this often: several times within a change of stage, which takes seconds.
    static constexpr Duration loadReportInterval = 1s;
    /// The engines that are used are chosen anew this often, so that one that fell silent is followed by another.
    static constexpr Duration engineSelectionInterval = 1s;
    /// An engine that is used no more keeps its link for this long: as long as a stream of 14 s that was admitted there may go on. Without
    /// the link its sidecar would take what is reserved there for free, and would not hear how long the answer became.
    static constexpr Duration linkRetention = 15s;
    /// The part of its share of a replica's connections that a gateway uses, since gateways come and go while the others still count
    /// with the former number, and a call that gives something back needs a connection too.
    static constexpr double usableConnectionShare = 0.8;
    /// When callers that are refused for want of room may come back at the soonest.
    static constexpr Duration minOverloadRetryAfter = 2500ms;
    /// Sends of one request at most, counting those that a replica did not run.
    static constexpr std::uint32_t maxSends = 4;

    explicit ForwardLogic(Settings);

    Effects step(const forward::Event&, Instant now);
    [[nodiscard]] Instant nextWake() const;

    /// Whether callers' requests can be judged: a document is in force.
    [[nodiscard]] bool isServing(Instant now) const;
    [[nodiscard]] std::size_t requests() const { return m_flows.size(); }
    [[nodiscard]] const ReplicaTable& replicas() const { return m_replicas; }
    /// What may still be sent beyond first sends, by service, in this window.
    [[nodiscard]] std::map<std::string, double> retryBudget(Instant now) { return m_budget.remainingByService(now); }
    [[nodiscard]] AccountQuotas& quotas() { return m_quotas; }
    /// Requests that showed a key of no account.
    [[nodiscard]] std::uint64_t refusedKeys() const { return m_refusedKeys; }
    [[nodiscard]] std::uint64_t documentVersion() const { return m_table ? m_table->version() : 0; }

private:
    using Flow = ForwardFlow;

    void on(const forward::Submit&, Instant);
    void on(const forward::CallerDisconnected&, Instant);
    void on(const forward::AnswerHead&, Instant);
    void on(const forward::AnswerBody&, Instant);
    void on(const forward::AnswerEnd&, Instant);
    void on(const forward::CallFailed&, Instant);
    void on(const forward::ReservationGranted&, Instant);
    void on(const forward::ReservationRefused&, Instant);
    void on(const forward::SidecarReservationReply&, Instant);
    void on(const forward::EngineCapacityReported&, Instant);
    void on(const forward::PeerDisconnected&, Instant);
    void on(const forward::RegistryHeartbeatReceived&, Instant);
    void on(const forward::RegistryListReceived&, Instant);
    void on(const forward::PrefillFinished&, Instant);
    void on(const forward::PrefillFailed&, Instant);
    void on(const forward::DocumentReceived&, Instant);
    void on(const forward::DocumentConfirmed&, Instant);
    void on(const RelayedAnnouncement&, Instant);
    void on(const ReplicaWithdrawn&, Instant);
    void on(const RegistryHeartbeat&, Instant);
    void on(const StageChange&, Instant);
    void on(const forward::ControllerConnected&, Instant);
    void on(const forward::CrashesReported&, Instant);
    void on(const forward::QuotaTotalsReceived&, Instant);
    void on(const forward::Stop&, Instant);
    void on(const forward::Tick&, Instant);

    // Which engines are used, and the links to their sidecars (ForwardEngines.cpp).
    bool take(const RelayedAnnouncement&, Instant);
    bool take(const ReplicaWithdrawn&, Instant);
    void askForRegistry(Instant);
    void chooseEngines(Instant);
    void chooseEnginesIfDue(Instant);
    void linkSidecars(Instant);
    void holdForDocument(Flow&, Instant);
    void beginHeld(Instant);
    void begin(Flow&, Instant);
    // Whose requests these are, and what their accounts may ask for (ForwardAccounts.cpp).
    bool identify(Flow&, Instant);
    void refuseRevoked(Instant);
    void takeQuotaRules(Instant);
    bool charge(Flow&, Instant);
    void giveBackCharge(Flow&, ResultCode, Instant);
    void reportUse(Instant);
    [[nodiscard]] static double amountOf(const Flow&);
    [[nodiscard]] static std::uint32_t rankOf(const Flow&);
    [[nodiscard]] static std::optional<std::string> accountOf(const Flow&);
    Flow* current(const RequestId&, Attempt);
    bool send(Flow&, Instant);
    void startCall(Flow&, const ReplicaTable::Choice&, Instant);
    void noteCall(Flow&);
    void runOrFail(Flow&, Instant);
    // Places and prefill (ForwardPlaces.cpp).
    bool waitForPlace(Flow&, Instant);
    void admitWaiting(Instant);
    void scheduleReport(Instant);
    void reportLoad(Instant);
    void takePlace(Flow&, const ReplicaTable::Choice&, Instant);
    void waitAgain(Flow&);
    void endReservation(Flow&, bool isComplete, bool hasFailed = false);
    void refuseLeaving(Instant);
    [[nodiscard]] Duration returnAfterSurge(const Flow&, Instant);
    bool prefill(Flow&, Instant);
    void prefillElsewhere(Flow&, bool mayBeAsked, Instant);
    bool prefillAgain(Flow&, Instant);
    void takeSourceBack(Flow&);
    // Requests that crash replicas (ForwardCrashes.cpp).
    void noteCrash(const Flow&, Instant);
    void noteServed(const Flow&, Instant);
    void tellCrashes(std::optional<PeerId> controller, CrashReport);
    [[nodiscard]] bool crashesReplicas(const Flow&, Instant) const;
    void refuseAsCrashing(Flow&, Instant);
    void noteIfRefused(RequestFingerprint, Instant);
    void refuseNewlyKnown(Instant);
    // Replicas that start again.
    void giveUpFormerRuns(const ReplicaRun& newest, Instant);
    void giveUpFormerRuns(Flow&, const ReplicaRun& newest, Instant);
    void giveUpCall(Flow&, Instant);
    void dropSource(Flow&);
    void dropPlace(Flow&);
    std::optional<ReplicaTable::Choice> chooseForRun(Flow&, Instant);
    [[nodiscard]] Instant admitBy(const Flow&) const;
    [[nodiscard]] Duration spentBefore(const Flow&) const;
    [[nodiscard]] bool mightBeCut(const Flow&) const;
    void refuseToBeCut(Flow&, Instant);
    bool resend(Flow&, Instant);
    bool shed(Flow&, Instant);
    void resendOrFail(Flow&, bool mayHaveRun, const std::string& why, Instant);
    [[nodiscard]] bool mayRunAgain(const Flow&) const;
    void endCall(Flow&, CallOutcome, Instant);
    void abandonCall(Flow&, Instant);
    void passEvents(Flow&, std::string bytes, Instant);
    void endStream(Flow&, Instant);
    void refuse(Flow&, ResultCode, const std::string& why, Instant);
    void refuseUntil(Flow&, ResultCode, const std::string& why, std::optional<Duration> retryAfter, Instant);
    void giveUp(Flow&, Instant);
    void checkProgress(Flow&, Instant);
    void scheduleCheck(Flow&);
    void finish(Flow&, ResultCode, Instant);
    [[nodiscard]] ReplicaTable::Criteria needOf(const Flow&) const;
    [[nodiscard]] std::uint32_t callLimit(const ServiceRule*) const;
    [[nodiscard]] const ServiceRule* engineRule(const Flow&) const;
    [[nodiscard]] static std::uint32_t expectedTokensOf(const Flow&);
    [[nodiscard]] static std::uint32_t tokensOf(const Flow&);
    [[nodiscard]] static std::uint32_t meanTokensOf(const Flow&);
    [[nodiscard]] Duration retryAfter(const Flow&, Instant) const;
    std::string pickService(const Route&);

    Settings m_settings;
    ReplicaTable m_replicas;
    EngineLoad m_engineLoad;
    Instant m_reportAt = Instant::max(); ///< When to tell the controllers of it.
    RegistryFollower m_follower;
    Instant m_enginesChosenAt; ///< The last time.
    std::map<std::string, Instant> m_sidecarLinks; ///< By the engine's address: until when; `Instant::max()` while it is used.
    SharedRetryBudget m_budget;
    AccountQuotas m_quotas;
    std::uint64_t m_refusedKeys = 0;
    std::mt19937_64 m_random;
    std::shared_ptr<const RouteTable> m_table;
    bool m_isConfirmed = false;
    Instant m_documentAt;
    std::vector<RequestId> m_held; ///< They wait for a document; some may have been answered or have left meanwhile.
    ReservationQueue m_queue;
    bool m_mayAdmit = false; ///< Something has changed for those who wait.
    Instant m_admitAt = Instant::max(); ///< When a replica that was full is asked again.
    std::map<std::string, Duration> m_longestPatience; ///< By route: what a caller's first attempt brings.
    CrashTracker m_crashes;
    std::set<RequestFingerprint> m_newlyRefused; ///< Their requests that wait are refused at the end of the step.
    LoadShedder m_shedder; ///< Of plain services; engines' memory has its own admission.
    StreamForecast m_forecast;
    std::optional<Instant> m_stopsAt; ///< When this process ends, once it was told to.
    std::unordered_map<RequestId, Flow> m_flows;
    std::set<std::pair<Instant, RequestId>> m_wakes;
    Effects m_effects;
};

} // namespace wrenhinge
