/** \file
 * The part of ForwardLogic for streams that may be resumed: a stream continues only at replicas of the service and the software version
 * that began it (StreamDirectory), whether this gateway or its caller resumes it.
 */
#include "request/forward/ForwardLogic.h"

#include <algorithm>

namespace wrenhinge {

using namespace forward;

namespace {

    /// A stream's record is kept for this long after its caller's timeout, for an attempt that the caller has just sent then.
    constexpr Duration recordMargin = 5s;

} // namespace

// --- Streams that begin -----------------------------------------------------------------------------------------

/// Called for the first event of a stream. Until a holder has confirmed the record, the stream's events are held back: a caller that has
/// seen none starts a new stream instead. If no holder confirms it in time, the events are passed on nevertheless. The stream can then be
/// resumed here, and is refused where its origin is not known.
void ForwardLogic::recordStream(Flow& flow, Instant now)
{
    if (flow.route->repeatability != Repeatability::Resumable)
        return;
    if (!flow.origin)
        flow.origin = StreamOrigin { flow.service, flow.softwareVersion };
    bool isNamed = flow.request.resumedRequest || !flow.request.callerRequestId.empty();
    if (!isNamed || flow.origin->softwareVersion.empty())
        return;
    auto callerLeavesAt = flow.arrivedAt + flow.request.callerTimeout.value_or(flow.route->timeout);
    auto keepFor = std::clamp<Duration>(callerLeavesAt - now + recordMargin, Duration::zero(), StreamDirectory::longestRetention);
    StreamRecord record { flow.stream, *flow.origin, keepFor };
    auto holders = m_streams.record(record, now);
    for (auto holder : holders)
        m_effects.push_back(SendStreamRecords { holder, { { record } } });
    if (!m_streams.isAnyResponsive(holders, now))
        return;
    flow.eventsHeldUntil = now + StreamDirectoryClient::recordTimeout;
    m_awaitingHolders.emplace(flow.stream, flow.id);
}

void ForwardLogic::passOn(Flow& flow, Effect effect)
{
    if (!flow.eventsHeldUntil)
        return m_effects.push_back(std::move(effect));
    if (const auto* bytes = std::get_if<StreamBytes>(&effect))
        flow.heldBytes += bytes->bytes.size();
    flow.heldEvents.push_back(std::move(effect));
}

void ForwardLogic::passOnHeldEvents(Flow& flow)
{
    if (!std::exchange(flow.eventsHeldUntil, std::nullopt))
        return;
    m_awaitingHolders.erase({ flow.stream, flow.id });
    std::move(flow.heldEvents.begin(), flow.heldEvents.end(), std::back_inserter(m_effects));
    flow.heldEvents.clear();
    flow.heldBytes = 0;
    noteBuffered(flow);
}

void ForwardLogic::on(const StreamHolderConnected& event, Instant now)
{
    m_streams.connected(event.holder, event.role, event.zone, now);
    // A controller that has restarted has lost its records.
    if (auto records = m_streams.own().records(now); event.role == Role::Controller && !records.empty())
        m_effects.push_back(SendStreamRecords { event.holder, { std::move(records) } });
    for (const auto& [stream, id] : m_awaitingHolders) {
        if (auto& flow = m_flows.at(id); flow.lookup)
            askHolder(flow, event.holder);
    }
}

void ForwardLogic::on(const StreamRecordsConfirmed& event, Instant)
{
    m_streams.replied(event.holder);
    for (auto stream : event.held.streams) {
        for (const auto& id : flowsAwaitingHolders(stream))
            passOnHeldEvents(m_flows.at(id));
    }
}

/// The requests that wait for a reply about this stream.
std::vector<RequestId> ForwardLogic::flowsAwaitingHolders(StreamId stream) const
{
    std::vector<RequestId> ids;
    for (auto it = m_awaitingHolders.lower_bound({ stream, {} }); it != m_awaitingHolders.end() && it->first == stream; ++it)
        ids.push_back(it->second);
    return ids;
}

// --- Streams that callers resume --------------------------------------------------------------------------------

bool ForwardLogic::isResumption(const Flow& flow)
{
    return flow.route->repeatability == Repeatability::Resumable && (flow.request.resumeAfter || flow.request.resumedRequest);
}

void ForwardLogic::resume(Flow& flow, Instant now)
{
    if (!flow.request.resumedRequest)
        return refuseResumption(flow, "the request doesn't name the one that began its stream", std::nullopt, now);
    if (auto reply = m_streams.own().find(flow.stream, now); reply.knowledge != StreamKnowledge::Unknown)
        return resumeAt(flow, reply, now);
    if (m_streams.holders().empty() && m_streams.isSettled(now))
        return refuseIncompleteLookup(flow, now);
    flow.lookup = ForwardFlow::Lookup { {}, now + StreamDirectoryClient::lookupTimeout, false };
    m_awaitingHolders.emplace(flow.stream, flow.id);
    for (auto holder : m_streams.holders())
        askHolder(flow, holder);
    scheduleWake(flow);
    refuseIfLookupEnded(flow, now);
}

void ForwardLogic::askHolder(Flow& flow, PeerId holder)
{
    if (flow.lookup->asked.insert(holder).second)
        m_effects.push_back(SendStreamLookup { holder, { flow.stream } });
}

void ForwardLogic::on(const StreamLookupReplied& event, Instant now)
{
    m_streams.replied(event.holder);
    for (const auto& id : flowsAwaitingHolders(event.reply.stream)) {
        auto& flow = m_flows.at(id);
        if (!flow.lookup)
            continue;
        if (event.reply.knowledge != StreamKnowledge::Unknown) {
            endLookup(flow);
            resumeAt(flow, event.reply, now);
        } else {
            flow.lookup->asked.erase(event.holder);
            refuseIfLookupEnded(flow, now);
        }
    }
}

/// Refuses the request once no further reply about its stream can come.
void ForwardLogic::refuseIfLookupEnded(Flow& flow, Instant now)
{
    if (!flow.lookup->asked.empty() || !m_streams.isSettled(now))
        return;
    bool isComplete = !flow.lookup->hasLostHolder && !m_streams.holders().empty();
    endLookup(flow);
    if (!isComplete)
        return refuseIncompleteLookup(flow, now);
    refuseResumption(flow, "no process knows which software version began the stream", std::nullopt, now);
}

/// Some holders have not replied, or are not connected, so another attempt may find the origin.
void ForwardLogic::refuseIncompleteLookup(Flow& flow, Instant now)
{
    refuseResumption(flow, "which software version began the stream could not be found out", retryAfter(flow, now), now);
}

void ForwardLogic::loseHolder(PeerId holder, Instant now)
{
    m_streams.disconnected(holder);
    std::vector<RequestId> ids;
    for (const auto& [stream, id] : m_awaitingHolders) {
        if (const auto& flow = m_flows.at(id); flow.lookup && flow.lookup->asked.contains(holder))
            ids.push_back(id);
    }
    for (const auto& id : ids) {
        auto& flow = m_flows.at(id);
        flow.lookup->asked.erase(holder);
        flow.lookup->hasLostHolder = true;
        refuseIfLookupEnded(flow, now);
    }
}

void ForwardLogic::endLookup(Flow& flow)
{
    flow.lookup.reset();
    m_awaitingHolders.erase({ flow.stream, flow.id });
}

void ForwardLogic::resumeAt(Flow& flow, const StreamLookupReply& reply, Instant now)
{
    if (reply.knowledge == StreamKnowledge::Ambiguous)
        return refuseResumption(flow, "two streams have this id, of different software versions", std::nullopt, now);
    const auto& targets = flow.route->targets;
    bool isOnRoute
        = std::any_of(targets.begin(), targets.end(), [&](const auto& target) { return target.service == reply.origin.service; });
    if (!isOnRoute)
        return refuseResumption(flow, "the route no longer leads to the service that began the stream", std::nullopt, now);
    flow.origin = reply.origin;
    m_effects.push_back(LogEvent { EventCode::StreamOriginFound, flow.id,
        toString(flow.stream) + " began at " + reply.origin.service + " software " + reply.origin.softwareVersion });
    beginAt(flow, reply.origin.service, now);
}

/// \returns whether the request was refused: no replica of the version that began its stream accepts work.
bool ForwardLogic::refuseIfVersionIsGone(Flow& flow, Instant now)
{
    if (!flow.origin || flow.runs || m_replicas.hasReady(criteriaOf(flow)))
        return false;
    refuseResumption(flow, "no replica runs the software version that began the stream", std::nullopt, now);
    return true;
}

/// The request has not run. \param retryAfter unset if another attempt would be refused too.
void ForwardLogic::refuseResumption(Flow& flow, const std::string& reason, std::optional<Duration> retryAfter, Instant now)
{
    refuseUntil(flow, ResultCode::NotResumable, reason, retryAfter, now);
}

} // namespace wrenhinge
