/** \file
 * The part of ForwardLogic for engines: first a reservation at a decode replica, then the prefill, then the run.
 */
#include "request/forward/ForwardLogic.h"

#include <algorithm>

namespace wrenhinge {

using namespace forward;

namespace {

    /// Lifetime of a reservation at most: several times the longest prefill including its queueing, so that the reservation doesn't
    /// expire during the prefill, but short enough that one of a crashed gateway is soon free again.
    constexpr Duration maxReservationLifetime = 1500ms;
    /// A full replica is asked again after this long. Twelve replicas with a dozen streams of 4 s each end a stream every 30 ms.
    constexpr Duration fullRetryInterval = 40ms;
    /// Estimated time from the reservation to the first event, without the prefill: KV transfer, first tokens, network latency.
    constexpr Duration overheadAfterPrefill = 120ms;
    constexpr Duration minPrefillEstimate = 130ms;
    /// Maximum number of prefill replicas that are tried for one prompt. If two refuse, the problem isn't a single replica, and each
    /// further call uses up the shared retry budget.
    constexpr std::size_t maxPrefillReplicas = 2;
    /// Longest Retry-After during a surge. It is drawn at random between the shortest and this, so that the retries are no second surge.
    constexpr Duration maxOverloadRetryAfter = 4500ms;

} // namespace

// --- Reservations -----------------------------------------------------------------------------------------------

/// \returns false if the request needs no reservation, since the service has none or no decode replica is ready.
bool ForwardLogic::enqueueForReservation(Flow& flow, Instant now)
{
    const auto* rule = engineRule(flow);
    if (!rule || rule->engine.reservationTimeout <= Duration::zero() || !flow.request.promptTokens)
        return false;
    // Without any decode replica there is nothing to wait for.
    if (!m_replicas.hasReady(criteriaOf(flow)))
        return false;
    // Nor is there if all of them rest longer than the request can wait.
    if (auto end = m_replicas.allRestUntil(criteriaOf(flow), now); end && *end > admitBy(flow)) {
        refuseAsResting(flow, *end, now);
        return true;
    }
    flow.stage = Flow::Stage::Waiting;
    flow.waiter = ReservationQueue::makeWaiter(flow.id, rankOf(flow), flow.arrivedAt, admitBy(flow), now);
    m_queue.add(flow.waiter);
    m_shouldAdmit = true;
    scheduleWake(flow);
    return true;
}

/// The latest time for a reservation with which the first event can meet the target, which counts from the caller's first attempt.
Instant ForwardLogic::admitBy(const Flow& flow) const
{
    auto prefill = fromSeconds(m_replicas.meanSeconds(flow.service, UpstreamKind::Prefill));
    return flow.arrivedAt - timeSpentBefore(flow) + flow.route->target - overheadAfterPrefill - std::max(prefill, minPrefillEstimate);
}

void ForwardLogic::admitWaiting(Instant now)
{
    for (const auto& id : m_queue.inOrder(now)) {
        auto& flow = m_flows.at(id);
        auto criteria = criteriaOf(flow);
        criteria.excludeFull = true;
        if (auto choice = choose(flow, criteria, {}, now)) {
            m_queue.remove(id);
            requestReservation(flow, *choice, now);
        }
    }
    m_retryAdmissionAt = m_queue.size() ? now + fullRetryInterval : Instant::max();
}

void ForwardLogic::requestReservation(Flow& flow, const ReplicaTable::Choice& choice, Instant now)
{
    flow.stage = Flow::Stage::Reserving;
    startCall(flow, choice, now);
    m_limits.recordCall(choice.run, now);
    const auto& engine = engineRule(flow)->engine;
    if (const auto* headroom = m_replicas.engineHeadroom().find(choice.address)) {
        flow.reservationSidecar = headroom->sidecar;
        m_replicas.engineHeadroom().take(choice.address, flow.request.promptTokens);
        m_effects.push_back(ReserveAtSidecar { headroom->sidecar, flow.id, flow.attempt, flow.request.promptTokens, expectedTokensOf(flow),
            flow.request.outputTokens, engine.slots });
    } else {
        auto validFor = std::min(engine.reservationTimeout, maxReservationLifetime);
        m_effects.push_back(ReserveAtReplica { flow.id, flow.attempt, choice.run, choice.address, reservedTokensOf(flow), validFor });
    }
    scheduleWake(flow);
}

void ForwardLogic::on(const SidecarReservationReply& event, Instant now)
{
    auto* flow = current(event.id, event.attempt);
    if (!flow || flow->stage != Flow::Stage::Reserving)
        return;
    m_replicas.engineHeadroom().setTokens(flow->replicaAddress, event.headroom);
    if (event.isGranted)
        return on(ReservationGranted { event.id, event.attempt, "" }, now);
    flow->reservationSidecar.reset();
    m_limits.undoCall(flow->replica, now);
    on(ReservationRefused { event.id, event.attempt, true }, now);
}

void ForwardLogic::on(const EngineHeadroomReported& event, Instant)
{
    bool hasIncreased = m_replicas.engineHeadroom().update(event.address, event.headroom);
    m_shouldAdmit = m_shouldAdmit || (hasIncreased && m_queue.size());
}

/// Notifies the sidecar that holds the flow's reservation, if any, that the reservation ends.
void ForwardLogic::endSidecarReservation(Flow& flow, bool isComplete, bool hasFailed)
{
    if (auto sidecar = std::exchange(flow.reservationSidecar, std::nullopt))
        m_effects.push_back(EndSidecarReservation { *sidecar, flow.id, isComplete, hasFailed });
}

void ForwardLogic::on(const ReservationGranted& event, Instant now)
{
    auto* flow = current(event.id, event.attempt);
    if (!flow)
        return;
    endCall(*flow, CallOutcome::Abandoned, now);
    flow->reservationWait = now - flow->arrivedAt;
    flow->reservation = Reservation { flow->replica, flow->replicaAddress, event.reservation };
    m_replicas.reserve(flow->replica, reservedTokensOf(*flow));
    if (!prefill(*flow, now))
        runOrFail(*flow, now);
}

void ForwardLogic::on(const ReservationRefused& event, Instant now)
{
    auto* flow = current(event.id, event.attempt);
    if (!flow)
        return;
    endCall(*flow, event.wasReached ? CallOutcome::Abandoned : CallOutcome::Unreachable, now);
    m_replicas.noteFull(flow->replica, now + fullRetryInterval);
    requeue(*flow);
}

/// Puts the request back into the reservation queue with its former position.
void ForwardLogic::requeue(Flow& flow)
{
    flow.stage = Flow::Stage::Waiting;
    m_queue.add(flow.waiter);
    m_shouldAdmit = true;
    scheduleWake(flow);
}

void ForwardLogic::refuseExpired(Instant now)
{
    for (const auto& id : m_queue.takeExpired(now)) {
        auto& flow = m_flows.at(id);
        refuseUntil(flow, ResultCode::Overloaded, "no decode replica has capacity in time", overloadRetryAfter(flow, now), now);
    }
}

Duration ForwardLogic::overloadRetryAfter(const Flow& flow, Instant now)
{
    auto spread = std::uniform_int_distribution<std::int64_t>(minOverloadRetryAfter.count(), maxOverloadRetryAfter.count())(m_random);
    return std::min<Duration>(Duration(spread), (flow.deadline - now) * 10 / 31);
}

void ForwardLogic::releaseReservation(Flow& flow, Instant now)
{
    auto reservation = std::exchange(flow.reservation, std::nullopt);
    if (!reservation)
        return;
    m_replicas.release(reservation->replica, reservedTokensOf(flow));
    if (flow.reservationSidecar) {
        m_limits.undoCall(reservation->replica, now);
        endSidecarReservation(flow, false);
    } else if (m_replicas.takesCalls(reservation->replica, now)) {
        m_limits.recordCall(reservation->replica, now);
        m_effects.push_back(ReleaseReservation { std::move(*reservation) });
    }
}

/// Chooses the replica that runs the request: the one with the reservation, if it still accepts work.
std::optional<ReplicaTable::Choice> ForwardLogic::chooseForRun(Flow& flow, Instant now)
{
    if (flow.kvSource && flow.kvSourceExpiresAt <= now)
        releaseKvSource(flow, now);
    if (flow.reservation && m_replicas.takesCalls(flow.reservation->replica, now))
        return ReplicaTable::Choice { flow.reservation->replica, flow.reservation->address };
    releaseReservation(flow, now);
    auto criteria = criteriaOf(flow);
    if (flow.kvSource)
        criteria.preferredZone = m_replicas.zoneOf(flow.kvSource->replica);
    return choose(flow, criteria, flow.tried, now);
}

// --- Prefill ----------------------------------------------------------------------------------------------------

/// Starts the prefill at a prefill replica. Decode replicas prefill at half the speed, in small chunks between the tokens of the streams
/// that run there, which they delay: with 13 prompts of 5,000 tokens a second over 7 decode replicas, the median time to the first event
/// was 1.8 s when these prefilled all prompts themselves, with a target of 0.9 s. \returns whether a prefill was started.
bool ForwardLogic::prefill(Flow& flow, Instant now)
{
    const auto* rule = engineRule(flow);
    if (!rule || rule->engine.kvRetention <= Duration::zero() || !flow.request.promptTokens)
        return false;
    ReplicaTable::Criteria criteria;
    criteria.service = flow.service;
    criteria.kind = UpstreamKind::Prefill;
    criteria.tokens = criteria.promptTokens = flow.request.promptTokens;
    if (flow.reservation)
        criteria.preferredZone = m_replicas.zoneOf(flow.reservation->replica);
    criteria.cacheTokens = rule->engine.cacheTokens;
    criteria.maxCalls = callLimit(rule);
    // What follows a refused prefill is a retry. After a restart of the whole site, the gateways know many replicas that have restarted
    // under other ids, and each one is found out by a refusal.
    criteria.excludeOverdue = m_budget.remaining(flow.service, now) < 1;
    auto choice = choose(flow, criteria, flow.triedPrefillReplicas, now);
    if (!choice)
        return false;
    flow.stage = Flow::Stage::Prefilling;
    flow.triedPrefillReplicas.insert(choice->run);
    startCall(flow, *choice, now);
    m_limits.recordCall(choice->run, now);
    if (const auto* headroom = m_replicas.engineHeadroom().find(choice->address)) {
        flow.prefillSidecar = headroom->sidecar;
        m_replicas.engineHeadroom().addPrefill(choice->address, flow.request.promptTokens);
        m_effects.push_back(NotifyPrefill { headroom->sidecar, flow.id, flow.request.promptTokens, false });
    }
    Send send { flow.id, flow.attempt, choice->run, choice->address, flow.deadline - now, std::nullopt, true, std::nullopt, {}, {}, {} };
    send.account = accountOf(flow);
    m_effects.push_back(std::move(send));
    scheduleWake(flow);
    return true;
}

void ForwardLogic::on(const PrefillFinished& event, Instant now)
{
    auto* flow = current(event.id, event.attempt);
    if (!flow)
        return;
    endCall(*flow, CallOutcome::Served, now);
    m_engineLoad.recordPrefill(flow->service, flow->request.promptTokens, now - flow->sentAt);
    m_effects.push_back(LogEvent {
        EventCode::PrefillFinished, flow->id, toString(flow->replica) + " after " + std::to_string((now - flow->sentAt) / 1ms) + " ms" });
    flow->prefillReplica = flow->replica;
    flow->prefillReplicaAddress = flow->replicaAddress;
    flow->kvSource = KvCacheSource { flow->replica, flow->replicaAddress, event.handle };
    flow->kvSourceExpiresAt = now + engineRule(*flow)->engine.kvRetention;
    runOrFail(*flow, now);
}

void ForwardLogic::on(const PrefillFailed& event, Instant now)
{
    auto* flow = current(event.id, event.attempt);
    if (!flow)
        return;
    endCall(*flow, event.isMisdirected ? CallOutcome::Misdirected : CallOutcome::Refused, now);
    ++m_retryCounts.refusedPrefills;
    m_retryCounts.otherReplicas += event.isMisdirected;
    m_effects.push_back(LogEvent { EventCode::RequestRetried, flow->id,
        toString(flow->replica) + (event.isMisdirected ? " is another replica, asked for a prefill" : " refused the prefill") });
    // The refused prefill was the request's first call at the service, so whatever follows is a retry.
    if (event.wasNotAccepted && !takeRetry(*flow, now)) {
        auto code = flow->runs ? ResultCode::UpstreamFailed : ResultCode::Overloaded;
        return refuse(*flow, code, "a replica refused the prefill, and the retry budget is used up", now);
    }
    retryPrefillOrRun(*flow, event.wasNotAccepted && flow->triedPrefillReplicas.size() < maxPrefillReplicas, now);
}

/// Retries a prefill at another replica if it certainly wasn't accepted or its replica has ended (mayRetry). A prefill that may have
/// been accepted isn't retried: a second one would count as an attempt, and routes whose requests may run only once have no other. The
/// decode replica then runs the prefill itself, which is slower and delays the streams that run there.
void ForwardLogic::retryPrefillOrRun(Flow& flow, bool mayRetry, Instant now)
{
    if (crashesReplicas(flow, now))
        return refuseAsCrashing(flow, now);
    if (!mayRetry || !prefill(flow, now))
        runOrFail(flow, now);
}

/// Before a request is sent again: repeats the prefill if the replica that had run it has restarted meanwhile.
/// \returns false if that isn't needed, or not possible within the retry budget.
bool ForwardLogic::repeatPrefill(Flow& flow, Instant now)
{
    bool isNeeded = std::exchange(flow.hasLostKvCache, false) && !flow.hasStreamStarted;
    return isNeeded && takeRetry(flow, now) && prefill(flow, now);
}

// --- Load reports -----------------------------------------------------------------------------------------------

/// Starts the periodic reports with the first work after an idle period.
void ForwardLogic::scheduleLoadReport(Instant now)
{
    if (m_loadReportAt != Instant::max() || !m_engineLoad.hasWork())
        return;
    m_loadReportAt = now + loadReportInterval;
}

void ForwardLogic::reportLoad(Instant now)
{
    if (m_loadReportAt > now)
        return;
    m_loadReportAt = m_engineLoad.hasWork() ? now + loadReportInterval : Instant::max();
    m_effects.push_back(ReportLoad { m_engineLoad.take(now) });
}

/// The call with the KV cache source didn't reach its replica, so the cache wasn't fetched and can be used by another one.
void ForwardLogic::restoreKvSource(Flow& flow) { flow.kvSource = std::exchange(flow.sentKvSource, std::nullopt); }

void ForwardLogic::releaseKvSource(Flow& flow, Instant now)
{
    auto source = std::exchange(flow.kvSource, std::nullopt);
    // At a replica that rests, what isn't released expires.
    if (!source || !m_replicas.takesCalls(source->replica, now))
        return;
    m_limits.recordCall(source->replica, now);
    m_effects.push_back(ReleaseKvCache { std::move(*source) });
}

} // namespace wrenhinge
