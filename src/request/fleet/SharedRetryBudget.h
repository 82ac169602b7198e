/** \file
 * Limits the retries that all gateways together send, by service.
 *
 * During an overload every retry adds to the load. The site's limit holds for all gateways together in any window: a ratio of the service's
 * requests plus a fixed slack. A gateway knows only its own requests, and a process that has just started doesn't know what the one before
 * it sent. The limit holds all the same, whatever the demand, wherever callers go and however often processes start:
 *
 * - Each request pays for half of `ratio` retries, once, for less than a window. So the requests of a window and of the one before,
 *   at most twice those of the larger one, pay for the retries of the window.
 * - Of its share of the slack, a process uses four fifths in any window. Until it is older than a window, it uses only what its time since
 *   the start is worth, at less than a fifth in a window. However often a gateway starts again, its processes use no more than its share.
 *   Until it knows how many gateways there are, it uses none.
 *
 * A retry is taken from the budget before it is sent.
 *
 * Example: ratio 0.2, slack 60, window 10 s, 8 gateways: one that forwarded 100 requests in the last 9 s may send
 * 0.1 * 100 + 0.8 * 60 / 8 = 16 retries.
 */
#pragma once

#include "request/fleet/GatewayCount.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace wrenhinge {

struct RetryBudgetSettings {
    double ratio = 0.2;
    double slack = 60;
    Duration window = 10s;
};

class SharedRetryBudget {
public:
    explicit SharedRetryBudget(RetryBudgetSettings settings = {})
        : m_settings(settings)
        , m_gateways(settings.window)
    {
    }

    void countRequest(const std::string& service, Instant now);
    /// Takes one retry from the budget. \returns false if the budget doesn't allow it.
    bool take(const std::string& service, Instant now);
    /// The number of retries that remain now.
    [[nodiscard]] double remaining(const std::string& service, Instant now);
    [[nodiscard]] std::map<std::string, double> remainingByService(Instant now);
    /// Sets the number of gateways that share the limit, as a controller reports it.
    void setGateways(std::uint32_t n, Instant now);
    /// The number of gateways that share the limit; nothing if it is not known.
    [[nodiscard]] std::optional<std::uint32_t> gateways() const { return m_gateways.known(); }

private:
    /// A request that two windows of the limit contain pays in only one of them.
    static constexpr double requestFraction = 0.5;
    static constexpr double slackFraction = 0.8;
    /// The fraction of the slack that a process earns in a window after its start.
    static constexpr double slackFractionAfterStart = 0.18;
    /// A retry may arrive later than it was taken, and a request be counted later than its caller sent it, by a window divided by this.
    static constexpr int arrivalDelayDivisor = 10;

    struct Amount {
        Instant at;
        double amount = 0;
    };
    struct Account {
        std::deque<Amount> paid; ///< By requests, not yet used; oldest first.
        double paidSum = 0;
        std::deque<Amount> usedSlack; ///< Oldest first.
        double usedSlackSum = 0;
    };
    Account& currentAccount(const std::string& service, Instant now);
    [[nodiscard]] Duration arrivalDelay() const { return m_settings.window / arrivalDelayDivisor; }
    static void dropBefore(std::deque<Amount>&, double& sum, Instant);
    [[nodiscard]] double slackLeft(const Account&, Instant now) const;
    static double takePaid(Account&);

    RetryBudgetSettings m_settings;
    GatewayCount m_gateways;
    std::optional<Instant> m_startedAt; ///< When this process first heard of a request or a controller.
    std::map<std::string, Account> m_accounts;
};

} // namespace wrenhinge
