/** \file
 * Bounds what all gateways together send beyond the first send of each request, by service.
 *
 * Under trouble every resend adds load where load is the trouble. The site's bound holds for all gateways in any window; a
 * gateway knows only its own sends, so it takes the ratio on its own requests and its share of the fixed slack. Both are
 * used to four fifths, since gateways come and go while the others still count with the former number.
 *
 * Example: ratio 0.2, slack 60, window 10 s, 8 gateways: one that passed on 100 requests in the last 10 s may send
 * 0.8 * (0.2 * 100 + 60 / 8) = 22 of them once more.
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
    /// Gateways that share what is bounded for all until a controller says how many there are: about as many as the largest sites have.
    /// With fewer, all gateways of a site that has lost its power would send more than is allowed together, and callers' requests be
    /// repeated where replicas can least bear it.
    static constexpr std::uint32_t assumedGateways = 100;

    explicit SharedRetryBudget(RetryBudgetSettings settings = {})
        : m_settings(settings)
    {
    }

    void countRequest(const std::string& service, Instant now);
    /// Takes one resend from the budget. \returns false if there is none left.
    bool take(const std::string& service, Instant now);
    /// Counts a send that was one beyond the first, as its answer showed. It may take more than there is, and then none is left for others.
    void charge(const std::string& service, Instant now) { currentWindow(service, now).resends.push_back(now); }
    /// What may still be sent in this window; negative after more was charged.
    [[nodiscard]] double remaining(const std::string& service, Instant now);
    [[nodiscard]] std::map<std::string, double> remainingByService(Instant now);
    /// A controller says how many gateways there are. A smaller number counts only once no larger one was told for a window: those that
    /// have ended have used their share of it, and a controller that has just started counts those that have found it so far.
    void setGateways(std::uint32_t n, Instant now);
    /// How many gateways share what is bounded for all together.
    [[nodiscard]] std::uint32_t gateways() const { return m_gateways; }

private:
    static constexpr double usableFraction = 0.8;
    /// The part of it that a gateway uses in the first window after its start: it does not know what its former run sent in that window.
    /// If all gateways start at once, both runs together would else send more than is allowed.
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
    std::optional<Instant> m_gatewaysUpdatedAt; ///< When `m_gateways` was told last, or more.
    std::map<std::string, Window> m_windows;
};

} // namespace wrenhinge
