#include "process/Refusals.h"

#include "base/SystemClock.h"
#include "connection/MessageCheck.h"
#include "process/TimeHistogram.h"

namespace wrenhinge {

namespace {

    constexpr std::array doorNames { "announcements", "documents", "other_calls", "memory", "links", "reports" };

} // namespace

std::string_view nameOf(Door door) { return doorNames[static_cast<std::size_t>(door)]; }

void Refusals::note(Door door, const std::string& from, const std::string& what) { note(door, from, what, currentInstant()); }

void Refusals::note(Door door, const std::string& from, const std::string& what, Instant now)
{
    std::uint64_t others = 0;
    {
        std::lock_guard lock(m_mutex);
        auto& state = m_doors[static_cast<std::size_t>(door)];
        ++state.count;
        state.lines = std::min(linesAtOnce, state.lines + toSeconds(now - std::exchange(state.at, now)) * linesPerSecond);
        if (state.lines < 1)
            return;
        --state.lines;
        others = state.count - state.told - 1;
        state.told = state.count;
    }
    auto text = std::string(nameOf(door)) + " from " + readable(from, longestFrom) + ": " + readable(what, longestWhat);
    if (others)
        text += "; " + std::to_string(others) + " more since the last line";
    m_log.write({ EventCode::EntryRefused, {}, text });
}

std::function<void(const std::string&, const std::string&)> Refusals::ofLinks()
{
    return [this](const std::string& from, const std::string& what) { note(Door::Link, from, what); };
}

std::uint64_t Refusals::count(Door door) const
{
    std::lock_guard lock(m_mutex);
    return m_doors[static_cast<std::size_t>(door)].count;
}

std::string Refusals::metrics() const
{
    std::string text;
    for (std::size_t i = 0; i < m_doors.size(); ++i) {
        auto name = "wrenhinge_refused_" + std::string(doorNames[i]) + "_total";
        text += "# TYPE " + name + " counter\n" + name + " " + std::to_string(count(static_cast<Door>(i))) + "\n";
    }
    return text;
}

} // namespace wrenhinge
