/** \file
 * A sidecar's table of non-repeatable attempts with an idempotency key: which were admitted, which are sealed, and their
 * outcomes.
 *
 * All calls to the upstream pass through its sidecar, so this table alone decides whether an attempt runs. A resend
 * through another gateway first seals the earlier attempt here: if it was not admitted yet, it never will be, even if the
 * first gateway resumes after a pause and dispatches it late; otherwise the reply holds its state and outcome. The table
 * is kept in memory only: a restarted sidecar has a new incarnation and refuses dispatches addressed to an earlier one.
 */
#pragma once

#include "message/Messages.h"

#include <string>
#include <unordered_map>

namespace wrenhinge {

class AdmissionLedger {
public:
    explicit AdmissionLedger(std::size_t keptAnswerLimit, bool honoursSeals = true);

    /// Admits the attempt, unless this or a later attempt of the key is recorded or any attempt of it has run. \returns
    /// whether it may run.
    bool admit(const std::string& key, Attempt);
    /// Revokes an admission, because the attempt did not reach the upstream and never will.
    void withdraw(const std::string& key, Attempt);
    /// Records the upstream's answer. If its body exceeds the limit, only the fact that the attempt ran is kept.
    void finish(const std::string& key, Attempt, StoredResponse);
    /// Records that the call failed after bytes may have reached the upstream.
    void markBroken(const std::string& key, Attempt);
    /// Returns the state of the attempt. If it was never admitted, it is sealed: it can't be admitted afterwards.
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
