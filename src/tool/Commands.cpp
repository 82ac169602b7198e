#include "tool/Commands.h"

#include "tool/AdminClient.h"
#include "tool/Table.h"

#include <algorithm>
#include <iostream>
#include <limits>

namespace wrenhinge::tool {

namespace {

    using Json = nlohmann::json;

    std::string fieldText(const Json& json, const std::string& key)
    {
        if (!json.contains(key))
            return "-";
        return json[key].is_string() ? json[key].get<std::string>() : json[key].dump();
    }

    /// How many members the log has as this controller knows them.
    std::string memberCount(const Json& json)
    {
        return json.contains("members") && json["members"].is_array() ? std::to_string(json["members"].size()) : "-";
    }

    /// What a gateway may still send once more, at the service that has least left.
    std::string lowestRetryBudget(const Json& json)
    {
        if (!json.contains("retry_budget_left") || !json["retry_budget_left"].is_object() || json["retry_budget_left"].empty())
            return "-";
        double lowest = std::numeric_limits<double>::infinity();
        for (const auto& remaining : json["retry_budget_left"])
            lowest = std::min(lowest, remaining.get<double>());
        return std::to_string(static_cast<long>(lowest));
    }

    int usageError(const std::string& what) { return fail(what + "; see wrenhinge --help", ExitUsage); }

} // namespace

int fail(const std::string& message, int exitCode)
{
    std::cerr << "wrenhinge: " << message << "\n";
    return exitCode;
}

int runCommand(const Options& options, const Arguments& arguments)
{
    if (arguments.empty())
        return usageError("name a command");
    const auto& command = arguments[0];
    if (command == "config")
        return runConfig(options, arguments);
    if (options.admin.empty())
        return usageError("give --admin IP:PORT or set WRENHINGE_ADMIN");
    if (command == "status" && arguments.size() == 1)
        return runStatus(options);
    if (command == "accounts" && arguments.size() == 1)
        return runAccounts(options);
    if (command == "upstream")
        return runUpstream(options, arguments);
    if (command == "timeline" && arguments.size() == 1)
        return runTimeline(options, "");
    if (command == "request" && arguments.size() == 3 && arguments[1] == "explain")
        return runTimeline(options, arguments[2]);
    if (command == "metrics" && arguments.size() == 1)
        return runMetrics(options);
    return usageError("unknown command '" + command + "' or wrong number of words");
}

int runStatus(const Options& options)
{
    auto processes = discoverProcesses(options.admin);
    if (!processes)
        return fail(processes.error().message, ExitUnreachable);
    auto rows = Json::array();
    Table table({ "NAME", "ROLE", "ZONE", "CONFIG", "DOCUMENT", "MEMBERS", "IN PROGRESS", "RETRIES LEFT", "STATE" });
    for (const auto& process : processes.value()) {
        auto response = callAdmin(process.admin, "GET", "/status");
        if (!response || !response.value().json.is_object()) {
            table.addRow({ process.name, process.role, process.zone, "-", "-", "-", "-", "-", "unreachable" });
            continue;
        }
        const auto& json = response.value().json;
        rows.push_back(json);
        bool isLeader = json.value("is_leader", false);
        auto state = json.value("draining", false) ? "draining" : isLeader ? "leader" : "in use";
        table.addRow({ process.name, process.role, process.zone, fieldText(json, "config_version"), fieldText(json, "document_version"),
            memberCount(json), fieldText(json, "in_progress"), lowestRetryBudget(json), state });
    }
    std::cout << (options.json ? rows.dump(2) + "\n" : table.text());
    return ExitOk;
}

int runMetrics(const Options& options)
{
    auto response = callAdmin(options.admin, "GET", "/metrics");
    if (!response)
        return fail(response.error().message, ExitUnreachable);
    std::cout << response.value().text;
    return response.value().status == 200 ? ExitOk : ExitRefused;
}

} // namespace wrenhinge::tool
