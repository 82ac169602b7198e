/** \file
 * The decision logic of a gateway that calls upstreams itself: routing, reservations, retries, refusals and streams.
 *
 * A state machine without I/O. It guarantees:
 * - A call that may have run is sent again only if the route allows it, within the route's attempts and the retry budget. The caller
 *   is told "not run" only if every send of the request is known not to have run.
 * - An answer that is no stream is buffered completely before it is passed on, so that an incomplete one can still be replaced. A
 *   stream is passed on event by event, and resumes at another replica after the last complete event if the route allows it.
 * - A stream continues only at replicas of the service and the software version that began it, also if its caller resumes it at another
 *   gateway. If no process knows these, the request is refused.
 * - A request that crashes the replicas which run it, or that has a part in its prompt which does, is refused, whichever gateway receives
 *   it (CrashTracker).
 * - If the document has accounts, a request runs only for the account whose key its caller presents.
 * - A request of an account that has used up its quota is refused before any other resource is used.
 * - A replica that states a request rate limit gets no more than that from all gateways together (ReplicaLimits). Other replicas of its
 *   service are used instead; if there are none, the request is refused at once.
 * - A replica that turns a request away and asks for a rest gets no request from this gateway until the rest is over, and then one at a
 *   time until it has answered one. One that says in an answer that it leaves gets no more requests.
 * - While the process shuts down, a stream that might outlive it is refused at once (StreamForecast).
 * - At the route's timeout or the caller's timeout, whichever is earlier, the caller has a final answer and the replica is released.
 */
#pragma once

#include "base/BufferBudget.h"
#include "request/engine/EngineLoad.h"
#include "request/fleet/ConvictionTrials.h"
#include "request/fleet/CrashTracker.h"
#include "request/fleet/GatewayCount.h"
#include "request/fleet/RegistryFollower.h"
#include "request/fleet/ReplicaLimits.h"
#include "request/fleet/SharedRetryBudget.h"
#include "request/fleet/StreamDirectoryClient.h"
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

    /// Default limit of what is buffered of all answers in progress together.
    static constexpr std::size_t maxBufferedBytes = 16u << 20;

    struct Settings {
        std::string zone;
        std::uint64_t seed = 1;
        RetryBudgetSettings budget;
        std::string name {}; ///< Of this gateway; the same after a restart.
        QuotaSettings quotas {};
        AnnouncementTimes announcements {}; ///< Of replicas.
        std::size_t bufferedBytes = maxBufferedBytes;
    };

    /// A document that no controller has confirmed takes effect after this long, so that a site that is cut off continues to serve.
    static constexpr Duration unconfirmedDocumentDelay = 1500ms;
    /// A request that arrives before any document waits for one this long, but at most a quarter of its caller's timeout. After a power
    /// loss of a whole site, the first gateways receive requests before the controllers have a leader, and a refusal would make all of
    /// them late. A longer wait would make those late that could have been retried in time.
    static constexpr Duration maxDocumentWait = 500ms;
    /// Interval of load reports to the controllers: several within the time of a stage change, which takes seconds.
    static constexpr Duration loadReportInterval = 1s;
    /// Interval at which the subset of engines is selected again, so that an engine that stopped announcing itself is replaced.
    static constexpr Duration engineSelectionInterval = 1s;
    /// The connection to the sidecar of an engine that left the subset is kept for this long: longer than a stream of 14 s that was
    /// admitted there can take. Without the connection, the sidecar would treat the stream's reservation as free and would not learn
    /// the length of its answer.
    static constexpr Duration linkRetention = 15s;
    /// The part of its share of a replica's connections that a gateway uses. The rest allows for gateways that still divide by an
    /// earlier number of gateways, and for calls that release a reservation or KV cache, which need a connection too.
    static constexpr double usableConnectionShare = 0.8;
    /// Shortest Retry-After for requests that are refused because no decode replica has capacity, before it is capped to a third of the
    /// caller's remaining time.
    static constexpr Duration minOverloadRetryAfter = 2500ms;
    /// For how long gateways that have ended may still have calls in progress.
    static constexpr Duration gatewayMemory = 10s;
    /// Size limit of one event of a stream. Events in use have some hundred bytes.
    static constexpr std::size_t maxEventBytes = 1u << 20;
    /// Maximum number of sends of one request, including those that a replica did not run.
    static constexpr std::uint32_t maxSends = 4;

    explicit ForwardLogic(Settings);

    Effects step(const forward::Event&, Instant now);
    [[nodiscard]] Instant nextWake() const;

    /// Whether a routing document is in effect, so that requests can be routed.
    [[nodiscard]] bool isServing(Instant now) const;
    /// The refusal of a request that it gets whatever its body is, so that the body need not be received.
    [[nodiscard]] std::optional<Error> refusalAtHead(const forward::RequestMetadata&, Instant now) const;
    [[nodiscard]] std::size_t requests() const { return m_flows.size(); }
    [[nodiscard]] const ReplicaTable& replicas() const { return m_replicas; }
    /// Retries that the budget still allows in the current window, by service.
    [[nodiscard]] std::map<std::string, double> retryBudget(Instant now) { return m_budget.remainingByService(now); }
    [[nodiscard]] AccountQuotas& quotas() { return m_quotas; }
    /// The request rate limits that replicas state.
    [[nodiscard]] ReplicaLimits& limits() { return m_limits; }
    /// Number of requests that were refused because their key is missing or belongs to no account.
    [[nodiscard]] std::uint64_t refusedKeys() const { return m_refusedKeys; }
    /// Counts since the start.
    struct RetryCounts {
        std::uint64_t refusedPrefills = 0;
        std::uint64_t otherReplicas = 0; ///< Calls that reached another replica than the one they were for.
        std::uint64_t taken = 0; ///< Calls that were sent again.
        std::uint64_t notAllowed = 0; ///< Calls that were not sent again for lack of budget.
    };
    [[nodiscard]] const RetryCounts& retryCounts() const { return m_retryCounts; }
    [[nodiscard]] std::uint64_t documentVersion() const { return m_table ? m_table->version() : 0; }

private:
    using Flow = ForwardFlow;

    void on(const forward::Submit&, Instant);
    void on(const forward::CallerDisconnected&, Instant);
    void on(const forward::AnswerHead&, Instant);
    void on(const forward::AnswerBody&, Instant);
    void on(const forward::AnswerEnd&, Instant);
    void on(const forward::CallFailed&, Instant);
    void on(const forward::ReplicaAnswered&, Instant);
    void on(const forward::ReservationGranted&, Instant);
    void on(const forward::ReservationRefused&, Instant);
    void on(const forward::SidecarReservationReply&, Instant);
    void on(const forward::EngineHeadroomReported&, Instant);
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
    void on(const forward::StreamHolderConnected&, Instant);
    void on(const forward::StreamRecordsConfirmed&, Instant);
    void on(const forward::StreamLookupReplied&, Instant);
    void on(const forward::CrashesReported&, Instant);
    void on(const forward::QuotaTotalsReceived&, Instant);
    void on(const forward::ReplicaLimitsReceived&, Instant);
    void on(const forward::PermitsReceived&, Instant);
    void on(const forward::Stop&, Instant);
    void on(const forward::Tick&, Instant);

    // The subset of engines that this gateway uses, and the connections to their sidecars (ForwardEngines.cpp).
    bool apply(const RelayedAnnouncement&, Instant);
    bool apply(const ReplicaWithdrawn&, Instant);
    void fetchRegistry(Instant);
    void selectEngines(Instant);
    void selectEnginesIfDue(Instant);
    void updateSidecarLinks(Instant);
    void waitForDocument(Flow&, Instant);
    void beginRequestsAwaitingDocument(Instant);
    void begin(Flow&, Instant);
    void beginAt(Flow&, const std::string& service, Instant);
    // Streams that may be resumed (ForwardStreams.cpp).
    void recordStream(Flow&, Instant);
    void passOn(Flow&, forward::Effect);
    void passOnHeldEvents(Flow&);
    [[nodiscard]] std::vector<RequestId> flowsAwaitingHolders(StreamId) const;
    [[nodiscard]] static bool isResumption(const Flow&);
    void resume(Flow&, Instant);
    void askHolder(Flow&, PeerId);
    void refuseIfLookupEnded(Flow&, Instant);
    void refuseIncompleteLookup(Flow&, Instant);
    void loseHolder(PeerId, Instant);
    void endLookup(Flow&);
    void resumeAt(Flow&, const StreamLookupReply&, Instant);
    bool refuseIfVersionIsGone(Flow&, Instant);
    void refuseResumption(Flow&, const std::string& reason, std::optional<Duration> retryAfter, Instant);
    // Authentication and quotas of client accounts (ForwardAccounts.cpp).
    bool authenticate(Flow&, Instant);
    [[nodiscard]] std::optional<Error> accessRefusal(const RouteTable&, const Route&, const forward::RequestMetadata&, Instant now) const;
    void refuseRevokedKeys(Instant);
    void applyQuotaRules(Instant);
    bool chargeQuota(Flow&, Instant);
    void refundQuota(Flow&, ResultCode, Instant);
    void reportQuotaUsage(Instant);
    [[nodiscard]] static double quotaCostOf(const Flow&);
    [[nodiscard]] static std::uint32_t rankOf(const Flow&);
    [[nodiscard]] static std::optional<std::string> accountOf(const Flow&);
    // Request rate limits that replicas state (ForwardLimits.cpp).
    void observeLimit(const ReplicaRun&, const StatedRateLimit&, Instant calledAt, Instant);
    void logLimit(const ReplicaRateLimit&, const std::string& source);
    void requestPermits(Instant);
    std::optional<ReplicaTable::Choice> choose(const Flow&, const ReplicaTable::Criteria&, const std::set<ReplicaRun>& tried, Instant);
    std::vector<ReplicaRun> replicasAtLimit(const Flow&, Instant);
    bool waitForPermit(Flow&, Instant);
    void retryAwaitingPermits(Instant);
    void refuseAtLimit(Flow&, const std::string& reason, const std::vector<ReplicaRun>& atLimit, Instant);
    Flow* current(const RequestId&, Attempt);
    bool send(Flow&, Instant);
    void startCall(Flow&, const ReplicaTable::Choice&, Instant);
    void logCall(Flow&);
    void runOrFail(Flow&, Instant);
    // Reservations and prefill (ForwardReservations.cpp).
    bool enqueueForReservation(Flow&, Instant);
    void admitWaiting(Instant);
    void scheduleLoadReport(Instant);
    void reportLoad(Instant);
    void requestReservation(Flow&, const ReplicaTable::Choice&, Instant);
    void requeue(Flow&);
    void endSidecarReservation(Flow&, bool isComplete, bool hasFailed = false);
    void refuseExpired(Instant);
    [[nodiscard]] Duration overloadRetryAfter(const Flow&, Instant);
    bool prefill(Flow&, Instant);
    void retryPrefillOrRun(Flow&, bool mayRetry, Instant);
    bool repeatPrefill(Flow&, Instant);
    void restoreKvSource(Flow&);
    // Requests that crash replicas (ForwardCrashes.cpp).
    void noteCrash(const Flow&, Instant);
    void noteServed(const Flow&, Instant);
    void noteSurvival(Flow&, Instant);
    [[nodiscard]] ReplicaSoftware softwareOf(const Flow&) const;
    void reportCrashes(std::optional<PeerId> controller, CrashReport);
    [[nodiscard]] bool crashesReplicas(const Flow&, Instant) const;
    void tryConvicted(const Flow&);
    void refuseAsCrashing(Flow&, Instant);
    void recordIfConvicted(ContentFingerprint, Instant);
    void refuseNewlyConvicted(Instant);
    // Replicas that leave or ask for a rest (ForwardRests.cpp).
    void observeAnswer(const ReplicaRun&, const forward::AnswerMetadata&, Instant calledAt, Instant);
    bool refuseIfAllRest(Flow&, Instant);
    void refuseAsResting(Flow&, Instant firstEnd, Instant);
    // Replicas that restart or change their software (ForwardReplicas.cpp).
    void abandonFormerRuns(const ReplicaRun& newest, Instant);
    void abandonFormerRuns(Flow&, const ReplicaRun& newest, Instant);
    void abandonCallToFormerRun(Flow&, Instant);
    void abandonOtherSoftware(const Announcement& newest, Instant);
    void releaseKvSource(Flow&, Instant);
    void releaseReservation(Flow&, Instant);
    std::optional<ReplicaTable::Choice> chooseForRun(Flow&, Instant);
    [[nodiscard]] Instant admitBy(const Flow&) const;
    [[nodiscard]] Duration timeSpentBefore(const Flow&) const;
    // Shutdown of this process (ForwardShutdown.cpp).
    [[nodiscard]] std::optional<Duration> forecast(const Flow&, Instant) const;
    [[nodiscard]] bool mayOutliveProcess(const Flow&, Instant) const;
    void refuseAsDraining(Flow&, Instant);
    bool refuseIfMayOutliveProcess(Flow&, Instant);
    bool takeRetry(const Flow&, Instant);
    void recordRetryNotAllowed(const Flow&, Instant);
    bool resend(Flow&, Instant);
    bool shedLoad(Flow&, Instant);
    void resendOrFail(Flow&, bool mayHaveRun, const std::string& reason, Instant);
    [[nodiscard]] bool mayRunAgain(const Flow&) const;
    void endCall(Flow&, CallOutcome, Instant);
    void abandonCall(Flow&, Instant);
    void forwardEvents(Flow&, std::string bytes, Instant);
    void noteBuffered(const Flow&);
    void giveUpLargestAnswers(Instant);
    void giveUpAnswer(Flow&, const std::string& reason, Instant);
    void beginStream(Flow&, Instant);
    void endStream(Flow&, Instant);
    void refuse(Flow&, ResultCode, const std::string& reason, Instant);
    void refuseUntil(Flow&, ResultCode, const std::string& reason, std::optional<Duration> retryAfter, Instant);
    void timeOut(Flow&, Instant);
    // Deadlines (ForwardTime.cpp).
    void scheduleWake(Flow&);
    [[nodiscard]] Flow::Deadline nextDeadline(const Flow&) const;
    [[nodiscard]] std::optional<Flow::Deadline> callDeadline(const Flow&) const;
    void wake(Flow&, Instant);
    void endWait(Flow&, Flow::Wait, Instant);
    void giveUpReservationCall(Flow&, Instant);
    void giveUpPrefill(Flow&, Instant);
    void repeatIfPossible(Flow&, Instant);
    void finish(Flow&, ResultCode, Instant);
    [[nodiscard]] ReplicaTable::Criteria criteriaOf(const Flow&) const;
    [[nodiscard]] std::uint32_t callLimit(const ServiceRule*) const;
    [[nodiscard]] const ServiceRule* engineRule(const Flow&) const;
    [[nodiscard]] static std::uint32_t expectedTokensOf(const Flow&);
    [[nodiscard]] static std::uint32_t reservedTokensOf(const Flow&);
    [[nodiscard]] static std::uint32_t meanTokensOf(const Flow&);
    [[nodiscard]] Duration retryAfter(const Flow&, Instant) const;
    std::string pickService(const Route&);

    Settings m_settings;
    ReplicaTable m_replicas;
    EngineLoad m_engineLoad;
    Instant m_loadReportAt = Instant::max(); ///< Time of the next load report.
    RegistryFollower m_registryFollower;
    Instant m_enginesSelectedAt; ///< Time of the last selection.
    std::map<std::string, Instant> m_sidecarLinks; ///< Engine address -> when to close the connection; `Instant::max()`: engine in use.
    GatewayCount m_gateways; ///< That share the connections of replicas, the quotas of accounts and the limits that replicas state.
    SharedRetryBudget m_budget;
    RetryCounts m_retryCounts;
    AccountQuotas m_quotas;
    ReplicaLimits m_limits;
    std::set<std::pair<std::uint32_t, RequestId>> m_awaitingPermits; ///< By rank; some may have ended meanwhile.
    std::map<std::string, Instant> m_permitsLackedAt; ///< By service: when a request last waited for a permit in vain.
    std::uint64_t m_refusedKeys = 0;
    std::mt19937_64 m_random;
    std::shared_ptr<const RouteTable> m_table;
    bool m_isConfirmed = false;
    Instant m_firstDocumentAt;
    std::vector<RequestId> m_awaitingDocument; ///< Requests that wait for a document; some may have ended meanwhile.
    ReservationQueue m_queue;
    bool m_shouldAdmit = false; ///< Retry admission of the queued requests at the end of this step.
    Instant m_retryAdmissionAt = Instant::max(); ///< When to ask full replicas again.
    std::map<std::string, Duration> m_maxCallerTimeout; ///< By route: the longest timeout seen, taken to be that of a first attempt.
    StreamDirectoryClient m_streams;
    std::set<std::pair<StreamId, RequestId>> m_awaitingHolders; ///< Requests that wait for a holder's reply about a stream.
    CrashTracker m_crashes;
    ConvictionTrials m_trials;
    bool m_hasNewConviction = false; ///< Requests with convicted content that have not run are refused at the end of the step.
    LoadShedder m_shedder; ///< For plain services; engines have reservations.
    StreamForecast m_forecast;
    StreamForecast m_answerForecast; ///< Of whole answers, counted from the call: each ends with its first byte.
    BufferBudget<RequestId> m_buffered { m_settings.bufferedBytes };
    std::optional<Instant> m_shutdownAt; ///< When this process exits; set once shutdown has begun.
    std::unordered_map<RequestId, Flow> m_flows;
    std::set<std::pair<Instant, RequestId>> m_wakes; ///< By ForwardFlow::wakeAt.
    Effects m_effects;
};

} // namespace wrenhinge
