#include "request/sidecar/AccountLimits.h"

#include <algorithm>

namespace wrenhinge {

namespace {

    constexpr Duration concurrencyRetryAfter = 500ms;

    /// An account may save up this many seconds' worth of its rate for a burst, at least one request.
    double burstCapacity(double ratePerSecond) { return std::max(1.0, ratePerSecond); }

} // namespace

Result<void> AccountLimits::acquire(const std::string& account, const AccountRules& rules, Instant now)
{
    auto& usage = m_usage[account];
    if (rules.concurrency && usage.inProgress >= *rules.concurrency)
        return Error { ResultCode::AccountConcurrencyLimit, "too many requests of this account are in progress; wait for one to end",
            concurrencyRetryAfter };
    if (rules.ratePerSecond) {
        auto rate = *rules.ratePerSecond;
        refill(usage, rate, now);
        if (usage.tokens < 1) {
            auto wait = rate > 0 ? fromSeconds((1 - usage.tokens) / rate) : Duration(1h);
            return Error { ResultCode::AccountRateLimit, "this account sends faster than its rate allows; slow down", wait };
        }
        usage.tokens -= 1;
    }
    ++usage.inProgress;
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void AccountLimits::release(const std::string& account)
{
    if (auto it = m_usage.find(account); it != m_usage.end() && it->second.inProgress)
        --it->second.inProgress;
}

void AccountLimits::refill(Usage& usage, double rate, Instant now)
{
    if (usage.isNew)
        usage.tokens = burstCapacity(rate);
    else
        usage.tokens = std::min(burstCapacity(rate), usage.tokens + rate * toSeconds(now - usage.filledAt));
    usage.isNew = false;
    usage.filledAt = now;
}

} // namespace wrenhinge
