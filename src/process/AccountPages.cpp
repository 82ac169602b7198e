#include "process/AccountPages.h"

#include <algorithm>
#include <functional>
#include <tuple>

namespace wrenhinge {

nlohmann::json accountsPage(AccountQuotas& quotas, Instant now)
{
    auto list = nlohmann::json::array();
    for (auto& [name, quota] : quotas.accounts()) {
        auto usage = quota.usage(now);
        list.push_back({ { "name", name }, { "unit", nameOf(quota.rule().unit) }, { "limit_per_second", quota.rule().perSecond },
            { "burst", quota.rule().burst }, { "used_here_per_second", usage.ownPerSecond },
            { "used_elsewhere_per_second", usage.othersPerSecond }, { "left", usage.remaining }, { "hears_others", !usage.isIsolated },
            { "admitted", quota.admitted() }, { "refused", quota.refused() } });
    }
    return list;
}

std::string accountMetrics(AccountQuotas& quotas)
{
    constexpr std::size_t maxAccounts = 50;
    std::vector<std::tuple<std::uint64_t, std::uint64_t, std::string>> busiest;
    for (const auto& [name, quota] : quotas.accounts())
        busiest.emplace_back(quota.refused(), quota.admitted(), name);
    auto shown = std::min(maxAccounts, busiest.size());
    std::partial_sort(busiest.begin(), busiest.begin() + static_cast<std::ptrdiff_t>(shown), busiest.end(), std::greater<>());
    std::string out;
    for (std::size_t i = 0; i < shown; ++i) {
        const auto& [refused, admitted, name] = busiest[i];
        auto series = "wrenhinge_account_requests_total{account=\"" + name + "\",verdict=\"";
        out += series + "admitted\"} " + std::to_string(admitted) + "\n" + series + "refused\"} " + std::to_string(refused) + "\n";
    }
    return out;
}

} // namespace wrenhinge
