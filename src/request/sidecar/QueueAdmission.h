/** \file
 * Order of service for upstreams that take work at once: prefill engines and plain services.
 *
 * Work that could not end in time is refused on arrival, not when its time is up: the caller can go elsewhere sooner and
 * the engine spends nothing on an answer that would come too late.
 */
#pragma once

#include "request/sidecar/LinearCost.h"
#include "request/sidecar/Work.h"

namespace wrenhinge {

class QueueAdmission {
public:
    /// Predicts the waits of queued work one after the other, in order of service, so that a look at the whole queue costs its length.
    /// Predicting each by itself costs the square of it: with a burst of 300 prompts in the queue a sidecar was busier with its
    /// predictions than its engine with the prompts, the queue grew without bound and requests were held for 61 s.
    class WaitPredictor {
    public:
        WaitPredictor(const QueueAdmission& admission, Instant now)
            : m_admission(admission)
            , m_now(now)
        {
        }
        /// Work that is running, or starts now.
        void addRunning(const Work&);
        /// Work that stays in the queue, before all that comes after it in this pass.
        void addWaiting(const Work&);
        /// Predicted time until the next work in order would start.
        [[nodiscard]] Duration wait() const;
        [[nodiscard]] bool hasFreeSlot() const { return m_running < m_admission.m_slots; }

    private:
        const QueueAdmission& m_admission;
        Instant m_now;
        Duration m_ahead {};
        std::uint32_t m_running = 0;
        std::uint32_t m_waiting = 0;
    };

    static constexpr std::size_t maxQueueLength = 1024;

    QueueAdmission(std::uint32_t slots, LinearCost cost);

    /// Predicted time until `work` would start, if it is queued or about to be.
    [[nodiscard]] Duration predictedWait(const WorkTable&, const Work&, Instant now) const;
    /// Predicted time until new work of a priority would start.
    [[nodiscard]] Duration backlog(const WorkTable&, Priority, Instant now) const;
    [[nodiscard]] bool canCompleteInTime(const Work&, Duration wait, Instant now) const;
    [[nodiscard]] std::uint32_t slots() const { return m_slots; }

    void observe(const Work&, Instant ended);
    [[nodiscard]] const LinearCost& cost() const { return m_cost; }
    [[nodiscard]] Duration meanHold() const { return Duration(static_cast<std::int64_t>(m_meanHoldMicros)); }

private:
    std::uint32_t m_slots;
    LinearCost m_cost;
    double m_meanHoldMicros;
};

} // namespace wrenhinge
