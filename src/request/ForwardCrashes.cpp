/** \file
 * The part of ForwardLogic that is about requests which crash the replicas that run them.
 */
#include "request/ForwardLogic.h"

namespace wrenhinge {

using namespace forward;

namespace {

    constexpr std::string_view whyRefused = "replicas that ran this very request have crashed, so it is not run again";

} // namespace

/// The connection of the flow's call has ended without a whole answer. One that leaves closes its connections too.
void ForwardLogic::noteCrash(const Flow& flow, Instant now)
{
    const auto* entry = m_replicas.registry().find(flow.replica);
    bool isLeaving = entry && entry->announcement.state == ReplicaState::Draining;
    auto fingerprint = flow.ask.fingerprint;
    if (isLeaving || fingerprint == RequestFingerprint() || !m_crashes.noteCrash(fingerprint, flow.replica, now - flow.sentAt, now))
        return;
    CrashReport report;
    report.crashes.push_back({ fingerprint, flow.replica.id, flow.replica.start, Duration::zero(), now - flow.sentAt });
    m_effects.push_back(TellCrashes { std::nullopt, std::move(report) });
    noteIfRefused(fingerprint, now);
}

void ForwardLogic::noteServed(const Flow& flow, Instant now)
{
    if (m_crashes.noteServed(flow.ask.fingerprint, now))
        m_effects.push_back(TellCrashes { std::nullopt, { {}, { { flow.ask.fingerprint, Duration::zero() } } } });
}

bool ForwardLogic::crashesReplicas(const Flow& flow, Instant now) const
{
    return m_crashes.standing(flow.ask.fingerprint, now) == CrashTracker::Standing::Refused;
}

/// It may have run, under another id, so this is no "not run"; nor is there a time at which to come back.
void ForwardLogic::refuseAsCrashing(Flow& flow, Instant now) { refuse(flow, ResultCode::CrashesReplicas, std::string(whyRefused), now); }

void ForwardLogic::noteIfRefused(RequestFingerprint fingerprint, Instant now)
{
    if (m_crashes.standing(fingerprint, now) != CrashTracker::Standing::Refused || !m_newlyRefused.insert(fingerprint).second)
        return;
    m_effects.push_back(Note { EventCode::RequestCrashesReplicas, {}, m_crashes.text(fingerprint) });
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
        if (flow.isCalling) {
            m_effects.push_back(CancelCall { flow.id, flow.attempt });
            endCall(flow, CallOutcome::Abandoned, now);
        }
        refuseAsCrashing(flow, now);
    }
}

void ForwardLogic::on(const ControllerUp& event, Instant now)
{
    // The controller may have started again and know nothing.
    if (auto report = m_crashes.describeAll(CrashTracker::Standing::Unknown, now); !report.isEmpty())
        m_effects.push_back(TellCrashes { event.controller, std::move(report) });
}

void ForwardLogic::on(const CrashesTold& event, Instant now)
{
    auto news = m_crashes.take(event.report, now);
    for (const auto& crash : news.crashes)
        noteIfRefused(crash.request, now);
}

} // namespace wrenhinge
