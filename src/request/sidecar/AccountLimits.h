/** \file
 * Limits of rate and of concurrent requests for each client account.
 *
 * They keep the burst of one account from displacing the requests of others. Each gateway counts only its own requests;
 * the limits in the rules apply per gateway.
 */
#pragma once

#include "base/ResultCode.h"
#include "version/Configuration.h"

#include <string>
#include <unordered_map>

namespace wrenhinge {

class AccountLimits {
public:
    /// Admits a request, or returns the limit that it exceeds and a retry delay. Call `release` once for each admitted request.
    Result<void> acquire(const std::string& account, const AccountRules&, Instant now);
    void release(const std::string& account);

private:
    struct Usage {
        double tokens = 0; ///< Of the token bucket for the rate limit.
        Instant filledAt;
        std::uint64_t inProgress = 0;
        bool isNew = true;
    };
    static void refill(Usage&, double ratePerSecond, Instant now);

    std::unordered_map<std::string, Usage> m_usage;
};

} // namespace wrenhinge
