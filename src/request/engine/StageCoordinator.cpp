#include "request/engine/StageCoordinator.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace wrenhinge {

using namespace stages;

namespace {

    std::string describe(const Pool& pool, const Change& change)
    {
        std::array<char, 160> text {};
        std::snprintf(text.data(), text.size(), "%s to %s, load %.2f prefill %.2f decode, of %zu replicas",
            toString(change.engine.run).c_str(), change.to == UpstreamKind::Decode ? "decode" : "prefill", pool.prefillLoad,
            pool.decodeLoad, pool.engines.size());
        return text.data();
    }

} // namespace

StageCoordinator::StageCoordinator(const ReplicaRegistry& registry, Duration lease, std::string name)
    : m_registry(registry)
    , m_lease(lease)
    , m_name(std::move(name))
{
}

StageCoordinator::Effects StageCoordinator::step(const Event& event, Instant now)
{
    abortIfRestarted(now);
    std::visit([this, now](const auto& e) { on(e, now); }, event);
    return std::exchange(m_effects, {});
}

/// Aborts the order in progress if its engine has restarted. Called before every event, so that replies of the former run are ignored as
/// soon as the newer run is known.
void StageCoordinator::abortIfRestarted(Instant now)
{
    const auto& run = m_change.engine.run;
    auto newest = m_registry.newestRun(run.id);
    if (m_step == Step::Idle || !newest || !run.isBefore(*newest))
        return;
    if (m_step == Step::Ordering)
        m_pausedUntil[m_service] = now + unansweredOrderPause;
    fail("the engine has restarted", Duration::zero(), now);
}

void StageCoordinator::on(const LeadershipChanged& event, Instant now)
{
    if (event.term == m_term)
        return;
    m_term = event.term;
    m_ordersAllowedAt = now + m_lease + leaseMargin;
    if (m_step == Step::Ordering)
        m_pausedUntil[m_service] = now + unansweredOrderPause;
    m_step = Step::Idle;
}

void StageCoordinator::on(const LoadReported& event, Instant now)
{
    for (const auto& [service, busy] : event.report.services) {
        auto [it, isNew] = m_loads[service].try_emplace(event.gateway, Load { busy, now, now });
        if (isNew)
            continue;
        auto& load = it->second;
        load.busy.prefill += (busy.prefill - load.busy.prefill) * sampleWeight;
        load.busy.decode += (busy.decode - load.busy.decode) * sampleWeight;
        load.busy.stageChange = busy.stageChange;
        load.at = now;
    }
}

void StageCoordinator::on(const Tick&, Instant now)
{
    std::erase_if(m_enginePausedUntil, [now](const auto& item) { return item.second <= now; });
    if (m_step == Step::Ordering && now - m_stepStartedAt > stepTimeout)
        on(OrderAnswered { m_order, OrderAnswer::None }, now);
    else if (m_step != Step::Idle && now - m_stepStartedAt > stepTimeout)
        fail("timeout before the order was sent", refusalPause, now);
    if (!m_term || now < m_ordersAllowedAt)
        return;
    for (const auto& [service, loads] : m_loads) {
        if (m_step == Step::Idle && m_pausedUntil[service] <= now)
            planService(service, now);
    }
}

/// The service's engines, and the load of its stages over all gateways. The load is zero if it was not observed for long enough.
Pool StageCoordinator::poolOf(const std::string& service, Instant now)
{
    Pool pool;
    for (const auto& [id, entry] : m_registry.entries()) {
        const auto& a = entry.announcement;
        bool isUsable = a.service == service && a.kind != UpstreamKind::Plain && a.state == ReplicaState::Ready && !entry.isOverdue(now);
        if (!isUsable)
            continue;
        bool isChanging = entry.isChanging(now);
        auto kind = isChanging ? *entry.pendingStage : a.kind;
        if (!isChanging && !m_enginePausedUntil.contains(a.run()))
            pool.engines.push_back({ a.run(), a.address, a.zone, kind });
        else
            ++(kind == UpstreamKind::Prefill ? pool.becomingPrefill : pool.becomingDecode);
    }
    auto& loads = m_loads[service];
    std::erase_if(loads, [now](const auto& item) { return now - item.second.at > reportTimeout; });
    bool isObserved
        = std::any_of(loads.begin(), loads.end(), [now](const auto& item) { return now - item.second.since >= minObservationTime; });
    if (!isObserved)
        return pool;
    for (const auto& [gateway, load] : loads) {
        pool.prefillLoad += load.busy.prefill;
        pool.decodeLoad += load.busy.decode;
        pool.changeDuration = load.busy.stageChange;
    }
    return pool;
}

void StageCoordinator::planService(const std::string& service, Instant now)
{
    auto pool = poolOf(service, now);
    auto change = plan(pool);
    if (!change)
        return;
    bool isReverse = m_lastDirection.contains(service) && m_lastDirection[service] != change->to;
    if (isReverse && now < m_reverseAllowedAt[service])
        return;
    m_reason = describe(pool, *change);
    m_changeDuration = pool.changeDuration;
    begin(service, *change, now);
}

Duration StageCoordinator::pauseBetweenOrders(const std::string& service) const
{
    const auto& entries = m_registry.entries();
    auto engines = std::count_if(entries.begin(), entries.end(), [&service](const auto& item) {
        const auto& a = item.second.announcement;
        return a.service == service && a.kind != UpstreamKind::Plain;
    });
    return std::min<Duration>(sameDirectionPause, fullSiteChangeTime / std::max<std::ptrdiff_t>(1, engines));
}

void StageCoordinator::begin(const std::string& service, const Change& change, Instant now)
{
    m_service = service;
    m_change = change;
    m_step = Step::Reading;
    m_stepStartedAt = now;
    m_effects.push_back(ReadEngine { ++m_order, change.engine });
}

void StageCoordinator::on(const EngineRead& event, Instant now)
{
    if (!isCurrent(event.order, Step::Reading))
        return;
    if (!event.state || event.state->isBusy)
        return fail(event.state ? "the engine is carrying out another order" : "no reply from the engine", refusalPause, now);
    const auto& run = m_change.engine.run;
    bool isOtherRun = event.state->start != ReplicaStart() && run.start != ReplicaStart() && event.state->start != run.start;
    if (isOtherRun)
        return fail("the reply is from another run of the engine", refusalPause, now);
    m_acceptedBefore = event.state->accepted;
    m_step = Step::AcquiringToken;
    m_stepStartedAt = now;
    m_effects.push_back(AcquireToken { m_order, run.id, m_name + "/" + std::to_string(m_order) });
}

void StageCoordinator::on(const TokenAcquired& event, Instant now)
{
    if (!isCurrent(event.order, Step::AcquiringToken))
        return;
    if (event.token == FencingToken() || now - m_stepStartedAt > tokenTimeout)
        return fail("timeout while acquiring a fencing token", Duration::zero(), now);
    m_step = Step::Ordering;
    m_stepStartedAt = now;
    m_reason += ", token " + std::to_string(event.token.value()) + ", after " + std::to_string(m_acceptedBefore) + " orders";
    m_effects.push_back(SendOrder { m_order, m_change.engine, m_change.to, event.token, m_acceptedBefore });
}

void StageCoordinator::on(const OrderAnswered& event, Instant now)
{
    if (!isCurrent(event.order, Step::Ordering))
        return;
    if (event.answer == OrderAnswer::Refused)
        return fail("the engine refused the order", refusalPause, now);
    if (event.answer == OrderAnswer::None) {
        fail("no reply; the order may be carried out later", unansweredOrderPause, now);
        m_pausedUntil[m_service] = now + unansweredOrderPause;
        return;
    }
    m_step = Step::Idle;
    m_pausedUntil[m_service] = now + pauseBetweenOrders(m_service);
    m_reverseAllowedAt[m_service] = now + m_changeDuration + settleTime;
    m_lastDirection[m_service] = m_change.to;
    m_effects.push_back(StageChange { m_change.engine.run.id, m_change.to, m_changeDuration + drainTime, m_change.engine.run.start });
    m_effects.push_back(LogEvent { EventCode::StageOrdered, {}, m_reason });
}

void StageCoordinator::fail(const std::string& why, Duration enginePause, Instant now)
{
    m_step = Step::Idle;
    if (enginePause > Duration::zero())
        m_enginePausedUntil[m_change.engine.run] = now + enginePause;
    m_effects.push_back(LogEvent { EventCode::StageOrderFailed, {}, m_reason + ": " + why });
}

} // namespace wrenhinge
