#include "process/EventLog.h"

#include "base/SystemClock.h"

#include <algorithm>
#include <fcntl.h>
#include <log4cplus/appender.h>
#include <log4cplus/configurator.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <unistd.h>
#include <utility>

namespace wrenhinge {

namespace {

    constexpr int logFilePermissions = 0640;
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
        case EventCode::EntryRefused:
            return log4cplus::WARN_LOG_LEVEL;
        default:
            break;
        }
        // Events that occur several times per request are logged at debug level, or they would hide the others.
        auto n = static_cast<int>(code);
        return n >= 200 && n < 400 ? log4cplus::DEBUG_LOG_LEVEL : log4cplus::INFO_LOG_LEVEL;
    }

    log4cplus::Logger& logger()
    {
        static auto instance = log4cplus::Logger::getInstance("wrenhinge");
        return instance;
    }

    /// Passes formatted lines to a LineWriter and counts those dropped because its queue is full.
    class QueueAppender : public log4cplus::Appender {
    public:
        QueueAppender(LineWriter& writer, std::atomic<std::uint64_t>& droppedLines)
            : m_writer(writer)
            , m_droppedLines(droppedLines)
        {
        }
        ~QueueAppender() override { destructorImpl(); }
        void close() override { closed = true; }

    protected:
        void append(const log4cplus::spi::InternalLoggingEvent& event) override
        {
            log4cplus::tostringstream line;
            layout->formatAndAppend(line, event);
            if (!m_writer.write(line.str()))
                ++m_droppedLines;
        }

    private:
        LineWriter& m_writer;
        std::atomic<std::uint64_t>& m_droppedLines;
    };

    std::size_t bytesOf(const TimelineEvent& event) { return sizeof event + event.request.size() + event.text.size(); }

    /// Formats a text as a quoted logfmt value: escapes quotes and backslashes, and replaces line breaks by spaces.
    std::string quoted(const std::string& text)
    {
        std::string out = "\"";
        for (char c : text) {
            if (c == '"' || c == '\\')
                out += '\\';
            out += c == '\n' ? ' ' : c;
        }
        return out + "\"";
    }

} // namespace

EventLog::EventLog(const LogSettings& settings, std::string process)
    : m_process(std::move(process))
{
    log4cplus::initialize();
    int fd = settings.toStandardOutput ? STDOUT_FILENO : STDERR_FILENO;
    if (!settings.file.empty()) {
        m_file = ::open(settings.file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, logFilePermissions);
        fd = m_file >= 0 ? m_file : STDERR_FILENO;
    }
    m_writer = std::make_unique<LineWriter>(fd);
    log4cplus::SharedAppenderPtr appender(new QueueAppender(*m_writer, m_droppedLines));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(lineLayout));
    logger().removeAllAppenders();
    logger().addAppender(appender);
    logger().setAdditivity(false);
    setLevel(settings.level);
    if (!settings.file.empty() && m_file < 0)
        write({ EventCode::LogFileRefused, {}, settings.file + " can't be opened; the log is written to standard error" });
}

EventLog::~EventLog()
{
    reportDroppedLines();
    logger().removeAllAppenders();
    m_writer.reset();
    if (m_file >= 0)
        ::close(m_file);
}

void EventLog::setLevel(const std::string& level)
{
    auto upper = level;
    for (auto& c : upper)
        c = static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    logger().setLogLevel(log4cplus::getLogLevelManager().fromString(upper));
}

void EventLog::write(const LogEvent& event)
{
    keep(event);
    auto level = levelOf(event.code);
    if (!logger().isEnabledFor(level))
        return;
    if (!isWithinRate(event.code)) {
        ++m_droppedLines;
        return;
    }
    reportDroppedLines();
    writeLine(level, event);
}

void EventLog::keep(const LogEvent& event)
{
    auto request = event.request.sequence ? toString(event.request) : std::string();
    std::lock_guard lock(m_mutex);
    m_events.push_back({ m_clock.tick(currentWallMicros()), event.code, std::move(request), event.text.substr(0, maxTextBytes) });
    m_eventBytes += bytesOf(m_events.back());
    while (m_events.size() > maxEvents || m_eventBytes > maxEventBytes) {
        m_eventBytes -= bytesOf(m_events.front());
        m_events.pop_front();
    }
}

void EventLog::writeLine(int level, const LogEvent& event)
{
    auto line
        = "event=" + std::to_string(static_cast<int>(event.code)) + " name=" + std::string(nameOf(event.code)) + " process=" + m_process;
    if (event.request.sequence)
        line += " request=" + toString(event.request);
    if (!event.text.empty())
        line += " text=" + quoted(event.text.substr(0, maxTextBytes));
    logger().forcedLog(level, line);
}

bool EventLog::isWithinRate(EventCode code)
{
    std::lock_guard lock(m_mutex);
    auto now = currentInstant();
    auto& bucket = m_buckets[code];
    bucket.tokens = std::min(burstLines, bucket.tokens + toSeconds(now - std::exchange(bucket.refilledAt, now)) * linesPerSecond);
    if (bucket.tokens < 1)
        return false;
    --bucket.tokens;
    return true;
}

/// Logs how many lines were dropped since the last such report, as soon as the queue has space for a line.
void EventLog::reportDroppedLines()
{
    auto total = m_droppedLines.load();
    auto reported = m_reportedDroppedLines.load();
    if (total == reported || !m_reportedDroppedLines.compare_exchange_strong(reported, total))
        return;
    writeLine(log4cplus::WARN_LOG_LEVEL, { EventCode::LinesLeftOut, {}, std::to_string(total - reported) + " lines" });
    // This line was dropped as well: the next call reports again.
    if (m_droppedLines != total)
        m_reportedDroppedLines = reported;
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
