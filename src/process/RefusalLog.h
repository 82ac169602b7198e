/** \file
 * Counts all invalid input that this process has refused, and logs it at a limited rate.
 *
 * A sender of one invalid entry usually sends thousands. Logging each would displace all other events from the log and the timeline;
 * logging none would make the sender impossible to find. Each source of input therefore has a small budget of log lines, and each line
 * contains the number of refusals since the last one. Quoted input is truncated and sanitized first.
 */
#pragma once

#include "process/EventLog.h"

#include <array>
#include <functional>

namespace wrenhinge {

/// Where external input enters the process.
enum class InputSource : std::uint8_t { Announcement, Document, OtherCall, StateFile, Link, Report };

class RefusalLog {
public:
    /// Log lines of one source: the burst size and the sustained rate.
    static constexpr double burstLines = 20;
    static constexpr double linesPerSecond = 2;
    static constexpr std::size_t maxOriginLength = 100;
    static constexpr std::size_t maxDetailLength = 400;

    explicit RefusalLog(EventLog& log)
        : m_log(log)
    {
    }

    /// Counts a refusal and logs it within the budget. Thread-safe. \param origin the sender, as far as known. \param detail contains the
    /// field, its value and what is expected.
    void note(InputSource, const std::string& origin, const std::string& detail);
    void note(InputSource, const std::string& origin, const std::string& detail, Instant now);
    /// The handler of invalid messages for a PeerHub.
    std::function<void(const std::string& origin, const std::string& detail)> linkHandler();
    [[nodiscard]] std::uint64_t count(InputSource) const;
    /// The counters in the Prometheus text format.
    [[nodiscard]] std::string metrics() const;

private:
    struct State {
        std::uint64_t count = 0;
        std::uint64_t logged = 0; ///< Refusals covered by the lines logged so far.
        double lineBudget = burstLines;
        Instant updatedAt;
    };

    EventLog& m_log;
    mutable std::mutex m_mutex; ///< Guards the members below; no other mutex is locked while it is held.
    std::array<State, 6> m_sources;
};

std::string_view nameOf(InputSource);

} // namespace wrenhinge
