/** \file
 * What came to a door of this process and can't be used: counted all, told in the log at a bounded rate.
 *
 * Whoever sends one such entry sends thousands. A line for each would push everything else out of the log and of the time line;
 * without any line nobody would find the writer. Each door has a small budget of lines, and each line says how many came since
 * the last one. What is quoted of an entry is cut and made readable first.
 */
#pragma once

#include "process/EventLog.h"

#include <array>
#include <functional>

namespace wrenhinge {

/// Where something comes in from outside.
enum class InputSource : std::uint8_t { Announcement, Document, OtherCall, StateFile, Link, Report };

class RefusalLog {
public:
    /// Lines of one door: this many at once, then this many a second.
    static constexpr double burstLines = 20;
    static constexpr double linesPerSecond = 2;
    static constexpr std::size_t maxOriginLength = 100;
    static constexpr std::size_t maxDetailLength = 400;

    explicit RefusalLog(EventLog& log)
        : m_log(log)
    {
    }

    /// Any thread. \param from the writer, as far as known. \param what names the field, what came and what is expected.
    void note(InputSource, const std::string& origin, const std::string& detail);
    void note(InputSource, const std::string& origin, const std::string& detail, Instant now);
    /// For a PeerHub.
    std::function<void(const std::string& origin, const std::string& detail)> linkHandler();
    [[nodiscard]] std::uint64_t count(InputSource) const;
    /// The Prometheus text form.
    [[nodiscard]] std::string metrics() const;

private:
    struct State {
        std::uint64_t count = 0;
        std::uint64_t logged = 0; ///< Those that a line was written for or has counted.
        double lineBudget = burstLines;
        Instant updatedAt;
    };

    EventLog& m_log;
    mutable std::mutex m_mutex; ///< Guards what follows; nothing is locked under it.
    std::array<State, 6> m_sources;
};

std::string_view nameOf(InputSource);

} // namespace wrenhinge
