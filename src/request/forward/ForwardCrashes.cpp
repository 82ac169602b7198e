/** \file
 * The part of ForwardLogic for requests and parts of prompts that crash the replicas which run them (CrashTracker).
 */
#include "request/forward/ForwardLogic.h"

namespace wrenhinge {

using namespace forward;

namespace {

    /// Interval at which an answer that goes on is noted again: several within the time for which that counts.
    constexpr Duration survivalInterval = 1s;

} // namespace

/// What runs at the replica of the current call, as far as it is known.
ReplicaSoftware ForwardLogic::softwareOf(const Flow& flow) const
{
    const auto* entry = m_replicas.registry().find(flow.replica);
    return { flow.service, entry ? entry->announcement.softwareVersion : flow.softwareVersion };
}

/// Records that the connection of the flow's call was closed before the answer was complete. A draining replica also closes its
/// connections, so that is not counted as a crash.
void ForwardLogic::noteCrash(const Flow& flow, Instant now)
{
    const auto* entry = m_replicas.registry().find(flow.replica);
    bool isLeaving = entry && entry->announcement.state == ReplicaState::Draining;
    if (isLeaving)
        return;
    auto answeredFor = flow.answeringSince ? now - *flow.answeringSince : Duration::zero();
    auto changes = m_crashes.noteCrash(flow.content, flow.replica, softwareOf(flow), now - flow.sentAt, answeredFor, now);
    for (const auto& crash : changes.crashes)
        recordIfConvicted(crash.content, now);
    reportCrashes(std::nullopt, std::move(changes));
}

void ForwardLogic::noteServed(const Flow& flow, Instant now)
{
    auto isTrial = m_trials.isTrial(flow.id);
    reportCrashes(
        std::nullopt, isTrial ? m_crashes.noteTrialServed(flow.content, now) : m_crashes.noteServed(flow.content, softwareOf(flow), now));
}

/// Called with each event of an answer.
void ForwardLogic::noteSurvival(Flow& flow, Instant now)
{
    if (!flow.answeringSince)
        flow.answeringSince = now;
    bool isDue = now - *flow.answeringSince >= CrashTracker::survivalTime && now - flow.survivalNotedAt >= survivalInterval;
    if (!isDue || flow.content.parts.empty())
        return;
    flow.survivalNotedAt = now;
    reportCrashes(std::nullopt, m_crashes.noteSurvived(flow.content, softwareOf(flow), now));
}

/// \param controller the receiver; nothing: all controllers.
void ForwardLogic::reportCrashes(std::optional<PeerId> controller, CrashReport report)
{
    if (!report.isEmpty())
        m_effects.push_back(ReportCrashes { controller, std::move(report) });
}

bool ForwardLogic::crashesReplicas(const Flow& flow, Instant now) const
{
    return !m_trials.mayRun(flow.id, m_crashes.convictionsOf(flow.content), now);
}

/// The request, which may run, is the one that tries its convicted content, if it has any.
void ForwardLogic::tryConvicted(const Flow& flow) { m_trials.begin(flow.id, m_crashes.convictionsOf(flow.content)); }

/// The status doesn't say "not run": an earlier request that is the same may have run. There is no Retry-After, as another attempt would be
/// refused too.
void ForwardLogic::refuseAsCrashing(Flow& flow, Instant now)
{
    refuse(flow, ResultCode::CrashesReplicas, m_crashes.refusalReason(flow.content, flow.runs > 0), now);
}

void ForwardLogic::recordIfConvicted(ContentFingerprint content, Instant now)
{
    if (m_crashes.statusOf(content, now) != CrashTracker::Status::Convicted)
        return;
    m_hasNewConviction = true;
    m_effects.push_back(LogEvent { EventCode::RequestCrashesReplicas, {}, m_crashes.text(content) });
}

/// Refuses the requests whose content was convicted in this step and that have not run yet: each would crash another replica.
void ForwardLogic::refuseNewlyConvicted(Instant now)
{
    std::vector<RequestId> ids;
    for (const auto& [id, flow] : m_flows) {
        bool hasRun = flow.hasStreamStarted || (flow.isCalling && flow.stage == Flow::Stage::Running);
        if (!hasRun && crashesReplicas(flow, now))
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
    reportCrashes(std::nullopt, m_crashes.refute(event.report, now));
    for (const auto& crash : changes.crashes)
        recordIfConvicted(crash.content, now);
}

} // namespace wrenhinge
