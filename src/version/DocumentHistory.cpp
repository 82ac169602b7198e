#include "version/DocumentHistory.h"

#include <algorithm>

namespace wrenhinge {

namespace {

    /// Changes are kept while they take up to this part of the text: whoever lacks more than that is as well served by the whole.
    constexpr std::size_t textToStepsRatio = 2;
    /// Each change is applied by a copy of the text and a look at all of it: some 0.2 ms of a core for a megabyte. Thousands of small ones,
    /// which the bound above allows, would hold a gateway up for seconds.
    constexpr std::size_t maxStepsKept = 64;

} // namespace

DocumentHistory::Outcome DocumentHistory::apply(const DocumentCommand& command)
{
    if (command.version <= m_version)
        return Outcome::Stale;
    if (command.base) {
        auto text = command.base == m_version ? applyChange(m_text, command.change) : std::nullopt;
        if (!text)
            return Outcome::BaseMismatch;
        addStep({ m_version, command.version, command.change });
        m_text = std::move(*text);
    } else {
        if (m_version)
            addStep({ m_version, command.version, changeBetween(m_text, command.text) });
        m_text = command.text;
    }
    m_version = command.version;
    return Outcome::Applied;
}

void DocumentHistory::restore(std::uint64_t version, std::string text)
{
    m_version = version;
    m_text = std::move(text);
    m_steps.clear();
    m_stepBytes = 0;
}

void DocumentHistory::addStep(DocumentStep step)
{
    m_stepBytes += step.change.size();
    m_steps.push_back(std::move(step));
    while (!m_steps.empty() && (m_stepBytes > m_text.size() / textToStepsRatio || m_steps.size() > maxStepsKept)) {
        m_stepBytes -= m_steps.front().change.size();
        m_steps.pop_front();
    }
}

DocumentCommand DocumentHistory::commandFor(std::uint64_t version, const std::string& text) const
{
    // One that is overtaken already changes nothing, so its text need not travel.
    if (version <= m_version)
        return { version, {}, 0, {} };
    if (m_version) {
        if (auto change = changeBetween(m_text, text); change.size() < text.size())
            return { version, {}, m_version, std::move(change) };
    }
    return { version, text, 0, {} };
}

std::vector<DocumentStep> DocumentHistory::stepsFrom(std::uint64_t held) const
{
    auto it = std::find_if(m_steps.begin(), m_steps.end(), [held](const DocumentStep& step) { return step.from == held; });
    if (it != m_steps.end())
        return { it, m_steps.end() };
    return { { 0, m_version, wholeText(m_text) } };
}

} // namespace wrenhinge
