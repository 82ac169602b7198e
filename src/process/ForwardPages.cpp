#include "process/ForwardPages.h"

#include "process/Settings.h"

namespace wrenhinge {

nlohmann::json forwardStatus(ForwardLogic& logic, Instant now)
{
    return { { "in_progress", logic.requests() }, { "serving", logic.isServing(now) }, { "document_version", logic.documentVersion() },
        { "engines_used", logic.replicas().subset().ids().size() }, { "retry_budget_left", logic.retryBudget(now) } };
}

nlohmann::json upstreamsPage(ForwardLogic& logic, Instant now)
{
    auto list = nlohmann::json::array();
    for (const auto& [id, entry] : logic.replicas().registry().entries()) {
        const auto& announcement = entry.announcement;
        auto found = logic.replicas().loads().find(announcement.run());
        auto load = found == logic.replicas().loads().end() ? ReplicaTable::Load() : found->second;
        bool isAvoided = load.backoffUntil > now;
        auto state = announcement.state == ReplicaState::Draining ? "draining" : isAvoided ? "ejected" : "in-use";
        list.push_back({ { "id", id }, { "service", announcement.service }, { "replica", id },
            { "started_unix_ms", announcement.start.value() }, { "zone", announcement.zone },
            { "software_version", announcement.softwareVersion }, { "kind", nameOf(announcement.kind) }, { "state", state },
            { "heard_ms", (now - entry.lastHeardAt) / 1ms }, { "failing", load.failureRate }, { "mean_seconds", load.meanSeconds },
            { "load", { { "slots", announcement.slots }, { "occupied", load.calls }, { "queued", 0 }, { "tokens", load.tokens } } } });
        if (auto usage = logic.limits().usage(announcement.run(), now))
            list.back()["rate_limit"] = { { "per_second", usage->perSecond }, { "remaining", usage->remaining } };
    }
    return list;
}

void setGauges(ForwardMetrics& metrics, ForwardLogic& logic)
{
    metrics.setGauge("wrenhinge_in_progress", static_cast<double>(logic.requests()));
    metrics.setGauge("wrenhinge_engines_used", static_cast<double>(logic.replicas().subset().ids().size()));
    metrics.setGauge("wrenhinge_document_version", static_cast<double>(logic.documentVersion()));
    metrics.setGauge("wrenhinge_rate_limited_replicas", static_cast<double>(logic.limits().size()));
    metrics.setGauge("wrenhinge_rate_limit_refusals_total", static_cast<double>(logic.limits().refusals()));
    metrics.setGauge("wrenhinge_keys_refused_total", static_cast<double>(logic.refusedKeys()));
    const auto& retries = logic.retryCounts();
    metrics.setGauge("wrenhinge_retries_total", static_cast<double>(retries.taken));
    metrics.setGauge("wrenhinge_retries_not_allowed_total", static_cast<double>(retries.notAllowed));
    metrics.setGauge("wrenhinge_prefills_refused_total", static_cast<double>(retries.refusedPrefills));
    metrics.setGauge("wrenhinge_calls_at_other_replicas_total", static_cast<double>(retries.otherReplicas));
}

} // namespace wrenhinge
