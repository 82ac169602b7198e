/** \file
 * The log: it never waits, its volume is bounded, and gaps are told.
 */
#include "Folder.h"
#include "process/EventLog.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/stat.h>
#include <unistd.h>

using namespace wrenhinge;
using wrenhinge::test::Folder;

namespace {

std::string textOf(const std::string& path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

std::size_t count(const std::string& text, const std::string& what)
{
    std::size_t n = 0;
    for (auto at = text.find(what); at != std::string::npos; at = text.find(what, at + 1))
        ++n;
    return n;
}

LogSettings toFile(const std::string& path)
{
    LogSettings settings;
    settings.file = path;
    settings.level = "debug";
    return settings;
}

} // namespace

TEST_CASE("a pipe that nobody reads costs lines, and not the one who logs")
{
    // Guards against a gateway that stops answering because it can't write its log.
    std::array<int, 2> ends {};
    REQUIRE(::pipe(ends.data()) == 0);
    std::size_t taken = 0;
    std::size_t leftOut = 0;
    {
        LineWriter writer(ends[1]);
        for (int i = 0; i < 40000; ++i)
            ++(writer.write("line " + std::to_string(i) + "\n") ? taken : leftOut);
    }
    CHECK(taken > 1000);
    CHECK(leftOut > 1000);
    // What has come is whole lines from the first one on, but for a cut at the end.
    ::close(ends[1]);
    std::string text;
    std::array<char, 4096> buf {};
    for (ssize_t n = 0; (n = ::read(ends[0], buf.data(), buf.size())) > 0;)
        text.append(buf.data(), static_cast<std::size_t>(n));
    ::close(ends[0]);
    std::istringstream lines(text.substr(0, text.rfind('\n') + 1));
    int expected = 0;
    for (std::string line; std::getline(lines, line);)
        CHECK(line == "line " + std::to_string(expected++));
    CHECK(expected > 1000);
}

TEST_CASE("all lines are there after an orderly end")
{
    Folder folder;
    auto path = folder.file("log");
    {
        EventLog log(toFile(path), "p");
        for (int i = 0; i < 500; ++i)
            log.write({ EventCode::PeerUp, {}, "peer " + std::to_string(i) });
        CHECK(log.droppedLines() == 0);
    }
    auto text = textOf(path);
    CHECK(count(text, "\n") == 500);
    CHECK(text.find("event=110 name=PEER_UP process=p text=\"peer 499\"") != std::string::npos);
}

TEST_CASE("an event in a flood is left out beyond its rate, others are not, and the gap is told")
{
    Folder folder;
    auto path = folder.file("log");
    constexpr int flood = 20000;
    std::uint64_t leftOut = 0;
    {
        EventLog log(toFile(path), "p");
        for (int i = 0; i < flood; ++i)
            log.write({ EventCode::RequestRefused, RequestId { PeerId(1), 7 }, "flood" });
        log.write({ EventCode::LeaderLost, {}, "rare" });
        leftOut = log.droppedLines();
    }
    auto text = textOf(path);
    CHECK(leftOut > 0);
    CHECK(count(text, "flood") + leftOut == flood);
    CHECK(count(text, "flood") >= EventLog::burstLines);
    CHECK(count(text, "rare") == 1);
    std::uint64_t told = 0;
    const std::string mark = "name=LINES_LEFT_OUT process=p text=\"";
    for (auto at = text.find(mark); at != std::string::npos; at = text.find(mark, at + 1))
        told += std::stoull(text.substr(at + mark.size()));
    CHECK(told == leftOut);
}

TEST_CASE("what the time line keeps is bounded in bytes, and so is each text")
{
    // Guards against a process that is over its memory with names that callers choose.
    Folder folder;
    EventLog log(toFile(folder.path() + "/log"), "p");
    constexpr std::size_t longText = 15000;
    constexpr int events = 20000;
    for (int i = 0; i < events; ++i)
        log.write({ EventCode::RequestReceived, {}, std::to_string(i) + std::string(longText, 'x') });
    std::size_t bytes = 0;
    auto kept = log.events("");
    for (const auto& event : kept)
        bytes += event.text.size();
    CHECK(bytes <= EventLog::maxEventBytes);
    CHECK(kept.back().text.starts_with(std::to_string(events - 1)));
    CHECK(kept.back().text.size() == EventLog::maxTextBytes);
}

TEST_CASE("a text stays one value on one line, whatever it holds")
{
    Folder folder;
    auto path = folder.file("log");
    {
        EventLog log(toFile(path), "p");
        log.write({ EventCode::PeerUp, {}, "a \"b\" \\ c\nd" });
    }
    CHECK(textOf(path).find("text=\"a \\\"b\\\" \\\\ c d\"\n") != std::string::npos);
}

TEST_CASE("a log file that can't be opened ends nothing")
{
    EventLog log(toFile("/proc/nowhere/log"), "p");
    log.write({ EventCode::PeerUp, {}, "still here" });
    CHECK(log.events("").front().code == EventCode::LogFileRefused);
}
