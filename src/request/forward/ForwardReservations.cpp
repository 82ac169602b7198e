/** \file
 * The part of ForwardLogic that is about engines: a place at a decode replica first, then the prompt's prefill, then the run.
 */
#include "request/forward/ForwardLogic.h"

#include <algorithm>

namespace wrenhinge {

using namespace forward;

namespace {

    /// A place is set aside for at most this long: several times the longest prefill with its queue, so that it does not lapse
    /// while the prompt is read, and short enough that one which a lost gateway has taken is soon free again.
    constexpr Duration maxReservationLifetime = 1500ms;
    /// A replica that had no room is asked again after this long. Twelve replicas of a dozen streams of 4 s end one every 30 ms.
    constexpr Duration fullRetryInterval = 40ms;
    /// From the place to the first event, beside the prefill: transfer, the first tokens, the ways between.
    constexpr Duration overheadAfterPrefill = 120ms;
    constexpr Duration minPrefillEstimate = 130ms;
    /// Replicas that are asked to read one prompt. Where two refuse, something is wrong with more than one of them, and each further call
    /// draws on the budget of all.
    constexpr std::size_t maxPrefillReplicas = 2;
    /// When to come back after a surge was too much: spread over these, so that the return is no second surge.
    constexpr Duration maxOverloadRetryAfter = 4500ms;

} // namespace

// --- Places -----------------------------------------------------------------------------------------------------

/// \returns false if the service's replicas set nothing aside.
bool ForwardLogic::enqueueForReservation(Flow& flow, Instant now)
{
    const auto* rule = engineRule(flow);
    if (!rule || rule->engine.placeHold <= Duration::zero() || !flow.request.promptTokens)
        return false;
    // Without any decode replica there is nothing to wait for.
    if (!m_replicas.hasReady(flow.service, UpstreamKind::Decode))
        return false;
    flow.stage = Flow::Stage::Waiting;
    flow.waiter = ReservationQueue::makeWaiter(flow.id, rankOf(flow), flow.arrivedAt, admitBy(flow), now);
    m_queue.add(flow.waiter);
    m_shouldAdmit = true;
    return true;
}

/// The latest moment for a place that still lets the first event meet the target, which counts from the caller's first attempt.
Instant ForwardLogic::admitBy(const Flow& flow) const
{
    auto prefill = fromSeconds(m_replicas.meanSeconds(flow.service, UpstreamKind::Prefill));
    return flow.arrivedAt - timeSpentElsewhere(flow) + flow.route->target - overheadAfterPrefill - std::max(prefill, minPrefillEstimate);
}

void ForwardLogic::admitWaiting(Instant now)
{
    for (const auto& id : m_queue.inOrder(now)) {
        auto& flow = m_flows.at(id);
        auto criteria = criteriaOf(flow);
        criteria.excludeFull = true;
        if (auto choice = m_replicas.choose(criteria, {}, now)) {
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
    const auto& engine = engineRule(flow)->engine;
    if (const auto* room = m_replicas.rooms().find(choice.address)) {
        flow.reservationSidecar = room->sidecar;
        m_replicas.rooms().take(choice.address, flow.request.promptTokens);
        m_effects.push_back(ReserveAtSidecar { room->sidecar, flow.id, flow.attempt, flow.request.promptTokens, expectedTokensOf(flow),
            flow.request.outputTokens, engine.slots });
    } else {
        auto validFor = std::min(engine.placeHold, maxReservationLifetime);
        m_effects.push_back(ReserveAtReplica { flow.id, flow.attempt, choice.run, choice.address, reservedTokensOf(flow), validFor });
    }
    scheduleCheck(flow);
}

void ForwardLogic::on(const SidecarReservationReply& event, Instant now)
{
    auto* flow = current(event.id, event.attempt);
    if (!flow || flow->stage != Flow::Stage::Reserving)
        return;
    m_replicas.rooms().setTokens(flow->replicaAddress, event.room);
    if (event.isGranted)
        return on(ReservationGranted { event.id, event.attempt, "" }, now);
    flow->reservationSidecar.reset();
    on(ReservationRefused { event.id, event.attempt, true }, now);
}

void ForwardLogic::on(const EngineCapacityReported& event, Instant)
{
    bool isMore = m_replicas.rooms().tell(event.address, event.room);
    m_shouldAdmit = m_shouldAdmit || (isMore && m_queue.size());
}

/// Tells the sidecar that keeps the flow's place, if any, that it is of no use any more.
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

/// Back into the queue for places, where it was.
void ForwardLogic::requeue(Flow& flow)
{
    flow.stage = Flow::Stage::Waiting;
    m_queue.add(flow.waiter);
    m_shouldAdmit = true;
}

void ForwardLogic::refuseExpired(Instant now)
{
    for (const auto& id : m_queue.takeExpired(now)) {
        auto& flow = m_flows.at(id);
        refuseUntil(flow, ResultCode::Overloaded, "no decode replica has room in time", overloadRetryAfter(flow, now), now);
    }
}

Duration ForwardLogic::overloadRetryAfter(const Flow& flow, Instant now)
{
    auto spread = std::uniform_int_distribution<std::int64_t>(minOverloadRetryAfter.count(), maxOverloadRetryAfter.count())(m_random);
    return std::min<Duration>(Duration(spread), (flow.deadline - now) * 10 / 31);
}

void ForwardLogic::releaseReservation(Flow& flow)
{
    auto reservation = std::exchange(flow.reservation, std::nullopt);
    if (!reservation)
        return;
    m_replicas.release(reservation->replica, reservedTokensOf(flow));
    if (flow.reservationSidecar)
        endSidecarReservation(flow, false);
    else
        m_effects.push_back(ReleaseReservation { std::move(*reservation) });
}

/// Where the request runs: at its place, if that replica still takes work.
std::optional<ReplicaTable::Choice> ForwardLogic::chooseForRun(Flow& flow, Instant now)
{
    if (flow.kvSource && flow.kvSourceExpiresAt <= now)
        releaseKvSource(flow);
    if (flow.reservation && m_replicas.isReady(flow.reservation->replica))
        return ReplicaTable::Choice { flow.reservation->replica, flow.reservation->address };
    releaseReservation(flow);
    auto criteria = criteriaOf(flow);
    if (flow.kvSource)
        criteria.preferredZone = m_replicas.zoneOf(flow.kvSource->replica);
    return m_replicas.choose(criteria, flow.tried, now);
}

// --- Prefill ----------------------------------------------------------------------------------------------------

/// Has a prefill replica read the prompt. Decode replicas read at half the speed, in small pieces between the tokens of the
/// streams that run there, and hold those up: with prompts of 5,000 tokens at 13 a second over 7 decode replicas the first
/// event came after 1.8 s (median) when they read all prompts themselves, against a target of 0.9 s.
bool ForwardLogic::prefill(Flow& flow, Instant now)
{
    const auto* rule = engineRule(flow);
    if (!rule || rule->engine.promptHold <= Duration::zero() || !flow.request.promptTokens)
        return false;
    ReplicaTable::Criteria criteria;
    criteria.service = flow.service;
    criteria.kind = UpstreamKind::Prefill;
    criteria.tokens = criteria.promptTokens = flow.request.promptTokens;
    if (flow.reservation)
        criteria.preferredZone = m_replicas.zoneOf(flow.reservation->replica);
    criteria.cacheTokens = rule->engine.cacheTokens;
    criteria.maxCalls = callLimit(rule);
    // A prefill that is refused counts as a call beyond the first. After a restart of the whole site many replicas are remembered that have
    // started again under other ids; each gateway learns that of each of them by a refusal, and hundreds of requests by two.
    criteria.excludeOverdue = m_budget.left(flow.service, now) < 1;
    auto choice = m_replicas.choose(criteria, flow.triedPrefillReplicas, now);
    if (!choice)
        return false;
    flow.stage = Flow::Stage::Prefilling;
    flow.triedPrefillReplicas.insert(choice->run);
    startCall(flow, *choice, now);
    if (const auto* room = m_replicas.rooms().find(choice->address)) {
        flow.prefillSidecar = room->sidecar;
        m_replicas.rooms().addPrefill(choice->address, flow.request.promptTokens);
        m_effects.push_back(NotifyPrefill { room->sidecar, flow.id, flow.request.promptTokens, false });
    }
    Send send { flow.id, flow.attempt, choice->run, choice->address, flow.deadline - now, std::nullopt, true, std::nullopt, {}, {}, {} };
    send.account = accountOf(flow);
    m_effects.push_back(std::move(send));
    scheduleCheck(flow);
    return true;
}

void ForwardLogic::on(const PrefillFinished& event, Instant now)
{
    auto* flow = current(event.id, event.attempt);
    if (!flow)
        return;
    endCall(*flow, CallOutcome::Served, now);
    m_engineLoad.noteRead(flow->service, flow->request.promptTokens, now - flow->sentAt);
    m_effects.push_back(Note {
        EventCode::PrefillFinished, flow->id, toString(flow->replica) + " after " + std::to_string((now - flow->sentAt) / 1ms) + " ms" });
    flow->prefillReplica = flow->replica;
    flow->prefillReplicaAddress = flow->replicaAddress;
    flow->kvSource = KvCacheSource { flow->replica, flow->replicaAddress, event.handle };
    flow->kvSourceExpiresAt = now + engineRule(*flow)->engine.promptHold;
    runOrFail(*flow, now);
}

void ForwardLogic::on(const PrefillFailed& event, Instant now)
{
    auto* flow = current(event.id, event.attempt);
    if (!flow)
        return;
    endCall(*flow, event.isMisdirected ? CallOutcome::Misdirected : CallOutcome::Refused, now);
    // A prefill that is refused counts against the site's bound, the first one that is accepted does not. What was taken for the next one
    // instead left out the second of two refusals, and each first one while there was no budget for a second.
    if (event.wasNotAccepted)
        m_budget.charge(flow->service, now);
    bool isWithinBudget = m_budget.left(flow->service, now) >= 0;
    retryPrefillOrRun(*flow, event.wasNotAccepted && isWithinBudget && flow->triedPrefillReplicas.size() < maxPrefillReplicas, now);
}

/// A prefill that surely was not accepted, or whose replica has ended, is asked of another replica. Any other one that may have been
/// accepted is not: a second one would count as an attempt, and routes whose requests may run only once have no other. The decode replica
/// then reads the prompt itself, which is slower and holds up the streams that run there.
void ForwardLogic::retryPrefillOrRun(Flow& flow, bool mayBeAsked, Instant now)
{
    if (crashesReplicas(flow, now))
        return refuseAsCrashing(flow, now);
    if (!mayBeAsked || !prefill(flow, now))
        runOrFail(flow, now);
}

/// Before a request is sent once more: has its prompt read again if the replica that had read it started again meanwhile.
/// \returns false if there is nothing to read, or nobody to read it within the budget.
bool ForwardLogic::repeatPrefill(Flow& flow, Instant now)
{
    bool isNeeded = std::exchange(flow.hasLostKvCache, false) && !flow.hasStreamStarted;
    return isNeeded && m_budget.take(flow.service, now) && prefill(flow, now);
}

// --- How busy the engines are -----------------------------------------------------------------------------------

/// Starts the reports with the first work after an idle time.
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

/// The call that named the KV cache never reached the replica that it meant, so the cache is still there for another one.
void ForwardLogic::restoreKvSource(Flow& flow) { flow.kvSource = std::exchange(flow.sentKvSource, std::nullopt); }

void ForwardLogic::releaseKvSource(Flow& flow)
{
    if (auto source = std::exchange(flow.kvSource, std::nullopt))
        m_effects.push_back(ReleaseKvCache { std::move(*source) });
}

} // namespace wrenhinge
