/** \file
 * The part of ForwardLogic for what replicas say of themselves in their answers: that they leave, or want no requests for a while.
 */
#include "request/forward/ForwardLogic.h"

namespace wrenhinge {

using namespace forward;

namespace {

    /// Callers that were refused during a rest come back spread over this long, as the replica first gets one request at a time.
    constexpr Duration returnSpread = 300ms;

} // namespace

/// A rest that an answer asks for begins when the answer arrives, which is later than the replica counts it from.
void ForwardLogic::observeAnswer(const ReplicaRun& run, const AnswerMetadata& metadata, Instant calledAt, Instant now)
{
    observeLimit(run, metadata.rateLimit, calledAt, now);
    // Another replica speaks of itself.
    if (metadata.isMisdirected)
        return;
    if (metadata.isLeaving && m_replicas.noteLeaving(run))
        m_effects.push_back(LogEvent { EventCode::UpstreamLeaves, {}, toString(run) + " says in an answer that it leaves" });
    if (!metadata.rest)
        return m_replicas.noteAnswer(run, calledAt);
    m_replicas.noteRest(run, now + *metadata.rest);
    m_effects.push_back(LogEvent { EventCode::UpstreamRests, {}, toString(run) + " for " + std::to_string(*metadata.rest / 1ms) + " ms" });
}

/// Refuses the request at once if all replicas that could take it rest, with the end of the first rest as Retry-After.
/// \returns whether it was refused.
bool ForwardLogic::refuseIfAllRest(Flow& flow, Instant now)
{
    auto end = m_replicas.allRestUntil(criteriaOf(flow), now);
    if (end)
        refuseAsResting(flow, *end, now);
    return end.has_value();
}

void ForwardLogic::refuseAsResting(Flow& flow, Instant firstEnd, Instant now)
{
    auto spread = std::uniform_int_distribution<std::int64_t>(0, returnSpread.count())(m_random);
    refuseUntil(flow, ResultCode::Overloaded, "all replicas of the service have asked for a rest", firstEnd - now + Duration(spread), now);
}

} // namespace wrenhinge
