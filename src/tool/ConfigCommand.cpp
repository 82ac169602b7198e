/** \file
 * `config check|diff|apply|show|history|status`.
 */
#include "tool/AdminClient.h"
#include "tool/Commands.h"
#include "tool/ConfigChange.h"
#include "tool/Table.h"

#include <iostream>

namespace wrenhinge::tool {

namespace {

    using Json = nlohmann::json;

    int check(const std::string& file)
    {
        auto entries = readConfigFile(file);
        if (!entries)
            return fail(entries.error().message, ExitRefused);
        std::cout << file << ": ok, " << entries.value().size() << " entries\n";
        return ExitOk;
    }

    /// What a file would change, or an exit code.
    std::variant<ConfigDifference, int> differenceFromCurrent(const Options& options, const std::string& file)
    {
        auto entries = readConfigFile(file);
        if (!entries)
            return fail(entries.error().message, ExitRefused);
        auto current = fetchCurrentConfig(options);
        if (!current)
            return fail(current.error().message, ExitUnreachable);
        return differenceOf(current.value().entries, entries.value());
    }

    int diff(const Options& options, const std::string& file)
    {
        auto difference = differenceFromCurrent(options, file);
        if (auto* exitCode = std::get_if<int>(&difference))
            return *exitCode;
        const auto& [puts, removes] = std::get<ConfigDifference>(difference);
        for (const auto& [path, value] : puts)
            std::cout << "+ " << path << " = " << value << "\n";
        for (const auto& path : removes)
            std::cout << "- " << path << "\n";
        return ExitOk;
    }

    int apply(const Options& options, const std::string& file)
    {
        auto difference = differenceFromCurrent(options, file);
        if (auto* exitCode = std::get_if<int>(&difference))
            return *exitCode;
        const auto& change = std::get<ConfigDifference>(difference);
        if (change.empty()) {
            std::cout << "nothing to change\n";
            return ExitOk;
        }
        return applyChange(options, change.puts, change.removes);
    }

    int show(const Options& options)
    {
        auto current = fetchCurrentConfig(options);
        if (!current)
            return fail(current.error().message, ExitUnreachable);
        if (options.json) {
            std::cout << Json {
                { "version", current.value().version }, { "number", current.value().number }, { "entries", current.value().entries }
            }.dump(2) << "\n";
            return ExitOk;
        }
        std::cout << "version " << current.value().version << ", number " << current.value().number << "\n";
        for (const auto& [path, value] : current.value().entries)
            std::cout << path << " = " << value << "\n";
        return ExitOk;
    }

    /// A page of the controller whose configuration is the newest.
    Result<Json> fetchFromController(const Options& options, const std::string& path)
    {
        auto current = fetchCurrentConfig(options);
        if (!current)
            return current.error();
        auto response = callAdmin(current.value().controllerAdmin, "GET", path);
        if (!response)
            return response.error();
        return response.value().json;
    }

    int history(const Options& options)
    {
        auto response = fetchFromController(options, "/config/history");
        if (!response)
            return fail(response.error().message, ExitUnreachable);
        Table table({ "VERSION", "NUMBER", "AUTHOR", "CHANGE ID", "ENTRIES" });
        for (const auto& change : response.value())
            table.addRow({ change["version"].dump(), change["number"].dump(), change["author"], change["change_id"],
                std::to_string(change["puts"].size() + change["removes"].size()) });
        std::cout << (options.json ? response.value().dump(2) + "\n" : table.text());
        return ExitOk;
    }

    int status(const Options& options)
    {
        auto response = fetchFromController(options, "/config/status");
        if (!response)
            return fail(response.error().message, ExitUnreachable);
        const auto& json = response.value();
        Table table({ "PROCESS", "ROLE", "SITE", "ZONE", "IN FORCE", "FOR (MS)" });
        bool isInForceEverywhere = true;
        for (const auto& watcher : json["watchers"]) {
            isInForceEverywhere = isInForceEverywhere && watcher["version"] == json["version"];
            table.addRow({ watcher["name"], watcher["role"], watcher["site"], watcher["zone"], watcher["version"].dump(),
                watcher["since_ms"].dump() });
        }
        if (options.json)
            std::cout << json.dump(2) << "\n";
        else
            std::cout << table.text() << "version " << json["version"]
                      << (isInForceEverywhere ? " is in force at all of them\n" : " is not in force everywhere yet\n");
        return ExitOk;
    }

} // namespace

int runConfig(const Options& options, const Arguments& arguments)
{
    auto subcommand = arguments.size() > 1 ? arguments[1] : std::string();
    if (arguments.size() == 3 && subcommand == "check")
        return check(arguments[2]);
    if (options.admin.empty())
        return fail("give --admin IP:PORT or set WRENHINGE_ADMIN", ExitUsage);
    if (arguments.size() == 3 && subcommand == "diff")
        return diff(options, arguments[2]);
    if (arguments.size() == 3 && subcommand == "apply")
        return apply(options, arguments[2]);
    if (arguments.size() == 2 && subcommand == "show")
        return show(options);
    if (arguments.size() == 2 && subcommand == "history")
        return history(options);
    if (arguments.size() == 2 && subcommand == "status")
        return status(options);
    return fail("use config check FILE, diff FILE, apply FILE, show, history or status", ExitUsage);
}

} // namespace wrenhinge::tool
