/** \file
 * A sidecar's memory of keyed non-repeatable attempts: which were admitted, which are sealed, how they ended.
 *
 * The sidecar is the only way to its upstream, so this table alone decides whether an attempt runs. A resend through
 * another gateway first seals the earlier attempt here: if it was never admitted it can't be from now on, even if the
 * first gateway thaws and dispatches it after all; otherwise the answer is what became of it. The table dies with the
 * process: a restarted sidecar has another incarnation and refuses all that was meant for the former one.
 */
#pragma once

#include "message/Messages.h"

#include <string>
#include <unordered_map>

namespace wrenhinge {

class AdmissionLedger {
public:
    explicit AdmissionLedger(std::size_t keptAnswerLimit, bool honoursSeals = true);

    /// Admits the attempt unless it, a later one, or one that ran is known. \returns whether it may run.
    bool admit(const std::string& key, Attempt);
    /// Takes an admission back: the attempt did not reach the upstream and never will.
    void withdraw(const std::string& key, Attempt);
    /// Records how the upstream answered. Too large a body is remembered as "ran, answer not kept".
    void finish(const std::string& key, Attempt, StoredResponse);
    /// Records that the call broke off after bytes may have reached the upstream.
    void markBroken(const std::string& key, Attempt);
    /// What became of the attempt. One that was never admitted is sealed by asking.
    SealReply seal(const Seal&);

    [[nodiscard]] std::size_t size() const { return m_entries.size(); }

private:
    struct Entry {
        Attempt attempt; ///< The highest attempt that was admitted or sealed.
        AttemptState state = AttemptState::NeverAdmitted;
        StoredResponse answer;
    };
    Entry* find(const std::string& key, Attempt);

    std::size_t m_keptAnswerLimit;
    bool m_honoursSeals;
    std::unordered_map<std::string, Entry> m_entries;
};

} // namespace wrenhinge
