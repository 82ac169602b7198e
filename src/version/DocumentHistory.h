/** \file
 * The routing document in force at a controller: one copy of its text, and the latest changes that led to it.
 *
 * Deterministic: controllers that apply the same commands in the same order have the same text.
 */
#pragma once

#include "message/Messages.h"

#include <deque>
#include <string>

namespace wrenhinge {

/// The change from one version of the document to the next; `from` zero: the change contains the whole text.
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
        Stale, ///< The version is not higher than the current one; nothing is changed.
        BaseMismatch, ///< The command is a change of another version than the current one.
    };

    Outcome apply(const DocumentCommand&);
    /// Sets the document without its history of changes.
    void restore(std::uint64_t version, std::string text);

    [[nodiscard]] std::uint64_t version() const { return m_version; }
    [[nodiscard]] const std::string& text() const { return m_text; }
    /// The smallest command that replaces the current document by `text`.
    [[nodiscard]] DocumentCommand commandFor(std::uint64_t version, const std::string& text) const;
    /// The steps from version `held` to the current document: changes if they are known, otherwise the whole text. `held` must differ from
    /// the current version.
    [[nodiscard]] std::vector<DocumentStep> stepsFrom(std::uint64_t held) const;

private:
    void addStep(DocumentStep);

    std::uint64_t m_version = 0;
    std::string m_text;
    std::deque<DocumentStep> m_steps; ///< Oldest first, without gaps; the last one ends at `m_version`.
    std::size_t m_stepBytes = 0;
};

} // namespace wrenhinge
