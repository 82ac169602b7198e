/** \file
 * Writes events to the log (log4cplus) and to this process's part of the time line.
 *
 * Log lines are in logfmt: time, level, event, name, process, request if the event concerns one, and the quoted text. Logging never
 * blocks (LineWriter). The lines of each event code are rate-limited by a token bucket: lines beyond the rate are dropped and counted,
 * but never those of the initial burst.
 *
 * The time line keeps the newest events in memory, each with a hybrid logical timestamp, and `wrenhinge timeline` merges the time lines
 * of all processes. Every message between processes contains a timestamp.
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
    std::string request; ///< Empty: the event does not concern a request.
    std::string text;
};

class EventLog {
public:
    static constexpr std::size_t maxEvents = 50000;
    /// Of all events in memory together; usual ones have some 300 bytes.
    static constexpr std::size_t maxEventBytes = 8u << 20;
    /// A longer text is cut: it may quote what a caller chose.
    static constexpr std::size_t maxTextBytes = 1000;
    /// Token bucket of each event code: its depth in lines, and the lines per second that refill it. The busiest gateway so far wrote
    /// 60 lines of one event per second.
    static constexpr double burstLines = 1000;
    static constexpr double linesPerSecond = 200;

    /// Initializes log4cplus. Falls back to standard error if the log file can't be opened. \param process the name of this process in
    /// each line.
    EventLog(const LogSettings&, std::string process);
    ~EventLog();
    EventLog(const EventLog&) = delete;
    EventLog& operator=(const EventLog&) = delete;

    void write(const LogEvent&);
    void setLevel(const std::string& level);
    /// The number of lines dropped since the start, because the queue was full or the rate of their event was exceeded.
    [[nodiscard]] std::uint64_t droppedLines() const { return m_droppedLines; }
    /// The events in memory, or only those of one request unless `request` is empty.
    [[nodiscard]] std::vector<TimelineEvent> events(const std::string& request) const;

    /// \returns the timestamp for a message that is about to be sent.
    HybridTime stampSend();
    /// Advances the clock beyond the timestamp of a received message.
    void stampReceive(HybridTime);

private:
    struct TokenBucket {
        double tokens = burstLines;
        Instant refilledAt;
    };

    bool isWithinRate(EventCode);
    void reportDroppedLines();
    void writeLine(int level, const LogEvent&);
    void keep(const LogEvent&);

    std::string m_process;
    int m_file = -1; ///< Descriptor of the log file, or -1 if the log is not written to a file.
    std::atomic<std::uint64_t> m_droppedLines = 0;
    std::atomic<std::uint64_t> m_reportedDroppedLines = 0; ///< How many of them a log line has reported.
    std::unique_ptr<LineWriter> m_writer;
    mutable std::mutex m_mutex; ///< Guards the members below; no other lock is taken while it is held.
    HybridClock m_clock;
    std::deque<TimelineEvent> m_events;
    std::size_t m_eventBytes = 0; ///< Of m_events.
    std::map<EventCode, TokenBucket> m_buckets;
};

} // namespace wrenhinge
