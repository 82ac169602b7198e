/** \file
 * The site's ledger of keyed requests that must not be repeated: which attempt may run, at which sidecar, and its outcome.
 *
 * Part of the replicated state. An intent is accepted only for the first attempt of a new key, or for the attempt that follows
 * one that its sidecar never admitted and has sealed. If two gateways propose the same attempt number, only one is accepted.
 */
#pragma once

#include "message/Messages.h"

#include <string>
#include <unordered_map>

namespace wrenhinge {

class Ledger {
public:
    struct Entry {
        std::uint64_t fingerprint = 0;
        Attempt attempt;
        PeerId sidecar;
        RequestId request;
        bool finished = false;
        AttemptState outcome = AttemptState::Running;
        StoredResponse answer;
        MSGPACK_DEFINE(fingerprint, attempt, sidecar, request, finished, outcome, answer)
    };

    LedgerView recordIntent(const IntentCommand&);
    /// Records the outcome of an attempt; a late outcome of another attempt, or a second outcome, has no effect.
    LedgerView recordOutcome(const OutcomeCommand&);

    [[nodiscard]] const std::unordered_map<std::string, Entry>& entries() const { return m_entries; }
    void restore(std::unordered_map<std::string, Entry> entries) { m_entries = std::move(entries); }

private:
    std::unordered_map<std::string, Entry> m_entries;
};

} // namespace wrenhinge
