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

    struct AccountTotals {
        std::string unit;
        double limit = 0;
        double used = 0;
        double remaining = 0; ///< At the gateway that has least.
        std::uint64_t admitted = 0;
        std::uint64_t refused = 0;
        std::size_t gateways = 0;
        std::size_t isolatedGateways = 0; ///< Gateways that hear of no others.
    };

    void addRow(AccountTotals& totals, const Json& account)
    {
        totals.unit = account.value("unit", "");
        totals.limit = account.value("limit_per_second", 0.0);
        totals.used += account.value("used_here_per_second", 0.0);
        auto remaining = account.value("left", 0.0);
        totals.remaining = totals.gateways ? std::min(totals.remaining, remaining) : remaining;
        totals.admitted += account.value("admitted", std::uint64_t());
        totals.refused += account.value("refused", std::uint64_t());
        totals.isolatedGateways += account.value("hears_others", true) ? 0 : 1;
        ++totals.gateways;
    }

    Result<std::map<std::string, AccountTotals>> collectAccounts(const Options& options)
    {
        auto processes = discoverProcesses(options.admin);
        if (!processes)
            return processes.error();
        std::map<std::string, AccountTotals> accounts;
        for (const auto& process : processes.value()) {
            if (process.role != "gateway")
                continue;
            auto response = callAdmin(process.admin, "GET", "/accounts");
            if (!response || !response.value().json.is_array())
                continue;
            for (const auto& account : response.value().json)
                addRow(accounts[account.value("name", "")], account);
        }
        return accounts;
    }

    std::string rounded(double n) { return std::to_string(std::llround(n)); }

} // namespace

int runAccounts(const Options& options)
{
    auto accounts = collectAccounts(options);
    if (!accounts)
        return fail(accounts.error().message, ExitUnreachable);
    auto rows = Json::array();
    Table table({ "ACCOUNT", "UNIT", "LIMIT/S", "USED/S", "LEFT", "ADMITTED", "REFUSED", "GATEWAYS", "ALONE" });
    for (const auto& [name, totals] : accounts.value()) {
        rows.push_back({ { "name", name }, { "unit", totals.unit }, { "limit_per_second", totals.limit },
            { "used_per_second", totals.used }, { "left", totals.remaining }, { "admitted", totals.admitted },
            { "refused", totals.refused }, { "gateways", totals.gateways }, { "alone", totals.isolatedGateways } });
        table.addRow({ name, totals.unit, totals.limit > 0 ? rounded(totals.limit) : "-", rounded(totals.used),
            totals.limit > 0 ? rounded(totals.remaining) : "-", std::to_string(totals.admitted), std::to_string(totals.refused),
            std::to_string(totals.gateways), std::to_string(totals.isolatedGateways) });
    }
    std::cout << (options.json ? rows.dump(2) + "\n" : table.text());
    return ExitOk;
}

} // namespace wrenhinge::tool
