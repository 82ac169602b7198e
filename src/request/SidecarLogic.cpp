#include "request/SidecarLogic.h"

#include <algorithm>

namespace wrenhinge {

namespace {

    /// While work waits, chances change with time alone; look again this often.
    constexpr Duration recheckEvery = 5ms;
    constexpr Duration shortestRetryAfter = 50ms;

} // namespace

SidecarLogic::SidecarLogic(SidecarProfile profile)
    : m_profile(std::move(profile))
    , m_follower(m_profile.safeguards.neverStepsBack)
    , m_decode(m_profile.slots, m_profile.resultLife)
    , m_queue(m_profile.slots, m_profile.costGuess)
    , m_ledger(m_profile.keptAnswerLimit, m_profile.safeguards.honoursSeals)
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
    return isWaiting ? std::min(m_nextAnnounce, m_lastPump + recheckEvery) : m_nextAnnounce;
}

bool SidecarLogic::isDraining() const { return m_leaving || configuration().isDrained(m_profile.service, m_profile.replica); }

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

/// A gateway that is gone can't pass answers on. All it held is released, but a non-repeatable call that was sent runs on:
/// its outcome is asked for by the resend.
void SidecarLogic::on(const sidecar::PeerDown& event, Instant now)
{
    m_follower.onControllerDown(event.peer);
    if (!m_gateways.erase(event.peer) || !m_profile.safeguards.releasesForLostGateway)
        return;
    std::vector<WorkKey> held;
    for (const auto& [key, work] : m_work) {
        if (work.gateway == event.peer)
            held.push_back(key);
    }
    for (const auto& key : held)
        release(key, now);
    pump(now);
}

void SidecarLogic::on(const sidecar::FromPeer& event, Instant now)
{
    std::visit(
        [&](const auto& message) {
            if constexpr (requires { onMessage(event.peer, message, now); })
                onMessage(event.peer, message, now);
        },
        event.message);
}

void SidecarLogic::on(const sidecar::CallHead& event, Instant)
{
    auto* work = workOf(event.call);
    if (!work)
        return;
    work->answer.status = event.status;
    work->answer.headers = event.headers;
    if (!work->detached)
        send(work->gateway, ResponseHead { work->key.request, work->key.attempt, event.status, event.headers });
}

void SidecarLogic::on(const sidecar::CallData& event, Instant now)
{
    auto* work = workOf(event.call);
    if (!work)
        return;
    if (!work->ledgerKey.empty() && work->answer.body.size() <= m_profile.keptAnswerLimit)
        work->answer.body += event.bytes;
    observeTokens(*work, event.tokens, now);
    if (!work->detached)
        send(work->gateway, ResponseData { work->key.request, work->key.attempt, work->sentBytes, event.bytes, event.tokens });
    work->sentBytes += event.bytes.size();
}

void SidecarLogic::on(const sidecar::CallEnd& event, Instant now)
{
    if (auto* work = workOf(event.call)) {
        finish(*work, now);
        pump(now);
    }
}

void SidecarLogic::on(const sidecar::CallPrefilled& event, Instant now)
{
    auto* work = workOf(event.call);
    if (!work) {
        // Cancelled while the answer was on its way: nobody will fetch the result, so free it at once.
        m_effects.push_back(sidecar::ReleaseResult { event.kvParams });
        return;
    }
    m_queue.observe(*work, now);
    m_calls.erase(event.call);
    work->stage = WorkStage::HoldsResult;
    work->stageEnds = now + m_profile.resultLife;
    work->kvParams = event.kvParams;
    send(work->gateway, PrefillDone { work->key.request, work->key.attempt, event.kvParams, event.cachedTokens, load(work->gateway, now) });
    pump(now);
}

void SidecarLogic::on(const sidecar::CallFailed& event, Instant now)
{
    auto* work = workOf(event.call);
    if (!work)
        return;
    auto key = work->key;
    if (!work->ledgerKey.empty()) {
        if (event.mayHaveRun)
            m_ledger.breakOff(work->ledgerKey, key.attempt);
        else
            m_ledger.withdraw(work->ledgerKey, key.attempt);
    }
    auto gateway = work->gateway;
    bool answer = !work->detached;
    m_calls.erase(event.call);
    m_work.erase(key);
    if (answer)
        send(gateway, Failed { key.request, key.attempt, event.code, event.mayHaveRun, load(gateway, now) });
    pump(now);
}

void SidecarLogic::on(const sidecar::Drain&, Instant now)
{
    m_leaving = true;
    announceAll(now);
    pump(now);
}

void SidecarLogic::on(const sidecar::Tick&, Instant now)
{
    sendAll(m_follower.tick(now));
    if (now >= m_nextAnnounce)
        announceAll(now);
    pump(now);
}

// --- Messages ---------------------------------------------------------------------------------------------------

bool SidecarLogic::isDuplicate(PeerId from, std::uint64_t sequence, const WorkKey& key)
{
    auto it = m_gateways.find(from);
    // A message of a gateway that is not linked (any more) has nobody to answer to.
    if (it == m_gateways.end() || m_work.contains(key))
        return true;
    if (sequence <= it->second.covered && m_profile.safeguards.dropsDuplicates)
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
    work.order = ++m_arrivals;
    work.arrived = now;
    work.deadline = now + budget;
    work.call.request = key.request;
    work.call.kind = m_profile.kind;
    work.call.priority = priority;
    return m_work.emplace(key, std::move(work)).first->second;
}

void SidecarLogic::onMessage(PeerId from, const SlotRequest& m, Instant now)
{
    WorkKey key { m.request, m.attempt };
    if (m_profile.kind != UpstreamKind::Decode || isDuplicate(from, m.sequence, key))
        return;
    auto& work = addWork(from, key, m.priority, m.budget, now);
    work.leadTime = m.leadTime;
    if (m.priority == Priority::Urgent)
        m_decode.noteUrgent(now);
    work.promptTokens = m.promptTokens;
    work.maxTokens = m.maxTokens;
    queueOrRefuse(work, now);
}

void SidecarLogic::onMessage(PeerId from, const PrefillRequest& m, Instant now)
{
    WorkKey key { m.request, m.attempt };
    if (m_profile.kind != UpstreamKind::Prefill || isDuplicate(from, m.sequence, key))
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
    if (m_profile.kind != UpstreamKind::Decode || (!isGranted && isDuplicate(from, m.sequence, key)))
        return;
    if (isGranted && m_gateways.contains(from))
        m_gateways[from].covered = std::max(m_gateways[from].covered, m.sequence);
    auto& work = isGranted ? it->second : addWork(from, key, m.priority, m.budget, now);
    work.deadline = now + m.timeliness;
    work.promptTokens = m.promptTokens;
    work.maxTokens = m.maxTokens;
    work.call.method = "POST";
    work.call.path = m.path;
    work.call.body = m.body;
    work.call.kvParams = m.kvParams;
    if (!isGranted && (isDraining() || !m_decode.mayJoin(m_work, work, now))) {
        refuse(key, isDraining() ? ResultCode::Draining : ResultCode::Overloaded, now);
        return;
    }
    work.stage = WorkStage::Ready;
    work.stageEnds = now + m.budget;
    m_ready.add(work);
    pump(now);
}

void SidecarLogic::onMessage(PeerId from, const Dispatch& m, Instant now)
{
    WorkKey key { m.request, m.attempt };
    if (m_profile.kind != UpstreamKind::Plain || isDuplicate(from, m.sequence, key))
        return;
    bool isMeantForUs = m.incarnation == m_profile.self || !m_profile.safeguards.refusesOtherIncarnation;
    if (!isMeantForUs || (!m.key.empty() && !m_ledger.admit(m.key, m.attempt))) {
        // A dispatch for an earlier run, or of a sealed attempt: it must never run here.
        note(EventCode::WorkRefused, key, isMeantForUs ? "attempt is sealed" : "dispatch is for another run of this sidecar");
        send(from, Refused { m.request, m.attempt, ResultCode::Superseded, shortestRetryAfter, load(from, now) });
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
        pump(now);
    }
}

void SidecarLogic::onMessage(PeerId from, const Seal& m, Instant)
{
    auto reply = m_ledger.seal(m);
    note(EventCode::AttemptSealed, { m.request, m.attempt },
        reply.state == AdmissionState::NeverAdmitted ? "never admitted, sealed now" : "was admitted before");
    send(from, std::move(reply));
}

void SidecarLogic::onMessage(PeerId from, const ConfigDelta& m, Instant now)
{
    bool wasDraining = isDraining();
    sendAll(m_follower.onDelta(from, m));
    updateObjective();
    if (isDraining() != wasDraining)
        announceAll(now);
    pump(now);
}

void SidecarLogic::onMessage(PeerId from, const Watch& m, Instant) { sendAll(m_follower.onWatch(from, m)); }

// --- Service ----------------------------------------------------------------------------------------------------

void SidecarLogic::queueOrRefuse(Work& work, Instant now)
{
    auto key = work.key;
    if (isDraining())
        return refuse(key, ResultCode::Draining, now);
    if (m_waiting.size() >= QueueAdmission::queueLimit)
        return refuse(key, ResultCode::Overloaded, now);
    m_waiting.add(work);
    pump(now);
    if (auto it = m_work.find(key); it != m_work.end() && it->second.stage == WorkStage::Queued)
        note(EventCode::WorkQueued, key, "waiting: " + std::to_string(m_waiting.size()));
}

void SidecarLogic::pump(Instant now)
{
    m_lastPump = now;
    expire(now);
    if (isDraining()) {
        for (const auto& key : m_waiting.keys())
            refuse(key, ResultCode::Draining, now);
    }
    if (m_profile.kind == UpstreamKind::Decode)
        pumpDecode(now);
    else
        pumpQueue(now);
    if (m_leaving && m_work.empty() && !m_saidDrained) {
        m_saidDrained = true;
        m_effects.push_back(sidecar::Drained {});
    }
}

void SidecarLogic::expire(Instant now)
{
    std::vector<WorkKey> lapsed;
    for (const auto& [key, work] : m_work) {
        bool canLapse = work.stage == WorkStage::Granted || work.stage == WorkStage::Ready || work.stage == WorkStage::HoldsResult;
        bool isUnused = work.stage == WorkStage::Granted && !m_profile.safeguards.expiresGrants;
        if (canLapse && !isUnused && work.stageEnds <= now)
            lapsed.push_back(key);
    }
    for (const auto& key : lapsed) {
        auto& work = m_work.at(key);
        if (work.stage == WorkStage::HoldsResult) {
            // Fetched or expired at the engine by itself; only our record of it ends here.
            m_work.erase(key);
            continue;
        }
        note(work.stage == WorkStage::Granted ? EventCode::GrantExpired : EventCode::ResultExpired, key, "no slot was used in time");
        refuse(key, ResultCode::Overloaded, now);
    }
}

void SidecarLogic::pumpQueue(Instant now)
{
    QueueAdmission::Pass pass(m_queue, now);
    for (const auto& [call, key] : m_calls)
        pass.addRunning(m_work.at(key));
    for (const auto& key : m_waiting.keys()) {
        auto& work = m_work.at(key);
        auto wait = pass.hasFreeSlot() ? Duration::zero() : pass.wait();
        // A plain call has a deadline for its start, a prefill one for its end.
        bool inTime = m_profile.kind == UpstreamKind::Plain ? now + wait <= work.deadline : m_queue.canEndInTime(work, wait, now);
        if (!inTime) {
            refuse(key, ResultCode::DeadlineUnreachable, now);
        } else if (pass.hasFreeSlot()) {
            m_waiting.remove(work);
            start(work, now);
            pass.addRunning(work);
        } else {
            pass.addWaiting(work);
        }
    }
}

void SidecarLogic::pumpDecode(Instant now)
{
    startReady(now);
    bool isBlocked = false;
    for (const auto& key : m_waiting.keys()) {
        auto& work = m_work.at(key);
        auto verdict = m_decode.judge(m_work, work, now);
        if (verdict == DecodeAdmission::Verdict::Refuse)
            refuse(key, ResultCode::DeadlineUnreachable, now);
        else if (verdict == DecodeAdmission::Verdict::Wait)
            isBlocked = true;
        else if (!isBlocked)
            grant(work, now);
    }
}

void SidecarLogic::startReady(Instant now)
{
    // What can still meet its target goes before what is late anyway.
    for (bool takesLate : { false, true }) {
        for (const auto& key : m_ready.keys()) {
            if (!m_decode.mayStart(m_work))
                return;
            auto& work = m_work.at(key);
            if ((work.deadline < now) != takesLate)
                continue;
            m_ready.remove(work);
            start(work, now);
        }
    }
}

void SidecarLogic::start(Work& work, Instant now)
{
    work.stage = WorkStage::Running;
    work.started = now;
    m_lastCall = m_lastCall.next();
    work.call.id = m_lastCall;
    m_calls.emplace(m_lastCall, work.key);
    note(EventCode::WorkAdmitted, work.key, "waited " + std::to_string((now - work.arrived).count()) + " us");
    m_effects.push_back(sidecar::StartCall { work.call });
    work.call.body.clear();
}

void SidecarLogic::grant(Work& work, Instant now)
{
    m_waiting.remove(work);
    work.stage = WorkStage::Granted;
    auto life = m_decode.grantLife(work);
    work.stageEnds = now + life;
    send(work.gateway, SlotGrant { work.key.request, work.key.attempt, life, load(work.gateway, now) });
}

void SidecarLogic::refuse(const WorkKey& key, ResultCode code, Instant now)
{
    auto it = m_work.find(key);
    auto work = std::move(it->second);
    auto comeBack = retryAfter(work, now);
    m_waiting.remove(work);
    m_ready.remove(work);
    m_work.erase(it);
    if (!work.ledgerKey.empty())
        m_ledger.withdraw(work.ledgerKey, key.attempt);
    note(EventCode::WorkRefused, key, std::string(nameOf(code)));
    send(work.gateway, Refused { key.request, key.attempt, code, comeBack, load(work.gateway, now) });
}

/// Ends work whose caller or gateway has gone, wherever it stands.
void SidecarLogic::release(const WorkKey& key, Instant now)
{
    auto it = m_work.find(key);
    auto& work = it->second;
    if (work.stage == WorkStage::Running && !work.repeatable) {
        work.detached = true;
        return;
    }
    if (work.stage == WorkStage::Running) {
        m_effects.push_back(sidecar::AbortCall { work.call.id });
        m_calls.erase(work.call.id);
        if (m_profile.kind == UpstreamKind::Decode)
            m_decode.observeHold(work, now);
    }
    if (work.stage == WorkStage::HoldsResult)
        m_effects.push_back(sidecar::ReleaseResult { work.kvParams });
    if (!work.ledgerKey.empty())
        m_ledger.withdraw(work.ledgerKey, key.attempt);
    m_waiting.remove(work);
    m_ready.remove(work);
    note(EventCode::WorkReleased, key, "caller or gateway has gone");
    m_work.erase(it);
}

void SidecarLogic::finish(Work& work, Instant now)
{
    auto key = work.key;
    if (m_profile.kind == UpstreamKind::Decode)
        m_decode.observeHold(work, now);
    else
        m_queue.observe(work, now);
    if (!work.ledgerKey.empty()) {
        work.answer.complete = true;
        m_ledger.finish(work.ledgerKey, key.attempt, work.answer);
    }
    auto gateway = work.gateway;
    auto total = work.sentBytes;
    bool answer = !work.detached;
    m_calls.erase(work.call.id);
    m_work.erase(key);
    if (answer)
        send(gateway, ResponseEnd { key.request, key.attempt, total, load(gateway, now) });
}

void SidecarLogic::observeTokens(Work& work, std::uint32_t tokens, Instant now)
{
    if (!tokens || m_profile.kind != UpstreamKind::Decode)
        return;
    if (!work.producedTokens) {
        work.firstToken = now;
        m_decode.observeStart(work.promptTokens, now - work.started);
    } else {
        m_decode.observeTokenInterval((now - work.lastToken) / tokens);
    }
    work.producedTokens += tokens;
    work.lastToken = now;
}

Duration SidecarLogic::retryAfter(const Work& work, Instant now) const
{
    auto wait = m_profile.kind == UpstreamKind::Decode ? m_decode.predictedWait(m_work, work.priority, now)
                                                       : m_queue.backlog(m_work, work.priority, now);
    return std::max(shortestRetryAfter, wait);
}

Work* SidecarLogic::workOf(CallId call)
{
    auto it = m_calls.find(call);
    return it == m_calls.end() ? nullptr : &m_work.at(it->second);
}

// --- Announcements ----------------------------------------------------------------------------------------------

LoadReport SidecarLogic::load(PeerId gateway, Instant now) const
{
    LoadReport report;
    report.covered = coveredFor(gateway);
    report.slots = m_profile.slots;
    report.queued = static_cast<std::uint32_t>(m_waiting.size() + m_ready.size());
    report.draining = isDraining();
    bool isDecode = m_profile.kind == UpstreamKind::Decode;
    Duration oldestStart {};
    for (const auto& [key, work] : m_work) {
        bool isStarting = isDecode && work.stage == WorkStage::Running && !work.producedTokens;
        oldestStart = isStarting ? std::max(oldestStart, now - work.started) : oldestStart;
        bool holdsSlot = work.stage == WorkStage::Running || work.stage == WorkStage::Granted || work.stage == WorkStage::Ready;
        report.occupied += holdsSlot ? 1 : 0;
    }
    const auto& cost = isDecode ? m_decode.startCost() : m_queue.cost();
    // A transfer that stalls teaches the model only when it ends; what it has taken so far is known now.
    report.fixedCost = std::max(cost.fixed(), oldestStart);
    report.microsPerToken = cost.microsPerUnit();
    report.meanHold = isDecode ? m_decode.meanHold() : m_queue.meanHold();
    report.tokenInterval = isDecode ? m_decode.tokenInterval() : Duration::zero();
    report.backlog = isDecode ? m_decode.predictedWait(m_work, Priority::Normal, now) : m_queue.backlog(m_work, Priority::Normal, now);
    report.urgentBacklog
        = isDecode ? m_decode.predictedWait(m_work, Priority::Urgent, now) : m_queue.backlog(m_work, Priority::Urgent, now);
    return report;
}

std::uint64_t SidecarLogic::coveredFor(PeerId gateway) const
{
    auto it = m_gateways.find(gateway);
    return it == m_gateways.end() ? 0 : it->second.covered;
}

void SidecarLogic::announce(PeerId gateway, const LoadReport& report)
{
    send(gateway, Announce { m_profile.service, m_profile.kind, m_profile.model, m_profile.lease, report });
}

void SidecarLogic::announceAll(Instant now)
{
    m_nextAnnounce = now + m_profile.announceEvery;
    // The forecasts in a report cost the most and are the same for all gateways.
    auto report = load({}, now);
    for (const auto& [gateway, state] : m_gateways) {
        report.covered = state.covered;
        announce(gateway, report);
    }
}

void SidecarLogic::updateObjective()
{
    if (const auto* rules = configuration().service(m_profile.service))
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
    m_effects.push_back(Note { code, key.request, std::move(text) });
}

} // namespace wrenhinge
