/** \file
 * Who gets the slots of a decode engine, and when a prefill may begin.
 *
 * A prefill's result lives under a second, so a prefill that finds no slot is thrown away. A slot that waits for its
 * prefill idles. A grant may therefore come before a slot is free, if it is likely enough that one will be when prefill and
 * transfer end. How likely follows from the one stated objective: an answer in time is worth the goodput weight G, a
 * discarded prefill costs the waste weight W. With L the lead time (prefill and transfer) and H the mean time that a
 * request holds a slot, an early grant saves L of idle slot time, worth G * L / H; if no slot comes free, with the chance
 * 1 - P, the request and its prefill are lost, G + W. So it pays if
 *
 *     G * L / H >= (1 - P) * (G + W), that is P >= 1 - (L / H) * G / (G + W).
 *
 * Worked example: L = 0.12 s, H = 4 s, G = 3, W = 1: P must reach 0.9775. With 20 running and one claim, SlotForecast says
 * 0.92 for 0.5 s: the request waits until one slot is free, or two claims' worth of ends are nearly sure. Where prefills
 * take long beside short answers (L / H = 0.3), 0.775 is enough and slots are granted ahead.
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
    /// The least chance of a slot at which a grant pays whose slot would otherwise idle for `leadShare` of a hold.
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

    /// Whether queued work gets its grant now, waits on, or can't be served in time any more.
    [[nodiscard]] Decision decide(const WorkTable&, const Work&, Instant now) const;
    /// Urgent work was seen: from now on, for a while, normal work leaves a slot free for the next.
    void recordUrgentArrival(Instant now);
    /// Whether Ready work may start: a slot is free and nobody with a better claim is Ready.
    [[nodiscard]] bool mayStart(const WorkTable&) const;
    /// Whether work that comes with a result but without a grant is taken.
    [[nodiscard]] bool mayAdmitWithoutGrant(const WorkTable&, const Work&, Instant now) const;
    /// Predicted time until new work of this priority would find a slot.
    [[nodiscard]] Duration predictedWait(const WorkTable&, Priority, Instant now) const;
    /// How long a granted slot is kept for its prefill.
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
        std::uint32_t reserved = 0; ///< Slots that the new one must leave free for urgent work.
        std::uint32_t ahead = 0; ///< Promises that are served before the new one.
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
