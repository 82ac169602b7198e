/** \file
 * The part of ForwardLogic for the request rate limits that replicas state (ReplicaLimitTable).
 */
#include "request/forward/ForwardLogic.h"

#include <array>
#include <cstdio>

namespace wrenhinge {

using namespace forward;

namespace {

    std::string describe(const ReplicaRateLimit& change)
    {
        if (!change.perSecond)
            return toString(change.run()) + " states no request rate limit any more";
        std::array<char, 32> text {};
        std::snprintf(text.data(), text.size(), "%g", *change.perSecond);
        return toString(change.run()) + " takes " + text.data() + " requests per second";
    }

} // namespace

/// Applies what an answer of a replica states. An answer of a former run says nothing about the present one.
void ForwardLogic::observeLimit(const ReplicaRun& run, const StatedRateLimit& stated, Instant calledAt, Instant now)
{
    bool isUninteresting = !stated.isStated && !m_limits.hasLimits();
    if (isUninteresting || !m_replicas.registry().find(run))
        return;
    auto change = m_limits.observe(run, stated, calledAt, now);
    if (!change)
        return;
    logLimit(*change, "its answer");
}

void ForwardLogic::logLimit(const ReplicaRateLimit& change, const std::string& source)
{
    auto code = change.perSecond ? EventCode::UpstreamRateLimited : EventCode::UpstreamRateLimitLifted;
    m_effects.push_back(
        LogEvent { code, {}, describe(change) + ", known from " + source + ", revision " + std::to_string(change.revision) });
}

void ForwardLogic::on(const ReplicaAnswered& event, Instant now) { observeLimit(event.replica, event.rateLimit, event.calledAt, now); }

} // namespace wrenhinge
