/** \file
 * Decides whether this gateway may try content again that is convicted of crashing replicas (CrashTracker).
 *
 * All gateways together try such content once at a time: only the gateway that observed its last crash does, and it waits for the end of
 * the request.
 */
#pragma once

#include "request/fleet/CrashTracker.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace wrenhinge {

class ConvictionTrials {
public:
    using Convictions = std::vector<CrashTracker::Conviction>;

    /// \param gateway the name of this gateway, as its reports of crashes have it.
    explicit ConvictionTrials(std::string gateway)
        : m_gateway(std::move(gateway))
    {
    }

    /// Whether the request may run: nothing in it is convicted, or all that is may be tried now, or is tried by this very request.
    [[nodiscard]] bool mayRun(const RequestId& request, const Convictions& convictions, Instant now) const
    {
        return std::all_of(convictions.begin(), convictions.end(), [&](const CrashTracker::Conviction& conviction) {
            auto it = m_trials.find(conviction.content);
            bool isFree = it == m_trials.end() || it->second == request;
            return isFree && now >= conviction.until && conviction.trialAt == m_gateway;
        });
    }
    /// The request, which may run, tries the content.
    void begin(const RequestId& request, const Convictions& convictions)
    {
        for (const auto& conviction : convictions)
            m_trials[conviction.content] = request;
    }
    /// The request has ended, however it did.
    void end(const RequestId& request)
    {
        std::erase_if(m_trials, [&request](const auto& item) { return item.second == request; });
    }
    [[nodiscard]] bool isTrial(const RequestId& request) const
    {
        return std::any_of(m_trials.begin(), m_trials.end(), [&request](const auto& item) { return item.second == request; });
    }

private:
    std::string m_gateway;
    std::map<ContentFingerprint, RequestId> m_trials; ///< Content -> the request that tries it.
};

} // namespace wrenhinge
