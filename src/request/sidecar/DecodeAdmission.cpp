#include "request/sidecar/DecodeAdmission.h"

#include <algorithm>

namespace wrenhinge {

namespace {

    // Guesses for a fresh sidecar; a few requests replace them.
    constexpr Duration guessedTokenInterval = 20ms;
    constexpr double guessedTokens = 200;
    constexpr Duration guessedStart = 30ms;
    constexpr double guessedStartMicrosPerToken = 10;
    constexpr double typicalPromptTokens = 2000;
    constexpr double learningRate = 0.05;
    /// A grant outlives its expected use by this factor and margin, so that an ordinary delay doesn't void it.
    constexpr int grantLeadFactor = 2;
    constexpr Duration grantMargin = 200ms;
    /// The part of a result's life that a plan may use up by waiting; the rest is for errors of the estimates.
    constexpr double usableLifeShare = 0.6;
    /// A slot is kept for urgent work while some was seen this lately, on engines with at least so many slots.
    constexpr Duration urgentMemory = 10s;
    constexpr std::uint32_t smallestToReserve = 8;

} // namespace

DecodeAdmission::DecodeAdmission(std::uint32_t slots, Duration resultLife)
    : m_slots(slots)
    , m_resultLife(resultLife)
    , m_holdCost(0ms, static_cast<double>(guessedTokenInterval.count()), guessedTokens)
    , m_startCost(guessedStart, guessedStartMicrosPerToken, typicalPromptTokens)
    , m_tokenIntervalMicros(static_cast<double>(guessedTokenInterval.count()))
    , m_meanHoldMicros(guessedTokens * static_cast<double>(guessedTokenInterval.count()))
{
}

DecodeAdmission::Claims DecodeAdmission::claimsAhead(const WorkTable& table, Priority priority, Instant now) const
{
    Claims claims;
    bool urgentIsLikely = m_urgentSeenAt && now - *m_urgentSeenAt < urgentMemory;
    claims.reserved = priority == Priority::Normal && urgentIsLikely && m_slots >= smallestToReserve ? 1 : 0;
    for (const auto& [key, work] : table) {
        if (work.stage == WorkStage::Running)
            claims.running.push_back({ work.started, work.maxTokens, work.producedTokens });
        else if (work.stage == WorkStage::Granted || (work.stage == WorkStage::Ready && work.deadline >= now))
            claims.ahead += work.priority <= priority ? 1 : 0;
    }
    return claims;
}

std::uint32_t DecodeAdmission::neededEnds(const Claims& claims) const
{
    auto usable = m_slots - std::min(m_slots - 1, claims.reserved);
    auto free = usable > claims.running.size() ? usable - static_cast<std::uint32_t>(claims.running.size()) : 0;
    return claims.ahead + 1 > free ? claims.ahead + 1 - free : 0;
}

ForecastModel DecodeAdmission::model() const { return { meanHold(), tokenInterval() }; }

DecodeAdmission::Verdict DecodeAdmission::judge(const WorkTable& table, const Work& work, Instant now) const
{
    auto slack = work.deadline - now;
    if (slack < Duration::zero())
        return Verdict::Refuse;
    auto claims = claimsAhead(table, work.priority, now);
    auto needed = neededEnds(claims);
    auto patience = std::min(slack, fromSeconds(usableLifeShare * toSeconds(m_resultLife)));
    if (chanceOfFreeing(claims.running, model(), needed, work.leadTime + patience)
        >= m_objective.threshold(toSeconds(work.leadTime) / toSeconds(meanHold())))
        return Verdict::Grant;
    // The slot is needed only when the prefill ends, and then within the slack.
    auto expected = expectedTimeToFree(claims.running, model(), needed);
    return expected > work.leadTime + slack ? Verdict::Refuse : Verdict::Wait;
}

void DecodeAdmission::noteUrgent(Instant now) { m_urgentSeenAt = now; }

bool DecodeAdmission::mayStart(const WorkTable& table) const
{
    auto running = std::count_if(table.begin(), table.end(), [](const auto& item) { return item.second.stage == WorkStage::Running; });
    return static_cast<std::uint32_t>(running) < m_slots;
}

bool DecodeAdmission::mayJoin(const WorkTable& table, const Work& work, Instant now) const
{
    auto claims = claimsAhead(table, work.priority, now);
    auto horizon = std::max(Duration::zero(), work.deadline - now);
    // The prefill is already paid, so any better-than-even chance is worth taking.
    return chanceOfFreeing(claims.running, model(), neededEnds(claims), horizon) >= 0.5;
}

Duration DecodeAdmission::predictedWait(const WorkTable& table, Priority priority, Instant now) const
{
    auto claims = claimsAhead(table, priority, now);
    for (const auto& [key, work] : table)
        claims.ahead += work.stage == WorkStage::Queued && work.priority <= priority ? 1 : 0;
    auto needed = neededEnds(claims);
    auto running = static_cast<std::uint32_t>(claims.running.size());
    auto wait = expectedTimeToFree(claims.running, model(), std::min(needed, running));
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
    m_meanHoldMicros += learningRate * (static_cast<double>(held.count()) - m_meanHoldMicros);
}

void DecodeAdmission::observeTokenInterval(Duration interval)
{
    m_tokenIntervalMicros += learningRate * (static_cast<double>(interval.count()) - m_tokenIntervalMicros);
}

void DecodeAdmission::observeStart(double promptTokens, Duration took) { m_startCost.observe(promptTokens, took); }

} // namespace wrenhinge
