/** \file
 * The routing document in force as a controller holds it: one copy of its text, and the latest changes that led to it.
 *
 * Deterministic: controllers that apply the same commands in the same order hold the same text.
 */
#pragma once

#include "message/Messages.h"

#include <deque>
#include <string>

namespace wrenhinge {

/// How one version of the document becomes the next one; `from` zero: the whole text is new.
struct DocumentStep {
    std::uint64_t from = 0;
    std::uint64_t to = 0;
    TextChange change;
    MSGPACK_DEFINE(from, to, change)
};

class DocumentHistory {
public:
    enum class Outcome : std::uint8_t {
        Applied,
        Stale, ///< A version that is not higher changes nothing.
        BaseMismatch, ///< It is a change of another text than the one here.
    };

    Outcome apply(const DocumentCommand&);
    /// Sets the document without knowing what led to it.
    void restore(std::uint64_t version, std::string text);

    [[nodiscard]] std::uint64_t version() const { return m_version; }
    [[nodiscard]] const std::string& text() const { return m_text; }
    /// The command that replaces the document here by `text`, as small as it can be.
    [[nodiscard]] DocumentCommand commandFor(std::uint64_t version, const std::string& text) const;
    /// What leads from `held` to the document here: changes where they are known, else its whole text. `held` is not the version here.
    [[nodiscard]] std::vector<DocumentStep> stepsFrom(std::uint64_t held) const;

private:
    void addStep(DocumentStep);

    std::uint64_t m_version = 0;
    std::string m_text;
    std::deque<DocumentStep> m_steps; ///< Oldest first, without a gap; the last one leads to `m_version`.
    std::size_t m_stepBytes = 0;
};

} // namespace wrenhinge
