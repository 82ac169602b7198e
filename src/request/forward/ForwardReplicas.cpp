/** \file
 * The part of ForwardLogic for what controllers say of replicas, and for replicas that restart or change their software.
 */
#include "request/forward/ForwardLogic.h"

#include <algorithm>

namespace wrenhinge {

using namespace forward;

// --- Announcements ----------------------------------------------------------------------------------------------

void ForwardLogic::on(const RelayedAnnouncement& event, Instant now)
{
    const auto& [announcement, age] = event;
    bool isEngine = announcement.kind != UpstreamKind::Plain;
    bool mayBeChosen = announcement.state == ReplicaState::Draining || !m_replicas.subset().isFull(announcement.service, announcement.kind);
    if (apply(event, now) && isEngine && mayBeChosen)
        selectEngines(now);
}

/// \returns whether the replica is new, restarted or changed.
bool ForwardLogic::apply(const RelayedAnnouncement& event, Instant now)
{
    const auto& announcement = event.announcement;
    m_replicas.noteControllerContact(now);
    auto former = m_replicas.registry().newestRun(announcement.id);
    auto formerVersion = m_replicas.softwareVersionOf(announcement.id);
    auto change = m_replicas.registry().announce(announcement, event.age, now);
    if (change == ReplicaRegistry::Change::Restarted) {
        m_effects.push_back(LogEvent { EventCode::UpstreamRestarted, {}, toString(announcement.run()) + " after " + toString(*former) });
        m_effects.push_back(DropConnections { *former });
        abandonFormerRuns(announcement.run(), now);
        m_replicas.forgetEnded();
    } else if (change != ReplicaRegistry::Change::Changed) {
        return false;
    }
    if (formerVersion && *formerVersion != announcement.softwareVersion)
        abandonOtherSoftware(announcement, now);
    bool isDraining = announcement.state == ReplicaState::Draining;
    m_effects.push_back(LogEvent { isDraining ? EventCode::UpstreamDraining : EventCode::UpstreamAnnounced, {},
        announcement.id + " of " + announcement.service + " at " + announcement.address + " software " + announcement.softwareVersion });
    return true;
}

void ForwardLogic::on(const ReplicaWithdrawn& event, Instant now)
{
    if (apply(event, now))
        selectEngines(now);
}

/// \returns whether the end of this run was not known yet.
bool ForwardLogic::apply(const ReplicaWithdrawn& event, Instant now)
{
    if (!m_replicas.registry().withdraw(event.run(), now))
        return false;
    m_effects.push_back(DropConnections { event.run() });
    m_effects.push_back(LogEvent { EventCode::UpstreamDraining, {}, toString(event.run()) + " has ended" });
    return true;
}

void ForwardLogic::on(const RegistryHeartbeat& event, Instant now)
{
    m_replicas.noteControllerContact(now);
    m_gateways.report(event.gateways ? event.gateways : event.recentGateways, now);
    m_budget.setGateways(std::max(event.gateways, event.recentGateways), now);
    m_quotas.setGateways(m_gateways.value());
    m_limits.permits().setGateways(m_gateways.value(), now);
    m_replicas.registry().renew(event, now);
    m_replicas.registry().removeExpired(now);
    m_replicas.forgetEnded();
    m_crashes.dropRefuted(m_replicas.registry(), now);
    m_limits.dropEnded(m_replicas.registry(), now);
    selectEnginesIfDue(now);
}

void ForwardLogic::on(const StageChange& event, Instant now)
{
    if (m_replicas.registry().changeStage(event, now))
        m_effects.push_back(
            LogEvent { EventCode::StageChanging, {}, event.id + " for " + std::to_string(event.lasts / 1ms) + " ms at most" });
}

// --- Replicas that restart --------------------------------------------------------------------------------------

/// Drops what the former runs of a replica held for requests: reservations, KV caches, and the calls that ask for these. A call that
/// runs a request is left to end by itself, at the latest with a connection reset: it may have run, and an answer that is already in
/// transit is valid. The restart alone never makes it count as not run.
void ForwardLogic::abandonFormerRuns(const ReplicaRun& newest, Instant now)
{
    // Abandoning a call may end its request, so m_flows is not iterated meanwhile. The order by id makes replays of the same events
    // spend the remaining retry budget on the same requests.
    std::set<RequestId> ids;
    for (const auto& [id, flow] : m_flows)
        ids.insert(id);
    for (const auto& id : ids) {
        if (auto it = m_flows.find(id); it != m_flows.end())
            abandonFormerRuns(it->second, newest, now);
    }
}

void ForwardLogic::abandonFormerRuns(Flow& flow, const ReplicaRun& newest, Instant now)
{
    if (flow.prefillReplica.isBefore(newest))
        flow.prefillReplica = {};
    // Nothing is released at the replica: the new run issues its own ids, and may have given the same one to another request.
    if (flow.sentKvSource && flow.sentKvSource->replica.isBefore(newest)) {
        flow.sentKvSource.reset();
        flow.hasLostKvCache = flow.isCalling;
    }
    if (flow.reservation && flow.reservation->replica.isBefore(newest)) {
        m_replicas.release(flow.reservation->replica, reservedTokensOf(flow));
        flow.reservation.reset();
        endSidecarReservation(flow, false);
    }
    if (flow.isCalling && flow.replica.isBefore(newest))
        abandonCallToFormerRun(flow, now);
}

/// Cancels a reservation or prefill call to a former run. An answer to it is ignored, as it may come from the new run at the same
/// address.
void ForwardLogic::abandonCallToFormerRun(Flow& flow, Instant now)
{
    if (flow.stage == Flow::Stage::Running)
        return;
    m_effects.push_back(CancelCall { flow.id, flow.attempt });
    m_effects.push_back(LogEvent { EventCode::RequestRetried, flow.id, toString(flow.replica) + " has restarted" });
    endCall(flow, CallOutcome::Abandoned, now);
    if (flow.stage == Flow::Stage::Reserving) {
        endSidecarReservation(flow, false);
        return requeue(flow);
    }
    // A run that has ended doesn't count towards the route's attempts, but the call to it has cost the service work, so another prefill
    // must fit into the retry budget.
    retryPrefillOrRun(flow, takeRetry(flow, now), now);
}

// --- Replicas that change their software ------------------------------------------------------------------------

/// The replica has other software than its former announcement said, and calls that were sent since may have reached either. A stream that
/// is to continue there continues elsewhere. One that has not begun is not resumed, as its version is not known.
void ForwardLogic::abandonOtherSoftware(const Announcement& newest, Instant now)
{
    std::set<RequestId> ids;
    for (const auto& [id, flow] : m_flows) {
        if (flow.isCalling && flow.stage == Flow::Stage::Running && flow.replica.id == newest.id)
            ids.insert(id);
    }
    for (const auto& id : ids) {
        auto it = m_flows.find(id);
        if (it == m_flows.end())
            continue;
        auto& flow = it->second;
        if (!flow.origin) {
            flow.softwareVersion.clear();
        } else if (flow.origin->softwareVersion != newest.softwareVersion) {
            m_effects.push_back(CancelCall { flow.id, flow.attempt });
            endCall(flow, CallOutcome::Abandoned, now);
            resendOrFail(flow, true, newest.id + " has other software now", now);
        }
    }
}

} // namespace wrenhinge
