/** \file
 * The rate limits of all client accounts at one gateway: which controller's totals it applies, and what it reports when.
 */
#pragma once

#include "request/fleet/AccountQuota.h"
#include "request/fleet/GatewayCount.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace wrenhinge {

class AccountQuotas {
public:
    /// A controller counts as reachable if something was received from it within this time. Its heartbeats come once a second.
    static constexpr Duration contactTimeout = 1300ms;
    /// Usage is reported at least this often.
    static constexpr Duration reportInterval = 500ms;
    /// Delay of a report once usage exceeds `AccountQuota::reportThreshold` or a total is needed.
    static constexpr Duration promptReportDelay = 20ms;
    /// For this long, the last received count of gateways, and of unreachable ones, is sent to controllers that start.
    static constexpr Duration knownGatewaysLifetime = 60s;

    /// \param gateway the name of this gateway.
    explicit AccountQuotas(QuotaSettings settings = {}, std::string gateway = {})
        : m_settings(settings)
        , m_gateway(std::move(gateway))
    {
    }

    /// Sets the limits in force, by account name. The state of accounts that still have a rule is kept.
    void setRules(const std::map<std::string, QuotaRule>&, Instant now);
    /// Takes the amount from the account's bucket. An account without a rule is not limited.
    AccountQuota::Verdict admit(const std::string& account, double amount, Instant now);
    void refund(const std::string& account, double amount, Instant now);

    // Received from controllers.
    void setGateways(std::uint32_t n) { m_gateways = n; }
    void noteContact(PeerId controller, Instant now);
    void disconnected(PeerId controller) { m_lastHeardAt.erase(controller); }
    void take(PeerId controller, const QuotaTotals&, Instant now);

    /// A report to all controllers.
    struct Report {
        std::vector<AccountUsage> uses;
        std::optional<PeerId> totalsSource; ///< The controller whose totals this gateway applies.
        bool asksForAll = false;
        GatewayCounts knownGateways;
    };
    /// \returns nothing before `nextReport`, or without contact to a controller.
    std::optional<Report> report(Instant now);
    [[nodiscard]] Instant nextReport() const { return m_reportAt; }

    [[nodiscard]] bool hasContact(Instant now) const;
    /// By account name; for operators.
    [[nodiscard]] std::map<std::string, AccountQuota>& accounts() { return m_accounts; }

private:
    AccountQuota* find(const std::string& account, Instant now);
    void scheduleReport(const AccountQuota&, Instant now);
    void chooseTotalsSource(Instant now);
    [[nodiscard]] GatewayCounts knownGateways(Instant now) const;
    void capUnreported(Instant now);

    QuotaSettings m_settings;
    std::string m_gateway;
    std::uint32_t m_gateways = GatewayCount::assumed;
    std::map<std::string, AccountQuota> m_accounts;
    std::unordered_map<AccountId, std::string> m_names;
    /// Accounts that may be active. Reports are made many times a second, so their cost must not grow with the number of all accounts.
    std::set<std::string> m_active;
    std::map<PeerId, Instant> m_lastHeardAt; ///< By controller.
    std::optional<PeerId> m_totalsSource;
    bool m_knowsBusyAccounts = false; ///< A controller has sent all busy accounts since contact began.
    GatewayCounts m_knownGateways; ///< As counted by `m_totalsSource`, received at `m_knownGatewaysAt`.
    Instant m_knownGatewaysAt;
    std::optional<PeerId> m_previousSource; ///< It stopped sending totals of a busy account, and is chosen only if there is no other.
    Instant m_reportAt = Instant::max();
    Instant m_reportedAt;
};

/// The id that stands for the account in messages between processes.
AccountId accountId(std::string_view name);

} // namespace wrenhinge
