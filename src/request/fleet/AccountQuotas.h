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
    static constexpr Duration contactTimeout = 1300ms;
    /// What was used is reported this often at least; soon after it has become much.
    static constexpr Duration reportInterval = 500ms;
    static constexpr Duration promptReportDelay = 20ms;
    /// What was told of unheard gateways is passed on to controllers that start within this time.
    static constexpr Duration gatewaysSeenLifetime = 60s;

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
    void refund(const std::string& account, double amount, Instant now);

    // What is heard.
    void setGateways(std::uint32_t n) { m_gateways = n; }
    void noteContact(PeerId controller, Instant now);
    void disconnected(PeerId controller) { m_lastHeardAt.erase(controller); }
    void take(PeerId controller, const QuotaTotals&, Instant now);

    /// What to tell all controllers.
    struct Report {
        std::vector<AccountUsage> uses;
        std::optional<PeerId> totalsSource; ///< The controller by whose totals this gateway goes.
        bool asksForAll = false;
        GatewayCounts told;
    };
    /// \returns nothing before `nextReport`.
    std::optional<Report> report(Instant now);
    [[nodiscard]] Instant nextReport() const { return m_reportAt; }

    [[nodiscard]] bool hasContact(Instant now) const;
    /// By name; for operators.
    [[nodiscard]] std::map<std::string, AccountQuota>& accounts() { return m_accounts; }

private:
    AccountQuota* find(const std::string& account, Instant now);
    void chooseTotalsSource(Instant now);
    [[nodiscard]] GatewayCounts gatewaysSeen(Instant now) const;
    void capUnreported(Instant now);

    QuotaSettings m_settings;
    std::string m_gateway;
    std::uint32_t m_gateways = SharedRetryBudget::assumedGateways;
    std::map<std::string, AccountQuota> m_accounts;
    std::unordered_map<AccountId, std::string> m_names;
    /// Accounts that may be active: reports come many times a second, and go by these alone, however many accounts there are.
    std::set<std::string> m_active;
    std::map<PeerId, Instant> m_lastHeardAt; ///< Controllers.
    std::optional<PeerId> m_totalsSource;
    bool m_knowsBusyAccounts = false; ///< A controller has told of all busy accounts since this gateway hears of them.
    GatewayCounts m_gatewaysSeen; ///< By the teller, at `m_gatewaysSeenAt`.
    Instant m_gatewaysSeenAt;
    std::optional<PeerId> m_previousSource; ///< It has fallen silent on a busy account, and is no choice while there is another.
    Instant m_reportAt = Instant::max();
    Instant m_reportedAt;
};

/// How processes name the account to each other.
AccountId accountId(std::string_view name);

} // namespace wrenhinge
