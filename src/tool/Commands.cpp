#include "tool/Commands.h"

#include "tool/AdminClient.h"
#include "tool/Table.h"

#include <algorithm>
#include <iostream>
#include <limits>

namespace wrenhinge::tool {

namespace {

    using Json = nlohmann::json;

    std::string textOf(const Json& json, const std::string& key)
    {
        if (!json.contains(key))
            return "-";
        return json[key].is_string() ? json[key].get<std::string>() : json[key].dump();
    }

    /// How many members the log has as this controller knows them.
    std::string membersOf(const Json& json)
    {
        return json.contains("members") && json["members"].is_array() ? std::to_string(json["members"].size()) : "-";
    }

    /// What a gateway may still send once more, at the service that has least left.
    std::string budgetOf(const Json& json)
    {
        if (!json.contains("retry_budget_left") || !json["retry_budget_left"].is_object() || json["retry_budget_left"].empty())
            return "-";
        double least = std::numeric_limits<double>::infinity();
        for (const auto& left : json["retry_budget_left"])
            least = std::min(least, left.get<double>());
        return std::to_string(static_cast<long>(least));
    }

    int usage(const std::string& what) { return fail(what + "; see wrenhinge --help", ExitUsage); }

} // namespace

int fail(const std::string& message, int exitCode)
{
    std::cerr << "wrenhinge: " << message << "\n";
    return exitCode;
}

int runCommand(const Options& options, const Words& words)
{
    if (words.empty())
        return usage("name a command");
    const auto& command = words[0];
    if (command == "config")
        return runConfig(options, words);
    if (options.admin.empty())
        return usage("give --admin IP:PORT or set WRENHINGE_ADMIN");
    if (command == "status" && words.size() == 1)
        return runStatus(options);
    if (command == "accounts" && words.size() == 1)
        return runAccounts(options);
    if (command == "upstream")
        return runUpstream(options, words);
    if (command == "timeline" && words.size() == 1)
        return runTimeline(options, "");
    if (command == "request" && words.size() == 3 && words[1] == "explain")
        return runTimeline(options, words[2]);
    if (command == "metrics" && words.size() == 1)
        return runMetrics(options);
    return usage("unknown command '" + command + "' or wrong number of words");
}

int runStatus(const Options& options)
{
    auto processes = findProcesses(options.admin);
    if (!processes)
        return fail(processes.error().message, ExitUnreachable);
    auto all = Json::array();
    Table table({ "NAME", "ROLE", "ZONE", "CONFIG", "DOCUMENT", "MEMBERS", "IN PROGRESS", "RETRIES LEFT", "STATE" });
    for (const auto& process : processes.value()) {
        auto answer = callAdmin(process.admin, "GET", "/status");
        if (!answer || !answer.value().json.is_object()) {
            table.add({ process.name, process.role, process.zone, "-", "-", "-", "-", "-", "unreachable" });
            continue;
        }
        const auto& json = answer.value().json;
        all.push_back(json);
        bool isLeader = json.value("is_leader", false);
        auto state = json.value("draining", false) ? "draining" : isLeader ? "leader" : "in use";
        table.add({ process.name, process.role, process.zone, textOf(json, "config_version"), textOf(json, "document_version"),
            membersOf(json), textOf(json, "in_progress"), budgetOf(json), state });
    }
    std::cout << (options.json ? all.dump(2) + "\n" : table.text());
    return ExitOk;
}

int runMetrics(const Options& options)
{
    auto answer = callAdmin(options.admin, "GET", "/metrics");
    if (!answer)
        return fail(answer.error().message, ExitUnreachable);
    std::cout << answer.value().text;
    return answer.value().status == 200 ? ExitOk : ExitRefused;
}

} // namespace wrenhinge::tool
