/** \file
 * Where notes go: the log (log4cplus) and this process's part of the time line.
 *
 * A line is logfmt: time, level, event, name, process, request if it is about one, text in quotes. Logging never waits (LineWriter),
 * and each event has a rate: what goes beyond is left out and counted, the first lines of an event never.
 *
 * The time line keeps the newest events in memory, each with a hybrid logical stamp, and `wrenhinge timeline` merges
 * those of all processes. Stamps travel with every message between processes.
 */
#pragma once

#include "base/EventCode.h"
#include "base/HybridClock.h"
#include "process/LineWriter.h"
#include "process/Settings.h"

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace wrenhinge {

struct TimelineEvent {
    HybridTime stamp;
    EventCode code = EventCode::ProcessStarted;
    std::string request; ///< Empty: not about a request.
    std::string text;
};

class EventLog {
public:
    static constexpr std::size_t maxEvents = 50000;
    /// Lines of one event: this many at once, then this many a second. The heaviest gateway seen writes 60 a second of one event.
    static constexpr double burstLines = 1000;
    static constexpr double linesPerSecond = 200;

    /// Starts log4cplus as the settings say. `process` names this process in each line.
    EventLog(const LogSettings&, std::string process);
    ~EventLog();
    EventLog(const EventLog&) = delete;
    EventLog& operator=(const EventLog&) = delete;

    void write(const LogEvent&);
    void setLevel(const std::string& level);
    /// Lines that were left out since the start, for want of room or beyond the rate of their event.
    [[nodiscard]] std::uint64_t droppedLines() const { return m_droppedLines; }
    /// The kept events, of one request if `request` is given.
    [[nodiscard]] std::vector<TimelineEvent> events(const std::string& request) const;

    HybridTime stampSend();
    void stampReceive(HybridTime);

private:
    struct TokenBucket {
        double tokens = burstLines;
        Instant refilledAt;
    };

    bool isWithinRate(EventCode);
    void reportDroppedLines();
    void writeLine(int level, const LogEvent&);

    std::string m_process;
    int m_file = -1; ///< Open while the log goes to a file.
    std::atomic<std::uint64_t> m_droppedLines = 0;
    std::atomic<std::uint64_t> m_reportedDroppedLines = 0; ///< The part of them that a line in the log has told of.
    std::unique_ptr<LineWriter> m_writer;
    mutable std::mutex m_mutex; ///< Guards what follows; nothing else is locked under it.
    HybridClock m_clock;
    std::deque<TimelineEvent> m_events;
    std::map<EventCode, TokenBucket> m_buckets;
};

} // namespace wrenhinge
