#include "request/forward/ForwardLogic.h"

#include <algorithm>

namespace wrenhinge {

using namespace forward;

namespace {

    /// An idempotent call without an answer is sent to another replica after this share of its target, so that the second answer can
    /// still be in time. It must also have taken four times the mean latency.
    constexpr double retryAfterTargetShare = 0.55;
    constexpr double retryAfterMeanMultiple = 4;
    /// A resumable stream without an event for this long is resumed at another replica. Callers time out after two seconds at the earliest.
    constexpr Duration streamStallTimeout = 1400ms;
    /// A replica replies to a reservation within a round trip. One that has become unreachable while an idle connection to it is open
    /// doesn't reply: without this timeout callers gave up after 3.6 s, although other replicas had capacity. Long enough for a few
    /// round trips, also over a link with occasional packet loss.
    constexpr Duration reservationReplyTimeout = 120ms;
    /// The prefill of the longest prompts in use takes 0.2 s, and reservations keep the queues at prefill replicas short: in a surge 99
    /// of 100 prefills end within 0.43 s. One that takes longer than this is at an unreachable replica. The decode replica then runs the
    /// prefill itself, and the first event still meets the target; with a longer timeout it came after 2.7 s.
    constexpr Duration prefillTimeout = 600ms;
    /// A request that waits for a document may use up its caller's timeout divided by this; the rest is left for a retry.
    constexpr int documentWaitDivisor = 4;
    /// The timeout of a caller that states none, until its route is known.
    constexpr Duration defaultCallerTimeout = 1s;
    /// Memory to reserve for an answer, as a multiple of the caller's estimate of its length, which is right only at the median. In
    /// eight test days of both sites, 1.0, 1.3, 1.6 and 2.0 times the estimate led to 12, 8, 5 and 2 preempted streams a day and
    /// scores of 0.669, 0.678, 0.673 and 0.672 (three runs each): more memory per request means fewer requests at once.
    constexpr double outputReservationFactor = 1.3;
    /// The memory use of an engine peaks within about a second, when a new answer has grown to its expected length divided by this. With
    /// less free memory than that, a request is refused there. When only the prompt was compared with the free memory, gateways asked
    /// for up to 20 reservations for one request.
    constexpr std::uint32_t outputDivisorAtPeak = 4;
    /// Without an estimate of the caller, the expected length of an answer is its upper limit divided by this.
    constexpr std::uint32_t defaultOutputDivisor = 2;
    /// Retry-After when another gateway can take the request at once. Not zero, which some clients treat as absent.
    constexpr Duration drainingRetryAfter = 10ms;
    /// In bytes; callers choose their ids.
    constexpr std::size_t longestLoggedId = 64;

    /// Which stream the caller resumes, for the log.
    std::string resumptionText(const RequestMetadata& request)
    {
        if (!request.resumeAfter && !request.resumedRequest)
            return "";
        auto after = request.resumeAfter ? std::to_string(*request.resumeAfter) : "none";
        return " resumes " + request.resumedRequest.value_or("an unnamed request").substr(0, longestLoggedId) + " after event " + after;
    }

} // namespace

ForwardLogic::ForwardLogic(Settings settings)
    : m_settings(std::move(settings))
    , m_replicas(m_settings.zone, m_settings.seed, m_settings.name)
    , m_budget(m_settings.budget)
    , m_quotas(m_settings.quotas, m_settings.name)
    , m_limits(m_settings.seed)
    , m_random(m_settings.seed)
{
}

ForwardLogic::Effects ForwardLogic::step(const Event& event, Instant now)
{
    std::visit([this, now](const auto& e) { on(e, now); }, event);
    if (!m_newCrashFingerprints.empty())
        refuseNewCrashFingerprints(now);
    if (std::exchange(m_shouldAdmit, false))
        admitWaiting(now);
    scheduleLoadReport(now);
    return std::exchange(m_effects, {});
}

Instant ForwardLogic::nextWake() const
{
    auto next = std::min({ m_queue.nextExpiry(), m_retryAdmissionAt, m_loadReportAt, m_registryFollower.nextWake(), m_quotas.nextReport(),
        m_limits.nextPermitRequest() });
    if (m_table && !m_awaitingDocument.empty())
        next = std::min(next, m_firstDocumentAt + unconfirmedDocumentDelay);
    return m_wakes.empty() ? next : std::min(next, m_wakes.begin()->first);
}

bool ForwardLogic::isServing(Instant now) const
{
    return m_table && (m_isConfirmed || now - m_firstDocumentAt >= unconfirmedDocumentDelay);
}

// --- Messages from controllers ----------------------------------------------------------------------------------

void ForwardLogic::on(const DocumentReceived& event, Instant now)
{
    // A controller that was partitioned may send an older document after a newer one has taken effect here.
    if (event.document.version > documentVersion()) {
        if (!m_table)
            m_firstDocumentAt = now;
        m_table = std::make_shared<const RouteTable>(event.document);
        m_effects.push_back(SetLimits { event.document.limits });
        applyQuotaRules(now);
        m_effects.push_back(LogEvent { EventCode::DocumentInForce, {}, "version " + std::to_string(documentVersion()) });
    }
    refuseRevokedKeys(now);
    if (event.isCurrent)
        on(DocumentConfirmed { event.document.version }, now);
}

void ForwardLogic::on(const DocumentConfirmed& event, Instant now)
{
    m_isConfirmed = m_isConfirmed || event.version >= documentVersion();
    beginRequestsAwaitingDocument(now);
}

void ForwardLogic::on(const RelayedAnnouncement& event, Instant now)
{
    const auto& [announcement, age] = event;
    bool isEngine = announcement.kind != UpstreamKind::Plain;
    bool mayBeChosen = announcement.state == ReplicaState::Draining || !m_replicas.subset().isFull(announcement.service, announcement.kind);
    if (apply(event, now) && isEngine && mayBeChosen)
        selectEngines(now);
}

/// \returns whether the replica is new, restarted or changed.
bool ForwardLogic::apply(const RelayedAnnouncement& event, Instant now)
{
    const auto& announcement = event.announcement;
    m_replicas.noteControllerContact(now);
    auto former = m_replicas.registry().newestRun(announcement.id);
    auto formerVersion = m_replicas.softwareVersionOf(announcement.id);
    auto change = m_replicas.registry().announce(announcement, event.age, now);
    if (change == ReplicaRegistry::Change::Restarted) {
        m_effects.push_back(LogEvent { EventCode::UpstreamRestarted, {}, toString(announcement.run()) + " after " + toString(*former) });
        m_effects.push_back(DropConnections { *former });
        abandonFormerRuns(announcement.run(), now);
        m_replicas.forgetEnded();
    } else if (change != ReplicaRegistry::Change::Changed) {
        return false;
    }
    if (formerVersion && *formerVersion != announcement.softwareVersion)
        abandonOtherSoftware(announcement, now);
    bool isDraining = announcement.state == ReplicaState::Draining;
    m_effects.push_back(LogEvent { isDraining ? EventCode::UpstreamDraining : EventCode::UpstreamAnnounced, {},
        announcement.id + " of " + announcement.service + " at " + announcement.address + " software " + announcement.softwareVersion });
    return true;
}

void ForwardLogic::on(const ReplicaWithdrawn& event, Instant now)
{
    if (apply(event, now))
        selectEngines(now);
}

/// \returns whether the end of this run was not known yet.
bool ForwardLogic::apply(const ReplicaWithdrawn& event, Instant now)
{
    if (!m_replicas.registry().withdraw(event.run(), now))
        return false;
    m_effects.push_back(DropConnections { event.run() });
    m_effects.push_back(LogEvent { EventCode::UpstreamDraining, {}, toString(event.run()) + " has ended" });
    return true;
}

void ForwardLogic::on(const RegistryHeartbeat& event, Instant now)
{
    m_replicas.noteControllerContact(now);
    m_budget.setGateways(event.gateways, now);
    m_quotas.setGateways(m_budget.gateways());
    m_limits.permits().setGateways(m_budget.gateways(), now);
    m_replicas.registry().renew(event, now);
    m_replicas.registry().removeExpired(now);
    m_replicas.forgetEnded();
    m_crashes.dropRefuted(m_replicas.registry(), now);
    m_limits.dropEnded(m_replicas.registry(), now);
    selectEnginesIfDue(now);
}

void ForwardLogic::on(const StageChange& event, Instant now)
{
    if (m_replicas.registry().changeStage(event, now))
        m_effects.push_back(
            LogEvent { EventCode::StageChanging, {}, event.id + " for " + std::to_string(event.lasts / 1ms) + " ms at most" });
}

// --- Replicas that restart --------------------------------------------------------------------------------------

/// Drops what the former runs of a replica held for requests: reservations, KV caches, and the calls that ask for these. A call that
/// runs a request is left to end by itself, at the latest with a connection reset: it may have run, and an answer that is already in
/// transit is valid. The restart alone never makes it count as not run.
void ForwardLogic::abandonFormerRuns(const ReplicaRun& newest, Instant now)
{
    // Abandoning a call may end its request, so m_flows is not iterated meanwhile. The order by id makes replays of the same events
    // spend the remaining retry budget on the same requests.
    std::set<RequestId> ids;
    for (const auto& [id, flow] : m_flows)
        ids.insert(id);
    for (const auto& id : ids) {
        if (auto it = m_flows.find(id); it != m_flows.end())
            abandonFormerRuns(it->second, newest, now);
    }
}

void ForwardLogic::abandonFormerRuns(Flow& flow, const ReplicaRun& newest, Instant now)
{
    if (flow.prefillReplica.isBefore(newest))
        flow.prefillReplica = {};
    // Nothing is released at the replica: the new run issues its own ids, and may have given the same one to another request.
    if (flow.sentKvSource && flow.sentKvSource->replica.isBefore(newest)) {
        flow.sentKvSource.reset();
        flow.hasLostKvCache = flow.isCalling;
    }
    if (flow.reservation && flow.reservation->replica.isBefore(newest)) {
        m_replicas.release(flow.reservation->replica, reservedTokensOf(flow));
        flow.reservation.reset();
        endSidecarReservation(flow, false);
    }
    if (flow.isCalling && flow.replica.isBefore(newest))
        abandonCallToFormerRun(flow, now);
}

/// Cancels a reservation or prefill call to a former run. An answer to it is ignored, as it may come from the new run at the same
/// address.
void ForwardLogic::abandonCallToFormerRun(Flow& flow, Instant now)
{
    if (flow.stage == Flow::Stage::Running)
        return;
    m_effects.push_back(CancelCall { flow.id, flow.attempt });
    m_effects.push_back(LogEvent { EventCode::RequestRetried, flow.id, toString(flow.replica) + " has restarted" });
    endCall(flow, CallOutcome::Abandoned, now);
    if (flow.stage == Flow::Stage::Reserving) {
        endSidecarReservation(flow, false);
        return requeue(flow);
    }
    // A run that has ended doesn't count towards the route's attempts, but the call to it has cost the service work, so another prefill
    // must fit into the retry budget.
    retryPrefillOrRun(flow, m_budget.take(flow.service, now), now);
}

// --- Arrival ----------------------------------------------------------------------------------------------------

void ForwardLogic::on(const Submit& event, Instant now)
{
    auto& flow = m_flows[event.id];
    flow.id = event.id;
    flow.request = event.request;
    flow.arrivedAt = now - event.request.readFor;
    flow.deadline = flow.arrivedAt + event.request.callerTimeout.value_or(defaultCallerTimeout);
    if (isServing(now))
        begin(flow, now);
    else
        waitForDocument(flow, now);
}

/// A gateway that has just started expects its document shortly, so requests that arrive before it wait for a short time.
void ForwardLogic::waitForDocument(Flow& flow, Instant now)
{
    auto until = flow.arrivedAt + std::min(maxDocumentWait, (flow.deadline - flow.arrivedAt) / documentWaitDivisor);
    if (until <= now)
        return refuse(flow, ResultCode::ConfigUnavailable, "no routing document is in effect yet", now);
    flow.nextCheckAt = until;
    m_wakes.insert({ until, flow.id });
    m_awaitingDocument.push_back(flow.id);
}

void ForwardLogic::beginRequestsAwaitingDocument(Instant now)
{
    if (m_awaitingDocument.empty() || !isServing(now))
        return;
    for (const auto& id : std::exchange(m_awaitingDocument, {})) {
        auto it = m_flows.find(id);
        if (it == m_flows.end())
            continue;
        m_wakes.erase({ std::exchange(it->second.nextCheckAt, Instant()), id });
        begin(it->second, now);
    }
}

void ForwardLogic::begin(Flow& flow, Instant now)
{
    const auto& request = flow.request;
    flow.table = m_table;
    flow.route = m_table->find(normalisedHost(request.host), request.path);
    if (!flow.route)
        return refuse(flow, ResultCode::UnknownService, "no route matches this host and path", now);
    if (!authenticate(flow, now))
        return;
    flow.deadline = flow.arrivedAt + std::min(request.callerTimeout.value_or(flow.route->timeout), flow.route->timeout);
    if (flow.deadline <= now)
        return refuse(flow, ResultCode::DeadlineUnreachable, "the deadline had passed when the request was received", now);
    flow.lastEventId = request.resumeAfter;
    flow.stream = streamIdOf(accountOf(flow).value_or(""), request.resumedRequest.value_or(request.callerRequestId));
    m_effects.push_back(LogEvent { EventCode::RequestReceived, flow.id,
        flow.route->name + " document " + std::to_string(m_table->version()) + " tokens " + std::to_string(request.promptTokens) + "+"
            + std::to_string(request.outputTokens) + " expected " + std::to_string(expectedTokensOf(flow)) + " left "
            + std::to_string((flow.deadline - now) / 1ms) + " ms fingerprint " + toString(request.fingerprint)
            + (flow.account ? " account " + flow.account->name : "") + resumptionText(request) });
    auto& longest = m_maxCallerTimeout[flow.route->name];
    longest = std::max(longest, request.callerTimeout.value_or(Duration::zero()));
    if (isResumption(flow))
        resume(flow, now);
    else
        beginAt(flow, pickService(*flow.route), now);
}

void ForwardLogic::beginAt(Flow& flow, const std::string& service, Instant now)
{
    flow.service = service;
    m_budget.countRequest(flow.service, now);
    if (refuseIfVersionIsGone(flow, now))
        return;
    if (crashesReplicas(flow, now))
        return refuseAsCrashing(flow, now);
    if (mayOutliveProcess(flow))
        return refuseAsDraining(flow, now);
    if (!chargeQuota(flow, now))
        return;
    if (shedLoad(flow, now))
        return;
    if (!enqueueForReservation(flow, now) && !prefill(flow, now))
        runOrFail(flow, now);
}

/// Load shedding for plain services (LoadShedder). \returns whether the request was refused.
bool ForwardLogic::shedLoad(Flow& flow, Instant now)
{
    auto share = flow.route->hasPrompt ? 0 : m_shedder.refusedShare(flow.service);
    if (share <= 0 || std::uniform_real_distribution<double>()(m_random) >= share)
        return false;
    refuse(flow, ResultCode::Overloaded, "the service's replicas can't answer all requests in time", now);
    return true;
}

void ForwardLogic::runOrFail(Flow& flow, Instant now)
{
    if (crashesReplicas(flow, now))
        return refuseAsCrashing(flow, now);
    if (send(flow, now))
        return;
    if (flow.runs)
        return refuse(flow, ResultCode::UpstreamFailed, "no other replica can take the request", now);
    if (auto atLimit = replicasAtLimit(flow, now); !atLimit.empty()) {
        if (!waitForPermit(flow, now))
            refuseAtLimit(flow, "the request rate limits of the service's replicas are used up", atLimit, now);
        return;
    }
    if (refuseIfVersionIsGone(flow, now))
        return;
    if (m_replicas.hasReady(criteriaOf(flow)))
        refuse(flow, ResultCode::Overloaded, "no replica of the service can take another call", now);
    else
        refuse(flow, ResultCode::NoUpstream, "no replica of the service is known", now);
}

/// Picks one of the route's services at random, by weight.
std::string ForwardLogic::pickService(const Route& route)
{
    std::uint64_t sum = 0;
    for (const auto& target : route.targets)
        sum += target.weight;
    auto n = std::uniform_int_distribution<std::uint64_t>(0, sum - 1)(m_random);
    for (const auto& target : route.targets) {
        if (n < target.weight)
            return target.service;
        n -= target.weight;
    }
    internalError("the weighted choice exceeds the sum of the weights");
}

/// Estimates how much of its timeout the caller had used up before this attempt. A caller that retries after a refusal for lack of
/// capacity has less time left than others on its route, by the Retry-After at least. Timeouts differ at the first attempt too: with a
/// spread of 15%, 11.9 to 14 s, and every difference taken for a retry, two in three requests were treated as late and refused after
/// 150 ms while others waited for 0.6 s.
Duration ForwardLogic::timeSpentBefore(const Flow& flow) const
{
    // One that resumes a stream has spent its time on the events that it has already.
    if (!flow.request.callerTimeout || isResumption(flow))
        return Duration::zero();
    auto spent = m_maxCallerTimeout.at(flow.route->name) - *flow.request.callerTimeout;
    return spent >= minOverloadRetryAfter ? spent : Duration::zero();
}

std::uint32_t ForwardLogic::expectedTokensOf(const Flow& flow)
{
    const auto& request = flow.request;
    return std::min(request.expectedTokens.value_or(request.outputTokens / defaultOutputDivisor), request.outputTokens);
}

/// The KV memory to reserve for the request: its prompt, and more output than its caller expects. If the reservation is too small and
/// the answer grows beyond it, the engine may have to preempt a running stream and prefill it again, which delays all streams there.
std::uint32_t ForwardLogic::reservedTokensOf(const Flow& flow)
{
    const auto& request = flow.request;
    return request.promptTokens
        + std::min(static_cast<std::uint32_t>(outputReservationFactor * expectedTokensOf(flow)), request.outputTokens);
}

/// The KV memory that the request uses on average over its run: the answer grows linearly from zero to its expected length.
std::uint32_t ForwardLogic::meanTokensOf(const Flow& flow) { return flow.request.promptTokens + expectedTokensOf(flow) / 2; }

/// \returns the rule of the flow's service if that has engines, else nullptr.
const ServiceRule* ForwardLogic::engineRule(const Flow& flow) const
{
    const auto* rule = flow.table->service(flow.service);
    return rule && rule->isEngine ? rule : nullptr;
}

ReplicaTable::Criteria ForwardLogic::criteriaOf(const Flow& flow) const
{
    ReplicaTable::Criteria criteria;
    criteria.service = flow.service;
    if (flow.origin)
        criteria.softwareVersion = flow.origin->softwareVersion;
    criteria.maxCalls = callLimit(flow.table->service(flow.service));
    if (const auto* rule = engineRule(flow)) {
        criteria.kind = UpstreamKind::Decode;
        criteria.tokens = reservedTokensOf(flow);
        criteria.promptTokens = flow.request.promptTokens;
        criteria.minFreeTokens = flow.request.promptTokens + expectedTokensOf(flow) / outputDivisorAtPeak;
        criteria.cacheTokens = rule->engine.cacheTokens;
    }
    return criteria;
}

/// The number of calls that this gateway may have in progress at one replica: its share of the connections that the replica accepts
/// from all gateways. The replica resets further connections, and a request that may not be retried fails with them.
std::uint32_t ForwardLogic::callLimit(const ServiceRule* rule) const
{
    if (!rule || !rule->maxConnections)
        return 0;
    return std::max(1u, static_cast<std::uint32_t>(usableConnectionShare * rule->maxConnections / m_budget.gateways()));
}

bool ForwardLogic::send(Flow& flow, Instant now)
{
    auto choice = chooseForRun(flow, now);
    if (!choice)
        return false;
    flow.stage = Flow::Stage::Running;
    flow.tried.insert(choice->run);
    flow.hasLostKvCache = false;
    flow.softwareVersion = m_replicas.softwareVersionOf(choice->run.id).value_or("");
    Send send { flow.id, {}, choice->run, choice->address, flow.deadline - now, std::nullopt, false, std::nullopt, {}, {}, {} };
    send.account = accountOf(flow);
    // A reservation at a sidecar has been counted as the call that it is for.
    bool isCounted = flow.reservation && flow.reservation->id.empty();
    if (!isCounted)
        m_limits.recordCall(choice->run, now);
    if (auto reservation = std::exchange(flow.reservation, std::nullopt)) {
        m_replicas.release(reservation->replica, reservedTokensOf(flow));
        send.reservation = reservation->id;
    }
    if (flow.hasStreamStarted)
        send.resumeAfter = flow.lastEventId;
    else
        send.source = flow.sentKvSource = std::exchange(flow.kvSource, std::nullopt);
    // A decode replica that prefills the prompt again delays the streams that run there: 5,000 tokens delay them by 0.2 s. The prefill
    // replica still caches most of the prompt: 20,000 to 45,000 tokens were copied instead in a test day of 40 s with crashes.
    if (!send.source && flow.prefillReplica != choice->run && m_replicas.isReady(flow.prefillReplica))
        send.cacheAddress = flow.prefillReplicaAddress;
    startCall(flow, *choice, now);
    send.attempt = flow.attempt;
    if (const auto* rule = engineRule(flow); rule && !flow.admittedAt) {
        flow.admittedAt = now;
        m_engineLoad.admit(flow.service, rule->engine, flow.request.promptTokens, meanTokensOf(flow), now);
    }
    ++flow.sends;
    m_effects.push_back(std::move(send));
    scheduleCheck(flow);
    return true;
}

void ForwardLogic::startCall(Flow& flow, const ReplicaTable::Choice& choice, Instant now)
{
    flow.attempt = flow.attempt.next();
    flow.isCalling = true;
    flow.replica = choice.run;
    flow.replicaAddress = choice.address;
    flow.sentAt = flow.lastEventAt = now;
    flow.hasHead = false;
    flow.body.clear();
    flow.splitter.clear();
    m_replicas.begin(flow.replica, reservedTokensOf(flow));
    logCall(flow);
}

/// Logs each call except repeated reservation calls of the same request: in a surge there are dozens of them, without new information.
void ForwardLogic::logCall(Flow& flow)
{
    bool isRepeatedReservation = flow.stage == Flow::Stage::Reserving && flow.reservationAttempts++;
    if (isRepeatedReservation)
        return;
    const auto& load = m_replicas.loads().at(flow.replica);
    auto code = flow.stage == Flow::Stage::Running ? EventCode::RequestPlaced
        : flow.stage == Flow::Stage::Prefilling    ? EventCode::PrefillStarted
                                                   : EventCode::PlaceAsked;
    auto text = m_replicas.describe(flow.replica) + " attempt " + std::to_string(flow.attempt.value()) + " calls "
        + std::to_string(load.calls) + " tokens " + std::to_string(load.tokens);
    if (flow.stage == Flow::Stage::Running && flow.reservationAttempts)
        text += " places asked " + std::to_string(flow.reservationAttempts);
    m_effects.push_back(LogEvent { code, flow.id, std::move(text) });
}

// --- Shutdown of this process -----------------------------------------------------------------------------------

/// Whether the stream might outlive this process. It is refused even if only one in a hundred like it would be cut off: a refusal costs
/// it about 100 ms on the way to another gateway, a cut all of its seconds. With too few samples for a forecast, any stream might be cut
/// off. A caller that another stopping gateway has refused can't be told from one with a shorter timeout; it may have no attempt left,
/// but learns that at once.
bool ForwardLogic::mayOutliveProcess(const Flow& flow) const
{
    if (!m_shutdownAt || !flow.route->isStream || flow.deadline <= *m_shutdownAt)
        return false;
    auto forecast = m_forecast.longest(flow.service, expectedTokensOf(flow));
    return !forecast || flow.arrivedAt + *forecast > *m_shutdownAt;
}

void ForwardLogic::refuseAsDraining(Flow& flow, Instant now)
{
    refuseUntil(flow, ResultCode::Draining, "this gateway shuts down before the stream would end", drainingRetryAfter, now);
}

/// Streams that still wait for a reservation have lost little time, so they are refused too.
void ForwardLogic::on(const Stop& event, Instant now)
{
    m_shutdownAt = event.deadline;
    for (const auto& id : m_queue.inOrder(now)) {
        if (auto& flow = m_flows.at(id); mayOutliveProcess(flow))
            refuseAsDraining(flow, now);
    }
}

// --- Time -------------------------------------------------------------------------------------------------------

void ForwardLogic::scheduleCheck(Flow& flow)
{
    auto nextCheckAt = flow.deadline;
    if (flow.isCalling && flow.stage == Flow::Stage::Prefilling) {
        auto byMeanLatency = fromSeconds(m_replicas.meanSeconds(flow.service, UpstreamKind::Prefill) * retryAfterMeanMultiple);
        nextCheckAt = std::min(nextCheckAt, flow.sentAt + std::max(prefillTimeout, byMeanLatency));
    }
    if (flow.isCalling && flow.stage == Flow::Stage::Reserving)
        nextCheckAt = std::min(nextCheckAt, flow.sentAt + reservationReplyTimeout);
    if (flow.eventsHeldUntil)
        nextCheckAt = std::min(nextCheckAt, *flow.eventsHeldUntil);
    bool isIdempotentCall = flow.route->repeatability == Repeatability::Idempotent && !flow.hasHead && flow.isCalling;
    bool isResumable = flow.route->repeatability == Repeatability::Resumable && flow.hasStreamStarted && flow.isCalling;
    if (isIdempotentCall) {
        auto byTargetShare = fromSeconds(toSeconds(flow.route->target) * retryAfterTargetShare);
        auto byMeanLatency = fromSeconds(m_replicas.meanSeconds(flow.service, UpstreamKind::Plain) * retryAfterMeanMultiple);
        nextCheckAt = std::min(nextCheckAt, flow.sentAt + std::max(byTargetShare, byMeanLatency));
    } else if (isResumable) {
        nextCheckAt = std::min(nextCheckAt, flow.lastEventAt + streamStallTimeout);
    }
    if (nextCheckAt == flow.nextCheckAt)
        return;
    m_wakes.erase({ flow.nextCheckAt, flow.id });
    flow.nextCheckAt = nextCheckAt;
    m_wakes.insert({ nextCheckAt, flow.id });
}

void ForwardLogic::on(const Tick&, Instant now)
{
    beginRequestsAwaitingDocument(now);
    fetchRegistry(now);
    refuseExpired(now);
    reportLoad(now);
    reportQuotaUsage(now);
    requestPermits(now);
    if (m_retryAdmissionAt <= now) {
        m_retryAdmissionAt = Instant::max();
        m_shouldAdmit = true;
    }
    while (!m_wakes.empty() && m_wakes.begin()->first <= now) {
        auto id = m_wakes.begin()->second;
        m_wakes.erase(m_wakes.begin());
        auto it = m_flows.find(id);
        if (it == m_flows.end())
            continue;
        it->second.nextCheckAt = {};
        if (!it->second.route)
            refuse(it->second, ResultCode::ConfigUnavailable, "no routing document is in effect yet", now);
        else if (it->second.deadline <= now)
            timeOut(it->second, now);
        else
            checkProgress(it->second, now);
    }
}

/// The current call makes no progress: continues at another replica if the route and the budget allow it, else waits for its end.
void ForwardLogic::checkProgress(Flow& flow, Instant now)
{
    if (flow.lookup) {
        endLookup(flow);
        return refuseUnfound(flow, now);
    }
    if (flow.eventsHeldUntil && *flow.eventsHeldUntil <= now) {
        m_streams.notReplied(flow.stream, now);
        passOnHeldEvents(flow);
        return scheduleCheck(flow);
    }
    if (m_awaitingPermits.erase({ rankOf(flow), flow.id }))
        return runOrFail(flow, now);
    if (flow.isCalling && flow.stage == Flow::Stage::Reserving) {
        m_effects.push_back(CancelCall { flow.id, flow.attempt });
        endSidecarReservation(flow, false);
        return on(ReservationRefused { flow.id, flow.attempt, false }, now);
    }
    if (flow.isCalling && flow.stage == Flow::Stage::Prefilling) {
        m_effects.push_back(CancelCall { flow.id, flow.attempt });
        endCall(flow, CallOutcome::Failed, now);
        return runOrFail(flow, now);
    }
    // While replicas are full, a second call would only make both late.
    bool isOverloaded = flow.stage == Flow::Stage::Running && m_shedder.refusedShare(flow.service) > 0;
    bool mayGoOn = !isOverloaded && flow.isCalling && flow.stage == Flow::Stage::Running && flow.runs + 1 < flow.route->maxAttempts
        && flow.sends < maxSends && !crashesReplicas(flow, now) && choose(flow, criteriaOf(flow), flow.tried, now);
    if (!mayGoOn || !m_budget.take(flow.service, now)) {
        flow.nextCheckAt = flow.deadline;
        m_wakes.insert({ flow.nextCheckAt, flow.id });
        return;
    }
    m_effects.push_back(CancelCall { flow.id, flow.attempt });
    endCall(flow, CallOutcome::Failed, now);
    ++flow.runs;
    m_effects.push_back(LogEvent { EventCode::RequestRetried, flow.id, "no answer from " + toString(flow.replica) + " yet" });
    if (!send(flow, now))
        internalError("the replica chosen for a retry is no longer available");
}

} // namespace wrenhinge
