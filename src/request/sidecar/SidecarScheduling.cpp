/** \file
 * The scheduling part of SidecarLogic: queues, starts, grants, refuses and ends work.
 */
#include "request/sidecar/SidecarLogic.h"

#include <algorithm>

namespace wrenhinge {

// --- Scheduling -------------------------------------------------------------------------------------------------

void SidecarLogic::queueOrRefuse(Work& work, Instant now)
{
    auto key = work.key;
    if (isDraining())
        return refuse(key, ResultCode::Draining, now);
    if (m_waiting.size() >= QueueAdmission::maxQueueLength)
        return refuse(key, ResultCode::Overloaded, now);
    m_waiting.add(work);
    schedule(now);
    if (auto it = m_work.find(key); it != m_work.end() && it->second.stage == WorkStage::Queued)
        note(EventCode::WorkQueued, key, "queue length: " + std::to_string(m_waiting.size()));
}

void SidecarLogic::schedule(Instant now)
{
    m_lastSchedule = now;
    expire(now);
    if (isDraining()) {
        for (const auto& key : m_waiting.keys())
            refuse(key, ResultCode::Draining, now);
    }
    if (m_options.kind == UpstreamKind::Decode)
        scheduleDecode(now);
    else
        scheduleQueue(now);
    if (m_isShuttingDown && m_work.empty() && !m_reportedDrained) {
        m_reportedDrained = true;
        m_effects.push_back(sidecar::Drained {});
    }
}

void SidecarLogic::expire(Instant now)
{
    std::vector<WorkKey> expired;
    for (const auto& [key, work] : m_work) {
        bool canExpire = work.stage == WorkStage::Granted || work.stage == WorkStage::Ready || work.stage == WorkStage::HoldsResult;
        bool isExempt = work.stage == WorkStage::Granted && !m_options.safeguards.expiresGrants;
        if (canExpire && !isExempt && work.stageExpiresAt <= now)
            expired.push_back(key);
    }
    for (const auto& key : expired) {
        auto& work = m_work.at(key);
        if (work.stage == WorkStage::HoldsResult) {
            // The engine has freed the result after its fetch or expiry; only this record of it remains to be dropped.
            m_work.erase(key);
            continue;
        }
        note(work.stage == WorkStage::Granted ? EventCode::GrantExpired : EventCode::ResultExpired, key, "no slot was used before expiry");
        refuse(key, ResultCode::Overloaded, now);
    }
}

void SidecarLogic::scheduleQueue(Instant now)
{
    QueueAdmission::WaitPredictor predictor(m_queue, now);
    std::size_t ahead = 0; ///< Waiting work of a higher priority, which is sent first.
    for (const auto& [call, key] : m_calls)
        predictor.addRunning(m_work.at(key));
    for (const auto& key : m_waiting.keys()) {
        auto& work = m_work.at(key);
        auto slotWait = predictor.hasFreeSlot() ? Duration::zero() : predictor.wait();
        auto wait = std::max(slotWait, m_rateLimit.waitFor(ahead, now));
        // The deadline of a plain call applies to its start, that of a prefill to its end.
        bool inTime = m_options.kind == UpstreamKind::Plain ? now + wait <= work.deadline : m_queue.canCompleteInTime(work, wait, now);
        if (!inTime) {
            refuse(key, ResultCode::DeadlineUnreachable, now);
        } else if (predictor.hasFreeSlot() && m_rateLimit.mayCall(now)) {
            m_rateLimit.recordCall(now);
            m_waiting.remove(work);
            start(work, now);
            predictor.addRunning(work);
        } else {
            predictor.addWaiting(work);
            ++ahead;
        }
    }
}

void SidecarLogic::scheduleDecode(Instant now)
{
    startReady(now);
    bool isBlocked = false;
    std::size_t ahead = 0;
    for (const auto& key : m_waiting.keys()) {
        auto& work = m_work.at(key);
        auto decision = m_decode.decide(m_work, work, now);
        bool isLimitedTooLong = now + m_rateLimit.waitFor(ahead, now) > work.deadline;
        if (decision == DecodeAdmission::Decision::Refuse || isLimitedTooLong) {
            refuse(key, ResultCode::DeadlineUnreachable, now);
            continue;
        }
        isBlocked = isBlocked || decision == DecodeAdmission::Decision::Wait || !m_rateLimit.mayCall(now);
        if (isBlocked)
            ++ahead;
        else
            grant(work, now);
    }
}

void SidecarLogic::startReady(Instant now)
{
    if (m_rateLimit.isResting(now))
        return;
    // Work that can still meet its deadline starts before work that has already missed it.
    for (bool isLatePass : { false, true }) {
        for (const auto& key : m_ready.keys()) {
            if (!m_decode.mayStart(m_work))
                return;
            auto& work = m_work.at(key);
            if ((work.deadline < now) != isLatePass)
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
    // The grant is for one call.
    m_rateLimit.recordCall(now);
    work.stage = WorkStage::Granted;
    auto life = m_decode.grantLife(work);
    work.stageExpiresAt = now + life;
    send(work.gateway, SlotGrant { work.key.request, work.key.attempt, life, load(work.gateway, now) });
}

void SidecarLogic::refuse(const WorkKey& key, ResultCode code, Instant now)
{
    auto it = m_work.find(key);
    auto work = std::move(it->second);
    undoRecordedCall(work, now);
    auto retryDelay = retryAfter(work, now);
    m_waiting.remove(work);
    m_ready.remove(work);
    m_work.erase(it);
    if (!work.ledgerKey.empty())
        m_ledger.withdraw(work.ledgerKey, key.attempt);
    note(EventCode::WorkRefused, key, std::string(nameOf(code)));
    send(work.gateway, Refused { key.request, key.attempt, code, retryDelay, load(work.gateway, now) });
}

/// Ends work in any stage because its gateway cancelled it or disconnected.
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
        if (m_options.kind == UpstreamKind::Decode)
            m_decode.observeHold(work, now);
    }
    undoRecordedCall(work, now);
    if (work.stage == WorkStage::HoldsResult)
        releaseResult(work.kvParams, now);
    if (!work.ledgerKey.empty())
        m_ledger.withdraw(work.ledgerKey, key.attempt);
    m_waiting.remove(work);
    m_ready.remove(work);
    note(EventCode::WorkReleased, key, "cancelled, or its gateway disconnected");
    m_work.erase(it);
}

/// A grant that was not used needs no call.
void SidecarLogic::undoRecordedCall(const Work& work, Instant now)
{
    if (work.stage == WorkStage::Granted || work.stage == WorkStage::Ready)
        m_rateLimit.undoCall(now);
}

void SidecarLogic::releaseResult(std::string kvParams, Instant now)
{
    // At an upstream that rests, what isn't released expires.
    if (m_rateLimit.isResting(now))
        return;
    m_rateLimit.recordCall(now);
    m_effects.push_back(sidecar::ReleaseResult { std::move(kvParams) });
}

void SidecarLogic::finish(Work& work, Instant now)
{
    auto key = work.key;
    if (m_options.kind == UpstreamKind::Decode)
        m_decode.observeHold(work, now);
    else
        m_queue.observe(work, now);
    if (!work.ledgerKey.empty()) {
        work.answer.complete = true;
        m_ledger.finish(work.ledgerKey, key.attempt, work.answer);
    }
    auto gateway = work.gateway;
    auto total = work.sentBytes;
    bool hasReceiver = !work.detached;
    m_calls.erase(work.call.id);
    m_work.erase(key);
    if (hasReceiver)
        send(gateway, ResponseEnd { key.request, key.attempt, total, load(gateway, now) });
}

void SidecarLogic::observeTokens(Work& work, std::uint32_t tokens, Instant now)
{
    if (!tokens || m_options.kind != UpstreamKind::Decode)
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
    auto wait = m_options.kind == UpstreamKind::Decode ? m_decode.predictedWait(m_work, work.priority, now)
                                                       : m_queue.backlog(m_work, work.priority, now);
    return std::max({ minRetryAfter, wait, m_rateLimit.waitFor(m_waiting.size(), now) });
}

Work* SidecarLogic::findWork(CallId call)
{
    auto it = m_calls.find(call);
    return it == m_calls.end() ? nullptr : &m_work.at(it->second);
}

} // namespace wrenhinge
