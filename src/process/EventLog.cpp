#include "process/EventLog.h"

#include "base/SystemClock.h"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace wrenhinge {

namespace {

    constexpr const char* lineLayout = "%D{%Y-%m-%dT%H:%M:%S.%q} %-5p %m%n";

    log4cplus::LogLevel levelOf(EventCode code)
    {
        switch (code) {
        case EventCode::PeerDown:
        case EventCode::UpstreamLeaseExpired:
        case EventCode::UpstreamEjected:
        case EventCode::RequestFailed:
        case EventCode::LeaderLost:
        case EventCode::LogTailCut:
        case EventCode::VoteWithheld:
            return log4cplus::WARN_LOG_LEVEL;
        default:
            break;
        }
        // What happens several times for each request would drown the rest.
        auto n = static_cast<int>(code);
        return n >= 200 && n < 400 ? log4cplus::DEBUG_LOG_LEVEL : log4cplus::INFO_LOG_LEVEL;
    }

    log4cplus::Logger& logger()
    {
        static auto instance = log4cplus::Logger::getInstance("wrenhinge");
        return instance;
    }

    log4cplus::SharedAppenderPtr makeAppender(const LogSettings& settings)
    {
        if (settings.file.empty())
            return log4cplus::SharedAppenderPtr(new log4cplus::ConsoleAppender(!settings.toStandardOutput, true));
        return log4cplus::SharedAppenderPtr(new log4cplus::FileAppender(settings.file, std::ios_base::app));
    }

} // namespace

EventLog::EventLog(const LogSettings& settings, std::string process)
    : m_process(std::move(process))
{
    log4cplus::initialize();
    auto appender = makeAppender(settings);
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(lineLayout));
    logger().removeAllAppenders();
    logger().addAppender(appender);
    logger().setAdditivity(false);
    setLevel(settings.level);
}

EventLog::~EventLog() { logger().removeAllAppenders(); }

void EventLog::setLevel(const std::string& level)
{
    auto upper = level;
    for (auto& c : upper)
        c = static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    logger().setLogLevel(log4cplus::getLogLevelManager().fromString(upper));
}

void EventLog::write(const Note& note)
{
    auto request = note.request.sequence ? toString(note.request) : std::string();
    {
        std::lock_guard lock(m_mutex);
        m_events.push_back({ m_clock.tick(currentWallMicros()), note.code, request, note.text });
        if (m_events.size() > eventsKept)
            m_events.pop_front();
    }
    auto level = levelOf(note.code);
    if (!logger().isEnabledFor(level))
        return;
    auto line
        = "event=" + std::to_string(static_cast<int>(note.code)) + " name=" + std::string(nameOf(note.code)) + " process=" + m_process;
    if (!request.empty())
        line += " request=" + request;
    if (!note.text.empty())
        line += " text=\"" + note.text + "\"";
    logger().forcedLog(level, line);
}

std::vector<TimelineEvent> EventLog::events(const std::string& request) const
{
    std::lock_guard lock(m_mutex);
    std::vector<TimelineEvent> list;
    for (const auto& event : m_events) {
        if (request.empty() || event.request == request)
            list.push_back(event);
    }
    return list;
}

HybridTime EventLog::stampSend()
{
    std::lock_guard lock(m_mutex);
    return m_clock.tick(currentWallMicros());
}

void EventLog::stampReceive(HybridTime remote)
{
    std::lock_guard lock(m_mutex);
    m_clock.receive(remote, currentWallMicros());
}

} // namespace wrenhinge
