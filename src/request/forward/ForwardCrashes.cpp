/** \file
 * The part of ForwardLogic for requests that crash the replicas which run them (CrashTracker).
 */
#include "request/forward/ForwardLogic.h"

namespace wrenhinge {

using namespace forward;

/// Records that the connection of the flow's call was closed before the answer was complete. A draining replica also closes its
/// connections, so that is not counted as a crash.
void ForwardLogic::noteCrash(const Flow& flow, Instant now)
{
    const auto* entry = m_replicas.registry().find(flow.replica);
    bool isLeaving = entry && entry->announcement.state == ReplicaState::Draining;
    auto fingerprint = flow.request.fingerprint;
    if (isLeaving || fingerprint == ContentFingerprint())
        return;
    auto changes = m_crashes.noteCrash(fingerprint, flow.replica, now - flow.sentAt, now);
    if (changes.isEmpty())
        return;
    reportCrashes(std::nullopt, std::move(changes));
    recordIfRefused(fingerprint, now);
}

void ForwardLogic::noteServed(const Flow& flow, Instant now)
{
    reportCrashes(std::nullopt, m_crashes.noteServed(flow.request.fingerprint, now));
}

/// \param controller the receiver; nothing: all controllers.
void ForwardLogic::reportCrashes(std::optional<PeerId> controller, CrashReport report)
{
    if (!report.isEmpty())
        m_effects.push_back(ReportCrashes { controller, std::move(report) });
}

bool ForwardLogic::crashesReplicas(const Flow& flow, Instant now) const
{
    return m_crashes.statusOf(flow.request.fingerprint, now) == CrashTracker::Status::Refused;
}

/// An earlier request with the same fingerprint may have run, so the answer doesn't say "not run", and it has no Retry-After.
void ForwardLogic::refuseAsCrashing(Flow& flow, Instant now)
{
    refuse(flow, ResultCode::CrashesReplicas, CrashTracker::refusalReason, now);
}

void ForwardLogic::recordIfRefused(ContentFingerprint fingerprint, Instant now)
{
    if (m_crashes.statusOf(fingerprint, now) != CrashTracker::Status::Refused || !m_newCrashFingerprints.insert(fingerprint).second)
        return;
    m_effects.push_back(LogEvent { EventCode::RequestCrashesReplicas, {}, m_crashes.text(fingerprint) });
}

/// Refuses the requests whose fingerprint was refused in this step and that have not run yet: each would crash another replica.
void ForwardLogic::refuseNewCrashFingerprints(Instant now)
{
    auto refused = std::exchange(m_newCrashFingerprints, {});
    std::vector<RequestId> ids;
    for (const auto& [id, flow] : m_flows) {
        bool hasRun = flow.hasStreamStarted || (flow.isCalling && flow.stage == Flow::Stage::Running);
        if (refused.contains(flow.request.fingerprint) && !hasRun)
            ids.push_back(id);
    }
    for (const auto& id : ids) {
        auto& flow = m_flows.at(id);
        abandonCall(flow, now);
        refuseAsCrashing(flow, now);
    }
}

void ForwardLogic::on(const ControllerConnected& event, Instant now)
{
    // The controller may have restarted and lost what it knew.
    reportCrashes(event.controller, m_crashes.describeAll(CrashTracker::Status::Unknown, now));
    if (auto limits = m_limits.all(); !limits.empty())
        m_effects.push_back(ReportReplicaLimits { event.controller, std::move(limits) });
}

void ForwardLogic::on(const CrashesReported& event, Instant now)
{
    auto changes = m_crashes.take(event.report, now);
    for (const auto& crash : changes.crashes)
        recordIfRefused(crash.request, now);
}

} // namespace wrenhinge
