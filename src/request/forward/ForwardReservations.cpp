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
    constexpr Duration placeValidFor = 1500ms;
    /// A replica that had no room is asked again after this long. Twelve replicas of a dozen streams of 4 s end one every 30 ms.
    constexpr Duration askFullAgainAfter = 40ms;
    /// From the place to the first event, beside the prefill: transfer, the first tokens, the ways between.
    constexpr Duration afterPrefill = 120ms;
    constexpr Duration usualPrefill = 130ms;
    /// Replicas that are asked to read one prompt. Where two refuse, something is wrong with more than one of them, and each further call
    /// draws on the budget of all.
    constexpr std::size_t prefillsAtMost = 2;
    /// When to come back after a surge was too much: spread over these, so that the return is no second surge.
    constexpr Duration latestReturn = 4500ms;

} // namespace

// --- Places -----------------------------------------------------------------------------------------------------

/// \returns false if the service's replicas set nothing aside.
bool ForwardLogic::waitForPlace(Flow& flow, Instant now)
{
    const auto* rule = engineRule(flow);
    if (!rule || rule->engine.reservationTimeout <= Duration::zero() || !flow.ask.promptTokens)
        return false;
    // Without any decode replica there is nothing to wait for.
    if (!m_replicas.hasReady(flow.service, UpstreamKind::Decode))
        return false;
    flow.stage = Flow::Stage::Waiting;
    flow.waiter = ReservationQueue::makeWaiter(flow.id, rankOf(flow), flow.arrivedAt, admitBy(flow), now);
    m_queue.add(flow.waiter);
    m_mayAdmit = true;
    return true;
}

/// The latest moment for a place that still lets the first event meet the target, which counts from the caller's first attempt.
Instant ForwardLogic::admitBy(const Flow& flow) const
{
    auto prefill = fromSeconds(m_replicas.meanSeconds(flow.service, UpstreamKind::Prefill));
    return flow.arrivedAt - spentBefore(flow) + flow.route->target - afterPrefill - std::max(prefill, usualPrefill);
}

void ForwardLogic::admitWaiting(Instant now)
{
    for (const auto& id : m_queue.inOrder(now)) {
        auto& flow = m_flows.at(id);
        auto need = needOf(flow);
        need.excludeFull = true;
        if (auto choice = m_replicas.choose(need, {}, now)) {
            m_queue.remove(id);
            takePlace(flow, *choice, now);
        }
    }
    m_admitAt = m_queue.size() ? now + askFullAgainAfter : Instant::max();
}

void ForwardLogic::takePlace(Flow& flow, const ReplicaTable::Choice& choice, Instant now)
{
    flow.stage = Flow::Stage::TakingPlace;
    startCall(flow, choice, now);
    const auto& engine = engineRule(flow)->engine;
    if (const auto* room = m_replicas.rooms().find(choice.address)) {
        flow.reservedBy = room->sidecar;
        m_replicas.rooms().take(choice.address, flow.ask.promptTokens);
        m_effects.push_back(ReserveAtSidecar {
            room->sidecar, flow.id, flow.attempt, flow.ask.promptTokens, expectedTokensOf(flow), flow.ask.outputTokens, engine.slots });
    } else {
        auto validFor = std::min(engine.reservationTimeout, placeValidFor);
        m_effects.push_back(ReserveAtReplica { flow.id, flow.attempt, choice.run, choice.address, tokensOf(flow), validFor });
    }
    scheduleCheck(flow);
}

void ForwardLogic::on(const SidecarReservationReply& event, Instant now)
{
    auto* flow = current(event.id, event.attempt);
    if (!flow || flow->stage != Flow::Stage::TakingPlace)
        return;
    m_replicas.rooms().setTokens(flow->replicaAddress, event.room);
    if (event.isGranted)
        return on(ReservationGranted { event.id, event.attempt, "" }, now);
    flow->reservedBy.reset();
    on(ReservationRefused { event.id, event.attempt, true }, now);
}

void ForwardLogic::on(const EngineCapacityReported& event, Instant)
{
    bool isMore = m_replicas.rooms().update(event.address, event.room);
    m_mayAdmit = m_mayAdmit || (isMore && m_queue.size());
}

/// Tells the sidecar that keeps the flow's place, if any, that it is of no use any more.
void ForwardLogic::endReservation(Flow& flow, bool isComplete, bool hasFailed)
{
    if (auto sidecar = std::exchange(flow.reservedBy, std::nullopt))
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
    m_replicas.reserve(flow->replica, tokensOf(*flow));
    if (!prefill(*flow, now))
        runOrFail(*flow, now);
}

void ForwardLogic::on(const ReservationRefused& event, Instant now)
{
    auto* flow = current(event.id, event.attempt);
    if (!flow)
        return;
    endCall(*flow, event.wasReached ? CallOutcome::Abandoned : CallOutcome::Unreachable, now);
    m_replicas.noteFull(flow->replica, now + askFullAgainAfter);
    waitAgain(*flow);
}

/// Back into the queue for places, where it was.
void ForwardLogic::waitAgain(Flow& flow)
{
    flow.stage = Flow::Stage::Waiting;
    m_queue.add(flow.waiter);
    m_mayAdmit = true;
}

void ForwardLogic::refuseLeaving(Instant now)
{
    for (const auto& id : m_queue.takeExpired(now)) {
        auto& flow = m_flows.at(id);
        refuseUntil(flow, ResultCode::Overloaded, "no decode replica has room in time", returnAfterSurge(flow, now), now);
    }
}

Duration ForwardLogic::returnAfterSurge(const Flow& flow, Instant now)
{
    auto spread = std::uniform_int_distribution<std::int64_t>(minOverloadRetryAfter.count(), latestReturn.count())(m_random);
    return std::min<Duration>(Duration(spread), (flow.endsAt - now) * 10 / 31);
}

void ForwardLogic::dropPlace(Flow& flow)
{
    auto reservation = std::exchange(flow.reservation, std::nullopt);
    if (!reservation)
        return;
    m_replicas.release(reservation->replica, tokensOf(flow));
    if (flow.reservedBy)
        endReservation(flow, false);
    else
        m_effects.push_back(ReleaseReservation { std::move(*reservation) });
}

/// Where the request runs: at its place, if that replica still takes work.
std::optional<ReplicaTable::Choice> ForwardLogic::chooseForRun(Flow& flow, Instant now)
{
    if (flow.source && flow.sourceEndsAt <= now)
        dropSource(flow);
    if (flow.reservation && m_replicas.isReady(flow.reservation->replica))
        return ReplicaTable::Choice { flow.reservation->replica, flow.reservation->address };
    dropPlace(flow);
    auto need = needOf(flow);
    if (flow.source)
        need.preferredZone = m_replicas.zoneOf(flow.source->replica);
    return m_replicas.choose(need, flow.tried, now);
}

// --- Prefill ----------------------------------------------------------------------------------------------------

/// Has a prefill replica read the prompt. Decode replicas read at half the speed, in small pieces between the tokens of the
/// streams that run there, and hold those up: with prompts of 5,000 tokens at 13 a second over 7 decode replicas the first
/// event came after 1.8 s (median) when they read all prompts themselves, against a target of 0.9 s.
bool ForwardLogic::prefill(Flow& flow, Instant now)
{
    const auto* rule = engineRule(flow);
    if (!rule || rule->engine.kvRetention <= Duration::zero() || !flow.ask.promptTokens)
        return false;
    ReplicaTable::Criteria need;
    need.service = flow.service;
    need.kind = UpstreamKind::Prefill;
    need.tokens = need.promptTokens = flow.ask.promptTokens;
    if (flow.reservation)
        need.preferredZone = m_replicas.zoneOf(flow.reservation->replica);
    need.cacheTokens = rule->engine.cacheTokens;
    need.maxCalls = callLimit(rule);
    // A prefill that is refused counts as a call beyond the first. After a restart of the whole site many replicas are remembered that have
    // started again under other ids; each gateway learns that of each of them by a refusal, and hundreds of requests by two.
    need.excludeOverdue = m_budget.remaining(flow.service, now) < 1;
    auto choice = m_replicas.choose(need, flow.triedReaders, now);
    if (!choice)
        return false;
    flow.stage = Flow::Stage::Prefilling;
    flow.triedReaders.insert(choice->run);
    startCall(flow, *choice, now);
    if (const auto* room = m_replicas.rooms().find(choice->address)) {
        flow.readsBeside = room->sidecar;
        m_replicas.rooms().addPrefill(choice->address, flow.ask.promptTokens);
        m_effects.push_back(NotifyPrefill { room->sidecar, flow.id, flow.ask.promptTokens, false });
    }
    Send send { flow.id, flow.attempt, choice->run, choice->address, flow.endsAt - now, std::nullopt, true, std::nullopt, {}, {}, {} };
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
    m_engineLoad.recordPrefill(flow->service, flow->ask.promptTokens, now - flow->sentAt);
    m_effects.push_back(LogEvent {
        EventCode::PrefillFinished, flow->id, toString(flow->replica) + " after " + std::to_string((now - flow->sentAt) / 1ms) + " ms" });
    flow->reader = flow->replica;
    flow->readerAddress = flow->replicaAddress;
    flow->source = KvCacheSource { flow->replica, flow->replicaAddress, event.handle };
    flow->sourceEndsAt = now + engineRule(*flow)->engine.kvRetention;
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
    bool isWithinBudget = m_budget.remaining(flow->service, now) >= 0;
    prefillElsewhere(*flow, event.wasNotAccepted && isWithinBudget && flow->triedReaders.size() < prefillsAtMost, now);
}

/// A prefill that surely was not accepted, or whose replica has ended, is asked of another replica. Any other one that may have been
/// accepted is not: a second one would count as an attempt, and routes whose requests may run only once have no other. The decode replica
/// then reads the prompt itself, which is slower and holds up the streams that run there.
void ForwardLogic::prefillElsewhere(Flow& flow, bool mayBeAsked, Instant now)
{
    if (crashesReplicas(flow, now))
        return refuseAsCrashing(flow, now);
    if (!mayBeAsked || !prefill(flow, now))
        runOrFail(flow, now);
}

/// Before a request is sent once more: has its prompt read again if the replica that had read it started again meanwhile.
/// \returns false if there is nothing to read, or nobody to read it within the budget.
bool ForwardLogic::prefillAgain(Flow& flow, Instant now)
{
    bool isNeeded = std::exchange(flow.hasLostPrompt, false) && !flow.hasBegun;
    return isNeeded && m_budget.take(flow.service, now) && prefill(flow, now);
}

// --- How busy the engines are -----------------------------------------------------------------------------------

/// Starts the reports with the first work after an idle time.
void ForwardLogic::scheduleReport(Instant now)
{
    if (m_reportAt != Instant::max() || !m_engineLoad.hasWork())
        return;
    m_reportAt = now + loadReportInterval;
}

void ForwardLogic::reportLoad(Instant now)
{
    if (m_reportAt > now)
        return;
    m_reportAt = m_engineLoad.hasWork() ? now + loadReportInterval : Instant::max();
    m_effects.push_back(ReportLoad { m_engineLoad.take(now) });
}

/// The call that named the KV cache never reached the replica that it meant, so the cache is still there for another one.
void ForwardLogic::takeSourceBack(Flow& flow) { flow.source = std::exchange(flow.sentSource, std::nullopt); }

void ForwardLogic::dropSource(Flow& flow)
{
    if (auto source = std::exchange(flow.source, std::nullopt))
        m_effects.push_back(ReleaseKvCache { std::move(*source) });
}

} // namespace wrenhinge
