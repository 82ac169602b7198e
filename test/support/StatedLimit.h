/** \file
 * How many requests a replica may get that states how many a second it takes, as its users check it.
 */
#pragma once

#include <algorithm>
#include <chrono>
#include <deque>
#include <vector>

namespace wrenhinge::test {

using Arrivals = std::vector<std::chrono::steady_clock::time_point>;

/// The check's sliding window.
inline constexpr std::chrono::seconds limitWindow { 4 };
/// The check begins this long after the limit was first stated.
inline constexpr std::chrono::seconds agreementTime { 3 };

/// Requests that a limit allows in the window: one and a half times the limit, and five more.
inline double allowedInWindow(double perSecond) { return 1.5 * perSecond * std::chrono::duration<double>(limitWindow).count() + 5; }

/// The largest number of arrivals in any window that begins at `from` or later.
template <typename TimePoint> double mostInWindow(const std::vector<TimePoint>& arrivals, TimePoint from)
{
    std::size_t most = 0;
    std::deque<TimePoint> window;
    for (auto at : arrivals) {
        if (at < from)
            continue;
        window.push_back(at);
        while (at - window.front() > limitWindow)
            window.pop_front();
        most = std::max(most, window.size());
    }
    return static_cast<double>(most);
}

template <typename TimePoint> double countSince(const std::vector<TimePoint>& arrivals, TimePoint from)
{
    return static_cast<double>(std::count_if(arrivals.begin(), arrivals.end(), [from](auto at) { return at >= from; }));
}

} // namespace wrenhinge::test
