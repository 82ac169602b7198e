#include "version/Ledger.h"

namespace wrenhinge {

namespace {

    LedgerView viewOf(const Ledger::Entry& entry, LedgerState state)
    {
        return { state, entry.attempt, entry.sidecar, entry.finished, entry.outcome, entry.answer };
    }

} // namespace

LedgerView Ledger::recordIntent(const IntentCommand& intent)
{
    auto [it, isNew] = m_entries.try_emplace(intent.key);
    auto& entry = it->second;
    if (!isNew && entry.fingerprint != intent.fingerprint)
        return viewOf(entry, LedgerState::Mismatch);
    // The same proposal again, after its reply was lost.
    if (!isNew && entry.attempt == intent.attempt && entry.request == intent.request && !entry.finished)
        return viewOf(entry, LedgerState::Accepted);
    bool isNext = intent.attempt == entry.attempt.next() && !entry.finished;
    if (!isNext) {
        if (isNew)
            m_entries.erase(it);
        return isNew ? LedgerView {} : viewOf(entry, LedgerState::Exists);
    }
    entry.fingerprint = intent.fingerprint;
    entry.attempt = intent.attempt;
    entry.sidecar = intent.sidecar;
    entry.request = intent.request;
    return viewOf(entry, LedgerState::Accepted);
}

LedgerView Ledger::recordOutcome(const OutcomeCommand& outcome)
{
    auto it = m_entries.find(outcome.key);
    if (it == m_entries.end())
        return {};
    auto& entry = it->second;
    if (entry.attempt == outcome.attempt && !entry.finished) {
        entry.finished = true;
        entry.outcome = outcome.state;
        entry.answer = outcome.answer;
    }
    return viewOf(entry, LedgerState::Exists);
}

} // namespace wrenhinge
