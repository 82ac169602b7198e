/** \file
 * Admission control for upstreams whose work needs no grant in advance: prefill engines and plain services.
 *
 * Work that is predicted to miss its deadline is refused on arrival instead of when the deadline passes: the caller can
 * try another replica sooner, and the engine spends no time on an answer that would be too late.
 */
#pragma once

#include "request/sidecar/LinearCost.h"
#include "request/sidecar/Work.h"

namespace wrenhinge {

class QueueAdmission {
public:
    /// Predicts the waits of all queued work in one pass in order of service, which takes time linear in the queue length.
    /// Separate predictions take quadratic time: with a burst of 300 prompts in the queue, a sidecar spent more time on
    /// predictions than its engine on the prompts, the queue grew without bound and requests were held for 61 s.
    class WaitPredictor {
    public:
        WaitPredictor(const QueueAdmission& admission, Instant now)
            : m_admission(admission)
            , m_now(now)
        {
        }
        /// Adds work that is running or starts now.
        void addRunning(const Work&);
        /// Adds work that stays queued, ahead of all work that is added or asked about later.
        void addWaiting(const Work&);
        /// Predicted time until the next work in order of service would start.
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
    /// Predicted time until new work of this priority would start.
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
