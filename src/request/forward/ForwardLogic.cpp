#include "request/forward/ForwardLogic.h"

#include <algorithm>

namespace wrenhinge {

using namespace forward;

namespace {

    /// A request that waits for a document may use up its caller's timeout divided by this; the rest is left for a retry.
    constexpr int documentWaitDivisor = 4;
    /// The timeout of a caller that states none, until its route is known.
    constexpr Duration defaultCallerTimeout = 1s;
    /// Memory to reserve for an answer, as a multiple of the caller's estimate of its length, which is right only at the median. More
    /// memory per request means fewer requests at once, less means more preempted streams.
    constexpr double outputReservationFactor = 1.3;
    /// The memory use of an engine peaks within about a second, when a new answer has grown to its expected length divided by this. With
    /// less free memory than that, a request is refused there, so it isn't worth asking for a reservation.
    constexpr std::uint32_t outputDivisorAtPeak = 4;
    /// Without an estimate of the caller, the expected length of an answer is its upper limit divided by this.
    constexpr std::uint32_t defaultOutputDivisor = 2;
    /// In bytes; callers choose their ids.
    constexpr std::size_t longestLoggedId = 64;

    constexpr auto noRoute = "no route matches this host and path";

    /// A log line names at most this many parts of a prompt.
    constexpr std::size_t maxLoggedParts = 8;

    std::string partsText(const RequestMetadata& request)
    {
        std::string text;
        for (std::size_t i = 0; i < std::min(request.promptParts.size(), maxLoggedParts); ++i)
            text += (i ? "," : " parts ") + toString(request.promptParts[i]);
        if (request.promptParts.size() > maxLoggedParts)
            text += " and " + std::to_string(request.promptParts.size() - maxLoggedParts) + " more";
        return text;
    }

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
    , m_replicas(m_settings.zone, m_settings.seed, m_settings.name, m_settings.announcements)
    , m_gateways(gatewayMemory)
    , m_budget(m_settings.budget)
    , m_quotas(m_settings.quotas, m_settings.name)
    , m_limits(m_settings.seed)
    , m_crashes(m_settings.name)
    , m_trials(m_settings.name)
    , m_random(m_settings.seed)
{
}

ForwardLogic::Effects ForwardLogic::step(const Event& event, Instant now)
{
    std::visit([this, now](const auto& e) { on(e, now); }, event);
    if (std::exchange(m_hasNewConviction, false))
        refuseNewlyConvicted(now);
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

std::optional<Error> ForwardLogic::refusalAtHead(const RequestMetadata& request, Instant now) const
{
    // Without a document the request waits for one.
    if (!isServing(now))
        return std::nullopt;
    const auto* route = m_table->find(normalisedHost(request.host), request.path);
    if (!route)
        return Error { ResultCode::UnknownService, noRoute };
    return accessRefusal(*m_table, *route, request, now);
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
    flow.documentWaitUntil = until;
    m_awaitingDocument.push_back(flow.id);
    scheduleWake(flow);
}

void ForwardLogic::beginRequestsAwaitingDocument(Instant now)
{
    if (m_awaitingDocument.empty() || !isServing(now))
        return;
    for (const auto& id : std::exchange(m_awaitingDocument, {})) {
        if (auto it = m_flows.find(id); it != m_flows.end())
            begin(it->second, now);
    }
}

void ForwardLogic::begin(Flow& flow, Instant now)
{
    const auto& request = flow.request;
    flow.table = m_table;
    flow.route = m_table->find(normalisedHost(request.host), request.path);
    if (!flow.route)
        return refuse(flow, ResultCode::UnknownService, noRoute, now);
    if (!authenticate(flow, now))
        return;
    flow.deadline = flow.arrivedAt + std::min(request.callerTimeout.value_or(flow.route->timeout), flow.route->timeout);
    if (flow.deadline <= now)
        return refuse(flow, ResultCode::DeadlineUnreachable, "the deadline had passed when the request was received", now);
    flow.content = { request.fingerprint, request.promptParts };
    flow.lastEventId = request.resumeAfter;
    flow.stream = streamIdOf(accountOf(flow).value_or(""), request.resumedRequest.value_or(request.callerRequestId));
    m_effects.push_back(LogEvent { EventCode::RequestReceived, flow.id,
        flow.route->name + " document " + std::to_string(m_table->version()) + " tokens " + std::to_string(request.promptTokens) + "+"
            + std::to_string(request.outputTokens) + " expected " + std::to_string(expectedTokensOf(flow)) + " left "
            + std::to_string((flow.deadline - now) / 1ms) + " ms fingerprint " + toString(request.fingerprint) + partsText(request)
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
    tryConvicted(flow);
    if (refuseIfMayOutliveProcess(flow, now))
        return;
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
    // The first call of a stream was decided on when its request came: to refuse it now would waste its prefill.
    bool isDecided = flow.route->isStream && !flow.sends;
    if (!isDecided && refuseIfMayOutliveProcess(flow, now))
        return;
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
    if (refuseIfAllRest(flow, now))
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
/// capacity has less time left than others on its route, by the Retry-After at least. Smaller differences are no sign of a retry, as
/// timeouts differ at the first attempt too.
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
    return std::max(1u, static_cast<std::uint32_t>(usableConnectionShare * rule->maxConnections / m_gateways.value()));
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
    // A decode replica that prefills the prompt again delays the streams that run there. The prefill replica still caches most of it.
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
    scheduleWake(flow);
    return true;
}

void ForwardLogic::startCall(Flow& flow, const ReplicaTable::Choice& choice, Instant now)
{
    flow.attempt = flow.attempt.next();
    flow.isCalling = true;
    flow.replica = choice.run;
    flow.replicaAddress = choice.address;
    flow.sentAt = flow.lastEventAt = now;
    flow.answeringSince.reset();
    flow.isLeftToEnd = flow.hasHead = false;
    flow.body = {};
    flow.splitter.clear();
    noteBuffered(flow);
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

} // namespace wrenhinge
