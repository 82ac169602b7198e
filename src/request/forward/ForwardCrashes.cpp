/** \file
 * The part of ForwardLogic that is about requests which crash the replicas that run them.
 */
#include "request/forward/ForwardLogic.h"

namespace wrenhinge {

using namespace forward;

/// The connection of the flow's call has ended without a whole answer. One that leaves closes its connections too.
void ForwardLogic::noteCrash(const Flow& flow, Instant now)
{
    const auto* entry = m_replicas.registry().find(flow.replica);
    bool isLeaving = entry && entry->announcement.state == ReplicaState::Draining;
    auto fingerprint = flow.ask.fingerprint;
    if (isLeaving || fingerprint == RequestFingerprint())
        return;
    auto news = m_crashes.noteCrash(fingerprint, flow.replica, now - flow.sentAt, now);
    if (news.isEmpty())
        return;
    tellCrashes(std::nullopt, std::move(news));
    noteIfRefused(fingerprint, now);
}

void ForwardLogic::noteServed(const Flow& flow, Instant now) { tellCrashes(std::nullopt, m_crashes.noteServed(flow.ask.fingerprint, now)); }

/// \param controller nothing: all of them.
void ForwardLogic::tellCrashes(std::optional<PeerId> controller, CrashReport report)
{
    if (!report.isEmpty())
        m_effects.push_back(ReportCrashes { controller, std::move(report) });
}

bool ForwardLogic::crashesReplicas(const Flow& flow, Instant now) const
{
    return m_crashes.statusOf(flow.ask.fingerprint, now) == CrashTracker::Status::Refused;
}

/// It may have run, under another id, so this is no "not run"; nor is there a time at which to come back.
void ForwardLogic::refuseAsCrashing(Flow& flow, Instant now)
{
    refuse(flow, ResultCode::CrashesReplicas, CrashTracker::refusalReason, now);
}

void ForwardLogic::noteIfRefused(RequestFingerprint fingerprint, Instant now)
{
    if (m_crashes.statusOf(fingerprint, now) != CrashTracker::Status::Refused || !m_newlyRefused.insert(fingerprint).second)
        return;
    m_effects.push_back(LogEvent { EventCode::RequestCrashesReplicas, {}, m_crashes.text(fingerprint) });
}

/// A request that waits here while others like it have crashed replicas would crash one more.
void ForwardLogic::refuseNewlyKnown(Instant now)
{
    auto refused = std::exchange(m_newlyRefused, {});
    std::vector<RequestId> ids;
    for (const auto& [id, flow] : m_flows) {
        bool hasRun = flow.hasBegun || (flow.isCalling && flow.stage == Flow::Stage::Running);
        if (refused.contains(flow.ask.fingerprint) && !hasRun)
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
    // The controller may have started again and know nothing.
    tellCrashes(event.controller, m_crashes.describeAll(CrashTracker::Status::Unknown, now));
}

void ForwardLogic::on(const CrashesReported& event, Instant now)
{
    auto news = m_crashes.take(event.report, now);
    for (const auto& crash : news.crashes)
        noteIfRefused(crash.request, now);
}

} // namespace wrenhinge
