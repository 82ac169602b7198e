#include "request/sidecar/DecodeAdmission.h"

#include <algorithm>

namespace wrenhinge {

namespace {

    // Guesses for a fresh sidecar; a few requests replace them.
    constexpr Duration initialTokenInterval = 20ms;
    constexpr double initialTokens = 200;
    constexpr Duration initialStart = 30ms;
    constexpr double initialStartMicrosPerToken = 10;
    constexpr double typicalPromptTokens = 2000;
    constexpr double smoothingFactor = 0.05;
    /// A grant outlives its expected use by this factor and margin, so that an ordinary delay doesn't void it.
    constexpr int grantLeadFactor = 2;
    constexpr Duration grantMargin = 200ms;
    /// The part of a result's life that a plan may use up by waiting; the rest is for errors of the estimates.
    constexpr double maxWaitShareOfResultLife = 0.6;
    /// A slot is kept for urgent work while some was seen this lately, on engines with at least so many slots.
    constexpr Duration urgentReservationTime = 10s;
    constexpr std::uint32_t minSlotsForReservation = 8;

} // namespace

DecodeAdmission::DecodeAdmission(std::uint32_t slots, Duration resultLife)
    : m_slots(slots)
    , m_resultLife(resultLife)
    , m_holdCost(0ms, static_cast<double>(initialTokenInterval.count()), initialTokens)
    , m_startCost(initialStart, initialStartMicrosPerToken, typicalPromptTokens)
    , m_tokenIntervalMicros(static_cast<double>(initialTokenInterval.count()))
    , m_meanHoldMicros(initialTokens * static_cast<double>(initialTokenInterval.count()))
{
}

DecodeAdmission::SlotDemand DecodeAdmission::demandAhead(const WorkTable& table, Priority priority, Instant now) const
{
    SlotDemand demand;
    bool isUrgentExpected = m_lastUrgentArrival && now - *m_lastUrgentArrival < urgentReservationTime;
    demand.reserved = priority == Priority::Normal && isUrgentExpected && m_slots >= minSlotsForReservation ? 1 : 0;
    for (const auto& [key, work] : table) {
        if (work.stage == WorkStage::Running)
            demand.running.push_back({ work.started, work.maxTokens, work.producedTokens });
        else if (work.stage == WorkStage::Granted || (work.stage == WorkStage::Ready && work.deadline >= now))
            demand.ahead += work.priority <= priority ? 1 : 0;
    }
    return demand;
}

std::uint32_t DecodeAdmission::requiredCompletions(const SlotDemand& demand) const
{
    auto unreserved = m_slots - std::min(m_slots - 1, demand.reserved);
    auto free = unreserved > demand.running.size() ? unreserved - static_cast<std::uint32_t>(demand.running.size()) : 0;
    return demand.ahead + 1 > free ? demand.ahead + 1 - free : 0;
}

ForecastModel DecodeAdmission::model() const { return { meanHold(), tokenInterval() }; }

DecodeAdmission::Decision DecodeAdmission::decide(const WorkTable& table, const Work& work, Instant now) const
{
    auto slack = work.deadline - now;
    if (slack < Duration::zero())
        return Decision::Refuse;
    auto demand = demandAhead(table, work.priority, now);
    auto needed = requiredCompletions(demand);
    auto allowedWait = std::min(slack, fromSeconds(maxWaitShareOfResultLife * toSeconds(m_resultLife)));
    if (probabilityOfFreeing(demand.running, model(), needed, work.leadTime + allowedWait)
        >= m_objective.threshold(toSeconds(work.leadTime) / toSeconds(meanHold())))
        return Decision::Grant;
    // The slot is needed only when the prefill ends, and then within the slack.
    auto expected = expectedTimeToFree(demand.running, model(), needed);
    return expected > work.leadTime + slack ? Decision::Refuse : Decision::Wait;
}

void DecodeAdmission::recordUrgentArrival(Instant now) { m_lastUrgentArrival = now; }

bool DecodeAdmission::mayStart(const WorkTable& table) const
{
    auto running = std::count_if(table.begin(), table.end(), [](const auto& item) { return item.second.stage == WorkStage::Running; });
    return static_cast<std::uint32_t>(running) < m_slots;
}

bool DecodeAdmission::mayAdmitWithoutGrant(const WorkTable& table, const Work& work, Instant now) const
{
    auto demand = demandAhead(table, work.priority, now);
    auto horizon = std::max(Duration::zero(), work.deadline - now);
    // The prefill is already paid, so any better-than-even chance is worth taking.
    return probabilityOfFreeing(demand.running, model(), requiredCompletions(demand), horizon) >= 0.5;
}

Duration DecodeAdmission::predictedWait(const WorkTable& table, Priority priority, Instant now) const
{
    auto demand = demandAhead(table, priority, now);
    for (const auto& [key, work] : table)
        demand.ahead += work.stage == WorkStage::Queued && work.priority <= priority ? 1 : 0;
    auto needed = requiredCompletions(demand);
    auto running = static_cast<std::uint32_t>(demand.running.size());
    auto wait = expectedTimeToFree(demand.running, model(), std::min(needed, running));
    // Beyond the present occupants the queue drains at the rate slots / mean hold.
    if (needed > running && m_slots)
        wait += meanHold() * (needed - running) / m_slots;
    return wait;
}

Duration DecodeAdmission::grantLife(const Work& work) const { return work.leadTime * grantLeadFactor + m_resultLife + grantMargin; }

void DecodeAdmission::observeHold(const Work& work, Instant ended)
{
    auto held = ended - work.started;
    m_holdCost.observe(work.maxTokens, held);
    m_meanHoldMicros += smoothingFactor * (static_cast<double>(held.count()) - m_meanHoldMicros);
}

void DecodeAdmission::observeTokenInterval(Duration interval)
{
    m_tokenIntervalMicros += smoothingFactor * (static_cast<double>(interval.count()) - m_tokenIntervalMicros);
}

void DecodeAdmission::observeStart(double promptTokens, Duration took) { m_startCost.observe(promptTokens, took); }

} // namespace wrenhinge
