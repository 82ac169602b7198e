/** \file
 * The part of ForwardLogic for the shutdown of this process. A request is passed on only if its answer will have come when the process
 * ends; this is decided whenever it is about to be sent, first or again, since its body or its turn may have come late.
 *
 * It is refused even if only one in a hundred like it would be cut off: a refusal costs it about 100 ms on the way to another gateway, a
 * cut all of its seconds, and if it may not be repeated, its caller has nothing. With too few samples for a forecast, any might be cut off.
 */
#include "request/forward/ForwardLogic.h"

namespace wrenhinge {

using namespace forward;

namespace {

    /// Retry-After when another gateway can take the request at once. Not zero, which some clients treat as absent.
    constexpr Duration drainingRetryAfter = 10ms;
    /// What a whole answer needs to reach its caller.
    constexpr Duration deliveryTime = 200ms;

} // namespace

/// How long the request will take if it is passed on now; nothing if that isn't known.
std::optional<Duration> ForwardLogic::forecast(const Flow& flow, Instant now) const
{
    if (!flow.route->isStream) {
        auto longest = m_answerForecast.longest(flow.service, 0);
        return longest ? std::optional(*longest + deliveryTime) : std::nullopt;
    }
    auto longest = m_forecast.longest(flow.service, expectedTokensOf(flow));
    // It counts from when a stream's request has come, and what a first call has waited for since is a part of it.
    if (!longest || flow.sends)
        return longest;
    return *longest - (now - flow.arrivedAt - flow.request.readFor);
}

/// Whether the answer might be cut off by the end of this process. A caller that another stopping gateway has refused can't be told from
/// one with a shorter timeout; it may have no attempt left, but learns that at once.
bool ForwardLogic::mayOutliveProcess(const Flow& flow, Instant now) const
{
    // What a stream has brought already is lost to its caller if it ends here, so its rest is tried.
    if (!m_shutdownAt || flow.deadline <= *m_shutdownAt || flow.hasStreamStarted)
        return false;
    auto takes = forecast(flow, now);
    return !takes || now + *takes > *m_shutdownAt;
}

void ForwardLogic::refuseAsDraining(Flow& flow, Instant now)
{
    constexpr auto reason = "this gateway shuts down before the answer would end";
    if (flow.runs)
        return refuse(flow, ResultCode::UpstreamFailed, reason, now);
    refuseUntil(flow, ResultCode::Draining, reason, drainingRetryAfter, now);
}

/// \returns whether the request was refused.
bool ForwardLogic::refuseIfMayOutliveProcess(Flow& flow, Instant now)
{
    if (!mayOutliveProcess(flow, now))
        return false;
    refuseAsDraining(flow, now);
    return true;
}

/// Streams that still wait for a reservation have lost little time, so they are refused too.
void ForwardLogic::on(const Stop& event, Instant now)
{
    m_shutdownAt = event.deadline;
    for (const auto& id : m_queue.inOrder(now))
        refuseIfMayOutliveProcess(m_flows.at(id), now);
}

} // namespace wrenhinge
