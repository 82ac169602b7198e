/** \file
 * Limits of rate and of concurrent requests for each client account.
 *
 * One account's burst must not push out the others. A gateway counts for itself; the rules give limits a gateway.
 */
#pragma once

#include "base/ResultCode.h"
#include "version/Configuration.h"

#include <string>
#include <unordered_map>

namespace wrenhinge {

class AccountLimits {
public:
    /// Counts a request in, or says why not and when to come back. Call `leave` once for each that was let in.
    Result<void> acquire(const std::string& account, const AccountRules&, Instant now);
    void release(const std::string& account);

private:
    struct Usage {
        double tokens = 0;
        Instant filledAt;
        std::uint64_t inProgress = 0;
        bool isNew = true;
    };
    static void refill(Usage&, double ratePerSecond, Instant now);

    std::unordered_map<std::string, Usage> m_usage;
};

} // namespace wrenhinge
