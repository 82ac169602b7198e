/** \file
 * The limits of all client accounts at one gateway: which controller it goes by, and what it reports when.
 */
#pragma once

#include "request/fleet/AccountQuota.h"
#include "request/fleet/SharedRetryBudget.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace wrenhinge {

class AccountQuotas {
public:
    /// A controller that was heard of within this time is reached: its heartbeats come once a second.
    static constexpr Duration contactLasts = 1300ms;
    /// What was used is reported this often at least; soon after it has become much.
    static constexpr Duration reportEvery = 500ms;
    static constexpr Duration reportSoon = 20ms;
    /// What was told of unheard gateways is passed on to controllers that start within this time.
    static constexpr Duration toldLasts = 60s;

    /// \param gateway the name of this one.
    explicit AccountQuotas(QuotaSettings settings = {}, std::string gateway = {})
        : m_settings(settings)
        , m_gateway(std::move(gateway))
    {
    }

    /// The limits in force, by the account's name. What is known of an account stays.
    void setRules(const std::map<std::string, QuotaRule>&, Instant now);
    /// Takes the amount from what the account may use. An account without a rule may use any.
    AccountQuota::Verdict admit(const std::string& account, double amount, Instant now);
    void giveBack(const std::string& account, double amount, Instant now);

    // What is heard.
    void setGateways(std::uint32_t n) { m_gateways = n; }
    void heard(PeerId controller, Instant now);
    void gone(PeerId controller) { m_heardAt.erase(controller); }
    void take(PeerId controller, const QuotaTotals&, Instant now);

    /// What to tell all controllers.
    struct Report {
        std::vector<AccountUsage> uses;
        std::optional<PeerId> teller; ///< The controller by whose totals this gateway goes.
        bool asksForAll = false;
        GatewayCounts told;
    };
    /// \returns nothing before `nextReport`.
    std::optional<Report> report(Instant now);
    [[nodiscard]] Instant nextReport() const { return m_reportAt; }

    [[nodiscard]] bool isHearing(Instant now) const;
    /// By name; for operators.
    [[nodiscard]] std::map<std::string, AccountQuota>& accounts() { return m_accounts; }

private:
    AccountQuota* find(const std::string& account, Instant now);
    void chooseTeller(Instant now);
    [[nodiscard]] GatewayCounts gatewaysSeen(Instant now) const;
    void keepUnreported(Instant now);

    QuotaSettings m_settings;
    std::string m_gateway;
    std::uint32_t m_gateways = SharedRetryBudget::gatewaysUnknown;
    std::map<std::string, AccountQuota> m_accounts;
    std::unordered_map<AccountId, std::string> m_names;
    /// Accounts that may be active: reports come many times a second, and go by these alone, however many accounts there are.
    std::set<std::string> m_active;
    std::map<PeerId, Instant> m_heardAt; ///< Controllers.
    std::optional<PeerId> m_teller;
    bool m_knowsBusy = false; ///< A controller has told of all busy accounts since this gateway hears of them.
    GatewayCounts m_told; ///< By the teller, at `m_toldAt`.
    Instant m_toldAt;
    std::optional<PeerId> m_formerTeller; ///< It has fallen silent on a busy account, and is no choice while there is another.
    Instant m_reportAt = Instant::max();
    Instant m_reportedAt;
};

/// How processes name the account to each other.
AccountId accountId(std::string_view name);

} // namespace wrenhinge
