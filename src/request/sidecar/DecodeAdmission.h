/** \file
 * Admission control for the slots of a decode engine, which also decides when a prefill may start.
 *
 * The engine keeps a prefill's result for less than a second, so a prefill that finds no slot is discarded. A slot that is
 * kept free for its prefill idles. A grant may therefore be given before a slot is free, if the probability P that one will
 * be free at the end of prefill and transfer is high enough. The threshold follows from the service's objective: an answer
 * in time is worth the goodput weight G, a discarded prefill costs the waste weight W. With L the lead time (prefill and
 * transfer) and H the mean time that a request holds a slot, an early grant saves L of idle slot time, worth G * L / H; if
 * no slot becomes free, with probability 1 - P, the request and its prefill are lost at a cost of G + W. So the grant pays if
 *
 *     G * L / H >= (1 - P) * (G + W), that is P >= 1 - (L / H) * G / (G + W).
 *
 * Example: with L = 0.12 s, H = 4 s, G = 3 and W = 1, P must reach 0.9775. With 20 running requests and one slot needed,
 * SlotForecast gives 0.92 for 0.5 s: the request waits until one slot is free, or the completion of two requests is nearly
 * certain. Where prefills are long compared with the answers (L / H = 0.3), 0.775 suffices and slots are granted early.
 */
#pragma once

#include "request/sidecar/LinearCost.h"
#include "request/sidecar/SlotForecast.h"
#include "request/sidecar/Work.h"

#include <algorithm>
#include <optional>

namespace wrenhinge {

/// The weights of the objective for one service.
struct Objective {
    double goodput = 1;
    double waste = 1;
    /// The lowest probability of a free slot at which an early grant pays. `leadShare` is L / H: the idle time that the grant
    /// saves, as a share of the mean slot hold time.
    [[nodiscard]] double threshold(double leadShare) const
    {
        auto share = goodput + waste > 0 ? goodput / (goodput + waste) : 0.5;
        return 1 - std::clamp(leadShare, 0.0, 1.0) * share;
    }
};

class DecodeAdmission {
public:
    enum class Decision : std::uint8_t { Grant, Wait, Refuse };

    DecodeAdmission(std::uint32_t slots, Duration resultLife);

    void setObjective(Objective objective) { m_objective = objective; }

    /// Whether queued work is granted a slot now, keeps waiting, or can no longer be served in time.
    [[nodiscard]] Decision decide(const WorkTable&, const Work&, Instant now) const;
    /// Records the arrival of urgent work, after which normal work leaves one slot free for some time.
    void recordUrgentArrival(Instant now);
    /// Whether Ready work may start, that is whether a slot is free. The caller tries Ready work in order of service.
    [[nodiscard]] bool mayStart(const WorkTable&) const;
    /// Whether to admit work that arrives with a prefill's result but without a grant from this sidecar.
    [[nodiscard]] bool mayAdmitWithoutGrant(const WorkTable&, const Work&, Instant now) const;
    /// Predicted time until new work of this priority would get a slot.
    [[nodiscard]] Duration predictedWait(const WorkTable&, Priority, Instant now) const;
    /// How long a granted slot is reserved for its prefill.
    [[nodiscard]] Duration grantLife(const Work&) const;
    [[nodiscard]] Duration resultLife() const { return m_resultLife; }

    void observeHold(const Work&, Instant ended);
    void observeTokenInterval(Duration);
    void observeStart(double promptTokens, Duration took);
    [[nodiscard]] const LinearCost& holdCost() const { return m_holdCost; }
    [[nodiscard]] const LinearCost& startCost() const { return m_startCost; }
    [[nodiscard]] Duration tokenInterval() const { return Duration(static_cast<std::int64_t>(m_tokenIntervalMicros)); }
    [[nodiscard]] Duration meanHold() const { return Duration(static_cast<std::int64_t>(m_meanHoldMicros)); }

private:
    struct SlotDemand {
        std::vector<RunningSlot> running;
        std::uint32_t reserved = 0; ///< Slots that must stay free for urgent work.
        std::uint32_t ahead = 0; ///< Granted and waiting work that is served before the new work.
    };
    [[nodiscard]] SlotDemand demandAhead(const WorkTable&, Priority, Instant now) const;
    [[nodiscard]] std::uint32_t requiredCompletions(const SlotDemand&) const;
    [[nodiscard]] ForecastModel model() const;

    std::uint32_t m_slots;
    Duration m_resultLife;
    Objective m_objective;
    std::optional<Instant> m_lastUrgentArrival;
    LinearCost m_holdCost;
    LinearCost m_startCost;
    double m_tokenIntervalMicros;
    double m_meanHoldMicros;
};

} // namespace wrenhinge
