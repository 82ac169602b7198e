/** \file
 * `timeline` and `request explain`: the events of all processes, merged by their hybrid logical stamps.
 */
#include "tool/AdminClient.h"
#include "tool/Commands.h"
#include "tool/Table.h"

#include <algorithm>
#include <ctime>
#include <iostream>

namespace wrenhinge::tool {

namespace {

    using Json = nlohmann::json;

    std::string formatTimeOfDay(std::uint64_t wallMicros)
    {
        auto seconds = static_cast<std::time_t>(wallMicros / 1000000);
        std::tm utc {};
        gmtime_r(&seconds, &utc);
        char buf[32];
        auto n = std::strftime(buf, sizeof buf, "%H:%M:%S", &utc);
        char micros[12];
        std::snprintf(micros, sizeof micros, ".%06llu", static_cast<unsigned long long>(wallMicros % 1000000));
        return std::string(buf, n) + micros;
    }

    bool isEarlier(const Json& a, const Json& b)
    {
        auto timestamp = [](const Json& event) { return std::pair(event.value("wall_us", std::uint64_t()), event.value("logical", 0u)); };
        return timestamp(a) < timestamp(b);
    }

} // namespace

int runTimeline(const Options& options, const std::string& requestId)
{
    auto processes = discoverProcesses(options.admin);
    if (!processes)
        return fail(processes.error().message, ExitUnreachable);
    std::vector<Json> events;
    for (const auto& process : processes.value()) {
        auto response = callAdmin(process.admin, "GET", requestId.empty() ? "/timeline" : "/timeline?request=" + requestId);
        if (response && response.value().json.is_array())
            events.insert(events.end(), response.value().json.begin(), response.value().json.end());
    }
    if (events.empty() && !requestId.empty())
        return fail("no process knows request " + requestId + "; ids are in the X-Request-Id header of answers", ExitRefused);
    std::stable_sort(events.begin(), events.end(), isEarlier);
    if (options.json) {
        std::cout << Json(events).dump(2) << "\n";
        return ExitOk;
    }
    Table table({ "TIME (UTC)", "PROCESS", "EVENT", "REQUEST", "WHAT" });
    for (const auto& event : events) {
        table.addRow({ formatTimeOfDay(event.value("wall_us", std::uint64_t())), event.value("process", ""),
            std::to_string(event.value("event", 0)) + " " + event.value("name", ""), event.value("request", ""), event.value("text", "") });
    }
    std::cout << table.text();
    return ExitOk;
}

} // namespace wrenhinge::tool
