#include "request/sidecar/QueueAdmission.h"

#include <algorithm>

namespace wrenhinge {

namespace {

    constexpr double smoothingFactor = 0.05;

    Duration remainingOf(const Work& work, const LinearCost& cost, Instant now)
    {
        return std::max(Duration::zero(), cost.estimate(work.cost) - (now - work.started));
    }

} // namespace

QueueAdmission::QueueAdmission(std::uint32_t slots, LinearCost cost)
    : m_slots(std::max(1u, slots))
    , m_cost(cost)
    , m_meanHoldMicros(static_cast<double>(cost.estimate(0).count()))
{
}

void QueueAdmission::WaitPredictor::addRunning(const Work& work)
{
    ++m_running;
    m_ahead += remainingOf(work, m_admission.m_cost, m_now);
}

void QueueAdmission::WaitPredictor::addWaiting(const Work& work)
{
    ++m_waiting;
    m_ahead += m_admission.m_cost.estimate(work.cost);
}

Duration QueueAdmission::WaitPredictor::wait() const
{
    return m_running + m_waiting < m_admission.m_slots ? Duration::zero() : m_ahead / m_admission.m_slots;
}

Duration QueueAdmission::predictedWait(const WorkTable& table, const Work& work, Instant now) const
{
    WaitPredictor predictor(*this, now);
    for (const auto& [key, other] : table) {
        if (other.stage == WorkStage::Running)
            predictor.addRunning(other);
        else if (other.stage == WorkStage::Queued && key != work.key && WaitQueue::isServedBefore(other, work))
            predictor.addWaiting(other);
    }
    return predictor.wait();
}

Duration QueueAdmission::backlog(const WorkTable& table, Priority priority, Instant now) const
{
    Work probe;
    probe.priority = priority;
    probe.deadline = now + 1h; // Behind all of its own class.
    return predictedWait(table, probe, now);
}

bool QueueAdmission::canCompleteInTime(const Work& work, Duration wait, Instant now) const
{
    return now + wait + m_cost.estimate(work.cost) <= work.deadline;
}

void QueueAdmission::observe(const Work& work, Instant ended)
{
    auto took = ended - work.started;
    m_cost.observe(work.cost, took);
    m_meanHoldMicros += smoothingFactor * (static_cast<double>(took.count()) - m_meanHoldMicros);
}

} // namespace wrenhinge
