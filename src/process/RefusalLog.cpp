#include "process/RefusalLog.h"

#include "base/SystemClock.h"
#include "connection/MessageCheck.h"
#include "process/TimeHistogram.h"

namespace wrenhinge {

namespace {

    constexpr std::array inputSourceNames { "announcements", "documents", "other_calls", "memory", "links", "reports" };

} // namespace

std::string_view nameOf(InputSource door) { return inputSourceNames[static_cast<std::size_t>(door)]; }

void RefusalLog::note(InputSource door, const std::string& from, const std::string& what) { note(door, from, what, currentInstant()); }

void RefusalLog::note(InputSource door, const std::string& from, const std::string& what, Instant now)
{
    std::uint64_t others = 0;
    {
        std::lock_guard lock(m_mutex);
        auto& state = m_doors[static_cast<std::size_t>(door)];
        ++state.count;
        state.lines = std::min(burstLines, state.lines + toSeconds(now - std::exchange(state.at, now)) * linesPerSecond);
        if (state.lines < 1)
            return;
        --state.lines;
        others = state.count - state.told - 1;
        state.told = state.count;
    }
    auto text = std::string(nameOf(door)) + " from " + readable(from, maxOriginLength) + ": " + readable(what, maxDetailLength);
    if (others)
        text += "; " + std::to_string(others) + " more since the last line";
    m_log.write({ EventCode::EntryRefused, {}, text });
}

std::function<void(const std::string&, const std::string&)> RefusalLog::linkHandler()
{
    return [this](const std::string& from, const std::string& what) { note(InputSource::Link, from, what); };
}

std::uint64_t RefusalLog::count(InputSource door) const
{
    std::lock_guard lock(m_mutex);
    return m_doors[static_cast<std::size_t>(door)].count;
}

std::string RefusalLog::metrics() const
{
    std::string text;
    for (std::size_t i = 0; i < m_doors.size(); ++i) {
        auto name = "wrenhinge_refused_" + std::string(inputSourceNames[i]) + "_total";
        text += "# TYPE " + name + " counter\n" + name + " " + std::to_string(count(static_cast<InputSource>(i))) + "\n";
    }
    return text;
}

} // namespace wrenhinge
