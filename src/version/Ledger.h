/** \file
 * The site's ledger of keyed requests that may not be repeated: which attempt may run, where, and how it ended.
 *
 * Part of the replicated state. An intent is accepted only as the first attempt of a new key, or as the attempt after one
 * that its sidecar has sealed unadmitted; two gateways that race with the same attempt number get one winner.
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
    /// Records how an attempt ended; a late outcome of another attempt, or a second one, changes nothing.
    LedgerView recordOutcome(const OutcomeCommand&);

    [[nodiscard]] const std::unordered_map<std::string, Entry>& entries() const { return m_entries; }
    void restore(std::unordered_map<std::string, Entry> entries) { m_entries = std::move(entries); }

private:
    std::unordered_map<std::string, Entry> m_entries;
};

} // namespace wrenhinge
