#include "request/sidecar/SidecarLogic.h"

#include <algorithm>

namespace wrenhinge {

namespace {

    /// Admission decisions on waiting work depend on the time; they are re-evaluated at this interval.
    constexpr Duration recheckInterval = 5ms;

} // namespace

SidecarLogic::SidecarLogic(SidecarOptions options)
    : m_options(std::move(options))
    , m_follower(m_options.safeguards.neverStepsBack)
    , m_decode(m_options.slots, m_options.resultLife)
    , m_queue(m_options.slots, m_options.initialCost)
    , m_ledger(m_options.keptAnswerLimit, m_options.safeguards.honoursSeals)
{
}

SidecarLogic::Effects SidecarLogic::step(const sidecar::Event& event, Instant now)
{
    m_effects.clear();
    std::visit([this, now](const auto& e) { on(e, now); }, event);
    return std::move(m_effects);
}

Instant SidecarLogic::nextWake() const
{
    bool isWaiting = !m_waiting.empty() || !m_ready.empty();
    return isWaiting ? std::min(m_nextAnnounce, m_lastSchedule + recheckInterval) : m_nextAnnounce;
}

bool SidecarLogic::isDraining() const { return m_isShuttingDown || configuration().isDrained(m_options.service, m_options.replica); }

// --- Events -----------------------------------------------------------------------------------------------------

void SidecarLogic::on(const sidecar::PeerUp& event, Instant now)
{
    if (event.peer.role == Role::Gateway) {
        m_gateways[event.peer.id] = {};
        announce(event.peer.id, load(event.peer.id, now));
        sendAll(m_follower.onPeerUp(event.peer.id, now));
    }
    if (event.peer.role == Role::Controller)
        sendAll(m_follower.onControllerUp(event.peer.id, now));
}

/// A disconnected gateway can't forward answers. All its work is released, except non-repeatable calls that have started:
/// they run to completion, and a resend queries their outcome.
void SidecarLogic::on(const sidecar::PeerDown& event, Instant now)
{
    m_follower.onControllerDown(event.peer);
    if (!m_gateways.erase(event.peer) || !m_options.safeguards.releasesForLostGateway)
        return;
    std::vector<WorkKey> held;
    for (const auto& [key, work] : m_work) {
        if (work.gateway == event.peer)
            held.push_back(key);
    }
    for (const auto& key : held)
        release(key, now);
    schedule(now);
}

void SidecarLogic::on(const sidecar::PeerMessage& event, Instant now)
{
    std::visit(
        [&](const auto& message) {
            if constexpr (requires { onMessage(event.peer, message, now); })
                onMessage(event.peer, message, now);
        },
        event.message);
}

void SidecarLogic::on(const sidecar::CallHead& event, Instant now)
{
    auto* work = findWork(event.call);
    if (!work)
        return;
    observeLimit(event.rateLimit, work->started, now);
    observeRest(event.rest, now);
    work->answer.status = event.status;
    work->answer.headers = event.headers;
    if (!work->detached)
        send(work->gateway, ResponseHead { work->key.request, work->key.attempt, event.status, event.headers });
}

void SidecarLogic::observeRest(std::optional<Duration> rest, Instant now)
{
    if (!rest)
        return;
    m_rateLimit.rest(now + *rest);
    m_effects.push_back(LogEvent { EventCode::UpstreamRests, {}, "the upstream for " + std::to_string(*rest / 1ms) + " ms" });
}

void SidecarLogic::observeLimit(const StatedRateLimit& stated, Instant calledAt, Instant now)
{
    if (!m_rateLimit.observe(stated, calledAt, now))
        return;
    const auto& limit = m_rateLimit.limit();
    m_effects.push_back(LogEvent { limit ? EventCode::UpstreamRateLimited : EventCode::UpstreamRateLimitLifted, {},
        limit ? "the upstream takes " + std::to_string(*limit) + " requests per second"
              : "the upstream states no request rate limit any more" });
}

void SidecarLogic::on(const sidecar::CallData& event, Instant now)
{
    auto* work = findWork(event.call);
    if (!work)
        return;
    if (!work->ledgerKey.empty() && work->answer.body.size() <= m_options.keptAnswerLimit)
        work->answer.body += event.bytes;
    observeTokens(*work, event.tokens, now);
    if (!work->detached)
        send(work->gateway, ResponseData { work->key.request, work->key.attempt, work->sentBytes, event.bytes, event.tokens });
    work->sentBytes += event.bytes.size();
}

void SidecarLogic::on(const sidecar::CallEnd& event, Instant now)
{
    if (auto* work = findWork(event.call)) {
        finish(*work, now);
        schedule(now);
    }
}

void SidecarLogic::on(const sidecar::CallPrefilled& event, Instant now)
{
    auto* work = findWork(event.call);
    if (!work) {
        // Cancelled before the prefill's answer arrived: no decode engine will fetch the result, so release it now.
        releaseResult(event.kvParams, now);
        return;
    }
    observeLimit(event.rateLimit, work->started, now);
    m_queue.observe(*work, now);
    m_calls.erase(event.call);
    work->stage = WorkStage::HoldsResult;
    work->stageExpiresAt = now + m_options.resultLife;
    work->kvParams = event.kvParams;
    send(work->gateway, PrefillDone { work->key.request, work->key.attempt, event.kvParams, event.cachedTokens, load(work->gateway, now) });
    schedule(now);
}

void SidecarLogic::on(const sidecar::CallFailed& event, Instant now)
{
    observeRest(event.rest, now);
    auto* work = findWork(event.call);
    if (!work)
        return;
    auto key = work->key;
    if (!work->ledgerKey.empty()) {
        if (event.mayHaveRun)
            m_ledger.markBroken(work->ledgerKey, key.attempt);
        else
            m_ledger.withdraw(work->ledgerKey, key.attempt);
    }
    auto gateway = work->gateway;
    bool hasReceiver = !work->detached;
    m_calls.erase(event.call);
    m_work.erase(key);
    if (hasReceiver)
        send(gateway, Failed { key.request, key.attempt, event.code, event.mayHaveRun, load(gateway, now), event.isDisconnected });
    schedule(now);
}

void SidecarLogic::on(const sidecar::Drain&, Instant now)
{
    m_isShuttingDown = true;
    announceAll(now);
    schedule(now);
}

void SidecarLogic::on(const sidecar::Tick&, Instant now)
{
    sendAll(m_follower.tick(now));
    if (now >= m_nextAnnounce)
        announceAll(now);
    schedule(now);
}

// --- Messages ---------------------------------------------------------------------------------------------------

bool SidecarLogic::isDuplicate(PeerId from, std::uint64_t sequence, const WorkKey& key)
{
    auto it = m_gateways.find(from);
    // The gateway is not (or no longer) connected, so no answer could be sent.
    if (it == m_gateways.end() || m_work.contains(key))
        return true;
    if (sequence <= it->second.covered && m_options.safeguards.dropsDuplicates)
        return true;
    it->second.covered = sequence;
    return false;
}

Work& SidecarLogic::addWork(PeerId from, const WorkKey& key, Priority priority, Duration budget, Instant now)
{
    Work work;
    work.key = key;
    work.gateway = from;
    work.priority = priority;
    work.arrivalOrder = ++m_arrivals;
    work.arrived = now;
    work.deadline = now + budget;
    work.call.request = key.request;
    work.call.kind = m_options.kind;
    work.call.priority = priority;
    return m_work.emplace(key, std::move(work)).first->second;
}

void SidecarLogic::onMessage(PeerId from, const SlotRequest& m, Instant now)
{
    WorkKey key { m.request, m.attempt };
    if (m_options.kind != UpstreamKind::Decode || isDuplicate(from, m.sequence, key))
        return;
    auto& work = addWork(from, key, m.priority, m.budget, now);
    work.leadTime = m.leadTime;
    if (m.priority == Priority::Urgent)
        m_decode.recordUrgentArrival(now);
    work.promptTokens = m.promptTokens;
    work.maxTokens = m.maxTokens;
    queueOrRefuse(work, now);
}

void SidecarLogic::onMessage(PeerId from, const PrefillRequest& m, Instant now)
{
    WorkKey key { m.request, m.attempt };
    if (m_options.kind != UpstreamKind::Prefill || isDuplicate(from, m.sequence, key))
        return;
    auto& work = addWork(from, key, m.priority, m.budget, now);
    work.cost = m.promptTokens > m.cachedTokens ? m.promptTokens - m.cachedTokens : 0;
    work.promptTokens = m.promptTokens;
    work.call.method = "POST";
    work.call.path = m.path;
    work.call.body = m.body;
    queueOrRefuse(work, now);
}

void SidecarLogic::onMessage(PeerId from, const DecodeRequest& m, Instant now)
{
    WorkKey key { m.request, m.attempt };
    auto it = m_work.find(key);
    bool isGranted = it != m_work.end() && it->second.stage == WorkStage::Granted;
    if (m_options.kind != UpstreamKind::Decode || (!isGranted && isDuplicate(from, m.sequence, key)))
        return;
    if (isGranted && m_gateways.contains(from))
        m_gateways[from].covered = std::max(m_gateways[from].covered, m.sequence);
    auto& work = isGranted ? it->second : addWork(from, key, m.priority, m.budget, now);
    work.deadline = now + m.targetWait;
    work.promptTokens = m.promptTokens;
    work.maxTokens = m.maxTokens;
    work.call.method = "POST";
    work.call.path = m.path;
    work.call.body = m.body;
    work.call.kvParams = m.kvParams;
    bool isPossible = isGranted || (!isDraining() && m_rateLimit.mayCall(now) && m_decode.mayAdmitWithoutGrant(m_work, work, now));
    if (!isPossible) {
        refuse(key, isDraining() ? ResultCode::Draining : ResultCode::Overloaded, now);
        return;
    }
    if (!isGranted)
        m_rateLimit.recordCall(now);
    work.stage = WorkStage::Ready;
    work.stageExpiresAt = now + m.budget;
    m_ready.add(work);
    schedule(now);
}

void SidecarLogic::onMessage(PeerId from, const Dispatch& m, Instant now)
{
    WorkKey key { m.request, m.attempt };
    if (m_options.kind != UpstreamKind::Plain || isDuplicate(from, m.sequence, key))
        return;
    bool isForThisRun = m.incarnation == m_options.self || !m_options.safeguards.refusesOtherIncarnation;
    if (!isForThisRun || (!m.key.empty() && !m_ledger.admit(m.key, m.attempt))) {
        // Addressed to an earlier run of this sidecar, or of a sealed attempt: it must never run here.
        note(EventCode::WorkRefused, key, isForThisRun ? "attempt is sealed" : "dispatch is addressed to another run of this sidecar");
        send(from, Refused { m.request, m.attempt, ResultCode::Superseded, minRetryAfter, load(from, now) });
        return;
    }
    auto& work = addWork(from, key, m.priority, m.budget, now);
    work.repeatable = m.repeatable;
    work.ledgerKey = m.key;
    work.call.method = m.method;
    work.call.path = m.target;
    work.call.headers = m.headers;
    work.call.body = m.body;
    queueOrRefuse(work, now);
}

void SidecarLogic::onMessage(PeerId, const Cancel& m, Instant now)
{
    WorkKey key { m.request, m.attempt };
    if (m_work.contains(key)) {
        release(key, now);
        schedule(now);
    }
}

void SidecarLogic::onMessage(PeerId from, const Seal& m, Instant)
{
    auto reply = m_ledger.seal(m);
    note(EventCode::AttemptSealed, { m.request, m.attempt },
        reply.state == AttemptState::NeverAdmitted ? "attempt sealed before admission" : "attempt was already admitted");
    send(from, std::move(reply));
}

void SidecarLogic::onMessage(PeerId from, const ConfigDelta& m, Instant now)
{
    bool wasDraining = isDraining();
    sendAll(m_follower.onDelta(from, m));
    updateObjective();
    if (isDraining() != wasDraining)
        announceAll(now);
    schedule(now);
}

void SidecarLogic::onMessage(PeerId from, const Watch& m, Instant) { sendAll(m_follower.onWatch(from, m)); }

// --- Announcements ----------------------------------------------------------------------------------------------

LoadReport SidecarLogic::load(PeerId gateway, Instant now) const
{
    LoadReport report;
    report.covered = coveredFor(gateway);
    report.slots = m_options.slots;
    report.queued = static_cast<std::uint32_t>(m_waiting.size() + m_ready.size());
    report.draining = isDraining();
    bool isDecode = m_options.kind == UpstreamKind::Decode;
    Duration oldestStart {};
    for (const auto& [key, work] : m_work) {
        bool isStarting = isDecode && work.stage == WorkStage::Running && !work.producedTokens;
        oldestStart = isStarting ? std::max(oldestStart, now - work.started) : oldestStart;
        bool holdsSlot = work.stage == WorkStage::Running || work.stage == WorkStage::Granted || work.stage == WorkStage::Ready;
        report.occupied += holdsSlot ? 1 : 0;
    }
    const auto& cost = isDecode ? m_decode.startCost() : m_queue.cost();
    // The cost model learns of a stalled transfer only when it ends; the time it has taken so far is a lower bound now.
    report.fixedCost = std::max(cost.fixed(), oldestStart);
    report.microsPerToken = cost.microsPerUnit();
    report.meanHold = isDecode ? m_decode.meanHold() : m_queue.meanHold();
    report.tokenInterval = isDecode ? m_decode.tokenInterval() : Duration::zero();
    report.backlog = isDecode ? m_decode.predictedWait(m_work, Priority::Normal, now) : m_queue.backlog(m_work, Priority::Normal, now);
    report.urgentBacklog
        = isDecode ? m_decode.predictedWait(m_work, Priority::Urgent, now) : m_queue.backlog(m_work, Priority::Urgent, now);
    // Queued work of any priority waits for the limit in turn; only urgent work passes by the rest.
    report.backlog = std::max(report.backlog, m_rateLimit.waitFor(m_waiting.size(), now));
    report.urgentBacklog = std::max(report.urgentBacklog, m_rateLimit.waitFor(0, now));
    return report;
}

std::uint64_t SidecarLogic::coveredFor(PeerId gateway) const
{
    auto it = m_gateways.find(gateway);
    return it == m_gateways.end() ? 0 : it->second.covered;
}

void SidecarLogic::announce(PeerId gateway, const LoadReport& report)
{
    send(gateway, UpstreamAnnouncement { m_options.service, m_options.kind, m_options.model, m_options.lease, report });
}

void SidecarLogic::announceAll(Instant now)
{
    m_nextAnnounce = now + m_options.announceEvery;
    // The predictions are the expensive part of a report and are the same for all gateways, so compute them once.
    auto report = load({}, now);
    for (const auto& [gateway, state] : m_gateways) {
        report.covered = state.covered;
        announce(gateway, report);
    }
}

void SidecarLogic::updateObjective()
{
    if (const auto* rules = configuration().service(m_options.service))
        m_decode.setObjective({ rules->weightGoodput, rules->weightWaste });
}

void SidecarLogic::send(PeerId to, Message message) { m_effects.push_back(sidecar::Send { to, std::move(message) }); }

void SidecarLogic::sendAll(ConfigFollower::Sends sends)
{
    for (auto& [to, message] : sends)
        send(to, std::move(message));
}

void SidecarLogic::note(EventCode code, const WorkKey& key, std::string text)
{
    m_effects.push_back(LogEvent { code, key.request, std::move(text) });
}

} // namespace wrenhinge
