#include "tool/ConfigChange.h"

#include "tool/AdminClient.h"

#include <iostream>
#include <random>
#include <thread>

namespace wrenhinge::tool {

namespace {

    using Json = nlohmann::json;

    constexpr int maxAttempts = 20;
    constexpr auto retryInterval = std::chrono::milliseconds(250);

    std::string generateChangeId()
    {
        std::random_device device;
        char buf[40];
        std::snprintf(buf, sizeof buf, "%08x%08x%08x", device(), device(), device());
        return buf;
    }

    /// Sends the change once. \returns an exit code if it is decided; else `target` says whom to ask next.
    std::optional<int> sendChange(const Options& options, const Json& change, std::string& target, const std::string& fallback)
    {
        auto response = callAdmin(target, "POST", "/config", change.dump());
        if (!response) {
            target = fallback;
            return std::nullopt;
        }
        const auto& json = response.value().json;
        if (response.value().status == 200) {
            if (options.json)
                std::cout << json.dump(2) << "\n";
            else
                std::cout << "accepted as version " << json.value("version", 0u) << " (number " << change["number"] << ", change id "
                          << change["change_id"].get<std::string>() << ")\n";
            return ExitOk;
        }
        bool isUndecided = json.is_object() && json.contains("error") && json["error"].value("name", "") == "CONFIG_UNAVAILABLE";
        if (!isUndecided)
            return fail(json.is_object() && json.contains("error") ? json["error"].value("message", "refused") : response.value().text,
                ExitRefused);
        auto leader = json.value("leader_admin", "");
        target = leader.empty() ? fallback : leader;
        return std::nullopt;
    }

} // namespace

Result<CurrentConfig> fetchCurrentConfig(const Options& options)
{
    auto processes = discoverProcesses(options.admin);
    if (!processes)
        return processes.error();
    std::optional<CurrentConfig> newest;
    for (const auto& process : processes.value()) {
        if (process.role != "controller")
            continue;
        auto response = callAdmin(process.admin, "GET", "/config");
        if (!response || !response.value().json.is_object())
            continue;
        const auto& json = response.value().json;
        CurrentConfig current { process.admin, json.value("version", std::uint64_t()), json.value("number", std::uint64_t()),
            json.value("entries", Configuration::Entries()) };
        if (!newest || current.version > newest->version)
            newest = std::move(current);
    }
    if (!newest)
        return Error { ResultCode::ConfigUnavailable, "no controller can be reached from " + options.admin };
    return std::move(*newest);
}

int applyChange(const Options& options, const Configuration::Entries& puts, const std::vector<std::string>& removes)
{
    auto current = fetchCurrentConfig(options);
    if (!current)
        return fail(current.error().message, ExitUnreachable);
    Json change { { "number", options.number.value_or(current.value().number + 1) },
        { "change_id", options.changeId.empty() ? generateChangeId() : options.changeId }, { "author", options.author }, { "puts", puts },
        { "removes", removes } };
    auto target = current.value().controllerAdmin;
    for (int i = 0; i < maxAttempts; ++i) {
        if (auto exitCode = sendChange(options, change, target, current.value().controllerAdmin))
            return *exitCode;
        std::this_thread::sleep_for(retryInterval);
    }
    return fail("no majority of controllers answers; the change may still be accepted. Resend it with --change-id "
            + change["change_id"].get<std::string>() + " --number " + change["number"].dump(),
        ExitUnreachable);
}

} // namespace wrenhinge::tool
