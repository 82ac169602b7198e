#include "request/sidecar/AdmissionLedger.h"

namespace wrenhinge {

AdmissionLedger::AdmissionLedger(std::size_t keptAnswerLimit, bool honoursSeals)
    : m_keptAnswerLimit(keptAnswerLimit)
    , m_honoursSeals(honoursSeals)
{
}

bool AdmissionLedger::admit(const std::string& key, Attempt attempt)
{
    auto [it, isNew] = m_entries.try_emplace(key);
    auto& entry = it->second;
    bool isSealed = !isNew && attempt <= entry.attempt && m_honoursSeals;
    bool hasRun = !isNew && entry.state != AttemptState::NeverAdmitted;
    if (isSealed || hasRun)
        return false;
    entry = { attempt, AttemptState::Running, {} };
    return true;
}

void AdmissionLedger::withdraw(const std::string& key, Attempt attempt)
{
    if (auto* entry = find(key, attempt))
        entry->state = AttemptState::NeverAdmitted;
}

void AdmissionLedger::finish(const std::string& key, Attempt attempt, StoredResponse answer)
{
    auto* entry = find(key, attempt);
    if (!entry)
        return;
    entry->state = AttemptState::Finished;
    if (answer.body.size() > m_keptAnswerLimit)
        answer = { answer.status, {}, {}, false };
    entry->answer = std::move(answer);
}

void AdmissionLedger::markBroken(const std::string& key, Attempt attempt)
{
    if (auto* entry = find(key, attempt))
        entry->state = AttemptState::Interrupted;
}

SealReply AdmissionLedger::seal(const Seal& seal)
{
    auto [it, isNew] = m_entries.try_emplace(seal.key);
    auto& entry = it->second;
    if (entry.state == AttemptState::NeverAdmitted && entry.attempt < seal.attempt)
        entry.attempt = seal.attempt;
    return { seal.request, seal.key, seal.attempt, entry.state, entry.answer };
}

AdmissionLedger::Entry* AdmissionLedger::find(const std::string& key, Attempt attempt)
{
    auto it = m_entries.find(key);
    return it != m_entries.end() && it->second.attempt == attempt ? &it->second : nullptr;
}

} // namespace wrenhinge
