/** \file
 * Limits the retries that all gateways together send, by service.
 *
 * During an overload every retry adds to the load. The site's limit holds for all gateways together in any window. A gateway knows only its
 * own requests, so it may use the ratio of its own requests and its share of the fixed slack. Only four fifths of both are used, since
 * gateways start and stop while the others still compute with the former number.
 *
 * Example: ratio 0.2, slack 60, window 10 s, 8 gateways: one that forwarded 100 requests in the last 10 s may send
 * 0.8 * (0.2 * 100 + 60 / 8) = 22 retries.
 */
#pragma once

#include "base/Time.h"

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
    /// The number of gateways assumed until a controller reports it: about as many as the largest sites have. With a smaller number, the
    /// gateways of a site that restarts after a power loss would together exceed the limit, and retries would come when replicas can least
    /// handle them.
    static constexpr std::uint32_t assumedGateways = 100;

    explicit SharedRetryBudget(RetryBudgetSettings settings = {})
        : m_settings(settings)
    {
    }

    void countRequest(const std::string& service, Instant now);
    /// Takes one retry from the budget. \returns false if the budget is used up.
    bool take(const std::string& service, Instant now);
    /// Counts a send that turned out to be a retry when its response arrived. The budget may become negative, and then allows no others.
    void charge(const std::string& service, Instant now) { currentWindow(service, now).resends.push_back(now); }
    /// The number of retries that remain in this window; negative after more were charged.
    [[nodiscard]] double remaining(const std::string& service, Instant now);
    [[nodiscard]] std::map<std::string, double> remainingByService(Instant now);
    /// Sets the number of gateways that a controller reports. A smaller number is used only once no larger one was reported for a window:
    /// gateways that have ended have used their share of the window, and a controller that has just started counts only the gateways that
    /// have connected so far.
    void setGateways(std::uint32_t n, Instant now);
    /// The number of gateways that share the limit.
    [[nodiscard]] std::uint32_t gateways() const { return m_gateways; }

private:
    static constexpr double usableFraction = 0.8;
    /// The fraction that a gateway uses in the first window after its start, since it does not know what its former run sent in that
    /// window. Otherwise, if all gateways restarted at the same time, both runs together would exceed the limit.
    static constexpr double usableFractionAfterStart = 0.4;

    struct Window {
        std::deque<Instant> requests;
        std::deque<Instant> resends;
    };
    Window& currentWindow(const std::string& service, Instant now);
    [[nodiscard]] double allowance(const Window&, Instant now) const;

    RetryBudgetSettings m_settings;
    std::uint32_t m_gateways = assumedGateways;
    std::optional<Instant> m_startedAt; ///< When the first request was counted.
    std::optional<Instant> m_gatewaysUpdatedAt; ///< When `m_gateways` or a larger number was last reported.
    std::map<std::string, Window> m_windows;
};

} // namespace wrenhinge
