#include "process/RefusalLog.h"

#include "base/SystemClock.h"
#include "connection/MessageCheck.h"
#include "process/TimeHistogram.h"

namespace wrenhinge {

namespace {

    constexpr std::array inputSourceNames { "announcements", "documents", "other_calls", "memory", "links", "reports" };

} // namespace

std::string_view nameOf(InputSource source) { return inputSourceNames[static_cast<std::size_t>(source)]; }

void RefusalLog::note(InputSource source, const std::string& origin, const std::string& detail)
{
    note(source, origin, detail, currentInstant());
}

void RefusalLog::note(InputSource source, const std::string& origin, const std::string& detail, Instant now)
{
    std::uint64_t unloggedCount = 0;
    {
        std::lock_guard lock(m_mutex);
        auto& state = m_sources[static_cast<std::size_t>(source)];
        ++state.count;
        state.lineBudget = std::min(burstLines, state.lineBudget + toSeconds(now - std::exchange(state.updatedAt, now)) * linesPerSecond);
        if (state.lineBudget < 1)
            return;
        --state.lineBudget;
        unloggedCount = state.count - state.logged - 1;
        state.logged = state.count;
    }
    auto text = std::string(nameOf(source)) + " from " + readable(origin, maxOriginLength) + ": " + readable(detail, maxDetailLength);
    if (unloggedCount)
        text += "; " + std::to_string(unloggedCount) + " more since the last line";
    m_log.write({ EventCode::EntryRefused, {}, text });
}

std::function<void(const std::string&, const std::string&)> RefusalLog::linkHandler()
{
    return [this](const std::string& origin, const std::string& detail) { note(InputSource::Link, origin, detail); };
}

std::uint64_t RefusalLog::count(InputSource source) const
{
    std::lock_guard lock(m_mutex);
    return m_sources[static_cast<std::size_t>(source)].count;
}

std::string RefusalLog::metrics() const
{
    std::string text;
    for (std::size_t i = 0; i < m_sources.size(); ++i) {
        auto name = "wrenhinge_refused_" + std::string(inputSourceNames[i]) + "_total";
        text += "# TYPE " + name + " counter\n" + name + " " + std::to_string(count(static_cast<InputSource>(i))) + "\n";
    }
    return text;
}

} // namespace wrenhinge
