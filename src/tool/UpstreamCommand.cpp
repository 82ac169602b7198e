/** \file
 * `upstream list`, `drain` and `resume`. Draining is a change of configuration, so it holds after every restart.
 */
#include "tool/AdminClient.h"
#include "tool/Commands.h"
#include "tool/ConfigChange.h"
#include "tool/Table.h"

#include <iostream>
#include <map>

namespace wrenhinge::tool {

namespace {

    using Json = nlohmann::json;

    /// All upstreams that any gateway knows, by identity.
    Result<std::map<std::string, Json>> collectUpstreams(const Options& options)
    {
        auto processes = discoverProcesses(options.admin);
        if (!processes)
            return processes.error();
        std::map<std::string, Json> upstreams;
        for (const auto& process : processes.value()) {
            if (process.role != "gateway")
                continue;
            auto response = callAdmin(process.admin, "GET", "/upstreams");
            if (!response || !response.value().json.is_array())
                continue;
            for (const auto& upstream : response.value().json) {
                auto& known = upstreams[upstream.value("id", "")];
                if (known.is_null())
                    known = upstream;
                known["gateways"].push_back(process.name);
            }
        }
        return upstreams;
    }

    int list(const Options& options)
    {
        auto upstreams = collectUpstreams(options);
        if (!upstreams)
            return fail(upstreams.error().message, ExitUnreachable);
        auto rows = Json::array();
        Table table({ "SERVICE", "REPLICA", "KIND", "ZONE", "STATE", "SLOTS", "OCCUPIED", "QUEUED", "GATEWAYS" });
        for (const auto& [id, upstream] : upstreams.value()) {
            rows.push_back(upstream);
            const auto& load = upstream["load"];
            table.addRow({ upstream["service"], upstream["replica"], upstream["kind"], upstream["zone"], upstream["state"],
                load["slots"].dump(), load["occupied"].dump(), load["queued"].dump(), std::to_string(upstream["gateways"].size()) });
        }
        std::cout << (options.json ? rows.dump(2) + "\n" : table.text());
        return ExitOk;
    }

    int setReplicaState(const Options& options, const std::string& service, const std::string& replica, const std::string& state)
    {
        return applyChange(options, { { "replica/" + service + "/" + replica + "/state", state } }, {});
    }

} // namespace

int runUpstream(const Options& options, const Arguments& arguments)
{
    if (arguments.size() == 2 && arguments[1] == "list")
        return list(options);
    if (arguments.size() == 4 && arguments[1] == "drain")
        return setReplicaState(options, arguments[2], arguments[3], "drain");
    if (arguments.size() == 4 && arguments[1] == "resume")
        return setReplicaState(options, arguments[2], arguments[3], "in-use");
    return fail("use upstream list, upstream drain SERVICE REPLICA or upstream resume SERVICE REPLICA", ExitUsage);
}

} // namespace wrenhinge::tool
