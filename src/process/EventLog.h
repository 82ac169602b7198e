/** \file
 * Where notes go: the log (log4cplus) and this process's part of the time line.
 *
 * The time line keeps the newest events in memory, each with a hybrid logical stamp, and `wrenhinge timeline` merges
 * those of all processes. Stamps travel with every message between processes.
 */
#pragma once

#include "base/EventCode.h"
#include "base/HybridClock.h"
#include "process/Settings.h"

#include <deque>
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
    static constexpr std::size_t eventsKept = 50000;

    /// Starts log4cplus as the settings say. `process` names this process in each line.
    EventLog(const LogSettings&, std::string process);
    ~EventLog();
    EventLog(const EventLog&) = delete;
    EventLog& operator=(const EventLog&) = delete;

    void write(const Note&);
    void setLevel(const std::string& level);
    /// The kept events, of one request if `request` is given.
    [[nodiscard]] std::vector<TimelineEvent> events(const std::string& request) const;

    HybridTime stampSend();
    void stampReceive(HybridTime);

private:
    std::string m_process;
    mutable std::mutex m_mutex; ///< Guards what follows; nothing else is locked under it.
    HybridClock m_clock;
    std::deque<TimelineEvent> m_events;
};

} // namespace wrenhinge
