/** \file
 * `accounts`: what client accounts use of their limits, added up over all gateways.
 */
#include "tool/AdminClient.h"
#include "tool/Commands.h"
#include "tool/Table.h"

#include <cmath>
#include <iostream>
#include <map>

namespace wrenhinge::tool {

namespace {

    using Json = nlohmann::json;

    struct AccountUse {
        std::string unit;
        double limit = 0;
        double used = 0;
        double left = 0; ///< At the gateway that has least.
        std::uint64_t admitted = 0;
        std::uint64_t refused = 0;
        std::size_t gateways = 0;
        std::size_t alone = 0; ///< Gateways that hear of no others.
    };

    void add(AccountUse& sum, const Json& account)
    {
        sum.unit = account.value("unit", "");
        sum.limit = account.value("limit_per_second", 0.0);
        sum.used += account.value("used_here_per_second", 0.0);
        auto left = account.value("left", 0.0);
        sum.left = sum.gateways ? std::min(sum.left, left) : left;
        sum.admitted += account.value("admitted", std::uint64_t());
        sum.refused += account.value("refused", std::uint64_t());
        sum.alone += account.value("hears_others", true) ? 0 : 1;
        ++sum.gateways;
    }

    Result<std::map<std::string, AccountUse>> collect(const Options& options)
    {
        auto processes = findProcesses(options.admin);
        if (!processes)
            return processes.error();
        std::map<std::string, AccountUse> accounts;
        for (const auto& process : processes.value()) {
            if (process.role != "gateway")
                continue;
            auto answer = callAdmin(process.admin, "GET", "/accounts");
            if (!answer || !answer.value().json.is_array())
                continue;
            for (const auto& account : answer.value().json)
                add(accounts[account.value("name", "")], account);
        }
        return accounts;
    }

    std::string whole(double n) { return std::to_string(std::llround(n)); }

} // namespace

int runAccounts(const Options& options)
{
    auto accounts = collect(options);
    if (!accounts)
        return fail(accounts.error().message, ExitUnreachable);
    auto all = Json::array();
    Table table({ "ACCOUNT", "UNIT", "LIMIT/S", "USED/S", "LEFT", "ADMITTED", "REFUSED", "GATEWAYS", "ALONE" });
    for (const auto& [name, use] : accounts.value()) {
        all.push_back({ { "name", name }, { "unit", use.unit }, { "limit_per_second", use.limit }, { "used_per_second", use.used },
            { "left", use.left }, { "admitted", use.admitted }, { "refused", use.refused }, { "gateways", use.gateways },
            { "alone", use.alone } });
        table.add({ name, use.unit, use.limit > 0 ? whole(use.limit) : "-", whole(use.used), use.limit > 0 ? whole(use.left) : "-",
            std::to_string(use.admitted), std::to_string(use.refused), std::to_string(use.gateways), std::to_string(use.alone) });
    }
    std::cout << (options.json ? all.dump(2) + "\n" : table.text());
    return ExitOk;
}

} // namespace wrenhinge::tool
