/** \file
 * Gives engines the order to change their stage, from one controller at a time.
 *
 * Only the leader of the log orders. What could go wrong, and what prevents it:
 * - Two controllers order in turns, or an older order comes after a newer one, and an engine that ignores fencing tokens goes to
 *   and fro. Each order takes a token from the log, which only a leader can commit, and is sent within `sendWithin` of asking
 *   for it, by a clock that goes on while the process is suspended. A new leader waits for the lease and more before its first
 *   order, so that the former one's last order lies at least a lease back.
 * - An order without an answer is carried out seconds later, after a newer one. Each order names the number of orders that the
 *   engine had accepted before, which it checks when it carries the order out; and after an order without an answer none is
 *   given for `lateOrders`.
 * - An engine restarts between the plan and the order. Under another id it refuses the order, which names the id that is meant. Under
 *   the same id it can't tell, and has accepted as many orders as its former run once had: none. So plan, count and rest belong to a
 *   run; the engine's report must be of that run; an order under way is given up as soon as a newer run is known; and one that
 *   had left by then counts as one without an answer, as the new run may carry it out.
 *
 * One order is under way at a time: read the engine's count, take the token, give the order.
 */
#pragma once

#include "base/EventCode.h"
#include "request/engine/StagePlan.h"
#include "request/fleet/ReplicaRegistry.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace wrenhinge {

namespace stages {

    /// What an engine says of the orders given to it.
    struct EngineState {
        std::uint64_t accepted = 0; ///< Orders since it started.
        bool isBusy = false; ///< One is being carried out.
        ReplicaStart start {}; ///< Of the run that answered, if it says.
    };
    enum class OrderAnswer : std::uint8_t {
        Accepted,
        Refused,
        None, ///< It may have been accepted, or be carried out later.
    };

    // Events.
    /// The term in which this controller leads; zero: it does not.
    struct LeadershipChanged {
        std::uint64_t term = 0;
    };
    struct LoadReported {
        PeerId gateway;
        EngineLoadReport report;
    };
    /// The answer to ReadEngine; nothing if there was none.
    struct EngineRead {
        std::uint64_t order = 0;
        std::optional<EngineState> state;
    };
    /// The answer to AcquireToken; zero if none was committed.
    struct TokenAcquired {
        std::uint64_t order = 0;
        FencingToken token;
    };
    struct OrderAnswered {
        std::uint64_t order = 0;
        OrderAnswer answer = OrderAnswer::None;
    };
    struct Tick { };
    using Event = std::variant<LeadershipChanged, LoadReported, EngineRead, TokenAcquired, OrderAnswered, Tick>;

    // Effects. `order` pairs the answers; those to earlier orders are late.
    struct ReadEngine {
        std::uint64_t order = 0;
        Engine engine;
    };
    struct AcquireToken {
        std::uint64_t order = 0;
        std::string engine;
        std::string name; ///< Unique for the order.
    };
    struct SendOrder {
        std::uint64_t order = 0;
        Engine engine;
        UpstreamKind to = UpstreamKind::Decode;
        FencingToken token;
        std::uint64_t acceptedBefore = 0;
    };
    using Effect = std::variant<ReadEngine, AcquireToken, SendOrder, StageChange, LogEvent>;

} // namespace stages

class StageCoordinator {
public:
    using Effects = std::vector<stages::Effect>;

    /// From asking for a token to sending the order. Committing takes two round trips and two syncs, some 20 ms.
    static constexpr Duration sendWithin = 500ms;
    /// How long after its election a leader waits beyond the lease: `sendWithin`, and an order's way through a bad link.
    static constexpr Duration beyondLease = 1s;
    /// An order without an answer may be carried out up to 12 s later, so none is given to the service before this.
    static constexpr Duration lateOrders = 14s;
    /// An engine that refused is not asked again before this; what it minds takes seconds to pass.
    static constexpr Duration afterRefusal = 10s;
    /// Each step of an order has an answer within this, or never.
    static constexpr Duration stepLimit = 1s;
    /// Before a change is taken back the load has this long after it to show what it did: most answers take less.
    static constexpr Duration settle = 5s;
    /// A further change in the same direction waits for this only: the plan counts the engines that are on their way, and the work
    /// that it goes by does not depend on the split. With the long pause the second of two changes came 16 s after the first; with 2 s the
    /// last of eight changes of forty engines 16 s after the first.
    static constexpr Duration nextInDirection = 1s;
    /// At a site with many engines it waits less, so that as large a part of any site could be changed in the same time: a surge lasts as
    /// long whatever the number of engines. At one a second, a plan for 32 of 180 engines took 32 s; at this pace it takes 7 s. Of forty
    /// engines one a second is changed, as before.
    static constexpr Duration wholeSiteWithin = 40s;
    /// A plan needs reports over this long before it, as the running means begin with the first of them.
    static constexpr Duration observe = 3s;
    /// A gateway that was not heard of for this long is left out.
    static constexpr Duration reportsCountFor = 3s;
    /// Weight of the newest report in the running means: the last five seconds count.
    static constexpr double newest = 0.2;
    /// Beside the time that a change takes, a replica first ends what runs on it.
    static constexpr Duration endsRunningWithin = 4s;

    /// \param lease how far apart the orders of two controllers must lie. \param self a name that is unique among controllers' runs.
    StageCoordinator(const ReplicaRegistry&, Duration lease, std::string self);

    Effects step(const stages::Event&, Instant now);

private:
    enum class Step : std::uint8_t { Idle, Reading, TakingToken, Ordering };
    struct Load {
        StageLoad busy;
        Instant since;
        Instant at;
    };

    void on(const stages::LeadershipChanged&, Instant);
    void on(const stages::LoadReported&, Instant);
    void on(const stages::EngineRead&, Instant);
    void on(const stages::TokenAcquired&, Instant);
    void on(const stages::OrderAnswered&, Instant);
    void on(const stages::Tick&, Instant);
    void giveUpFormerRun(Instant);
    void planService(const std::string& service, Instant);
    [[nodiscard]] stages::Pool poolOf(const std::string& service, Instant);
    [[nodiscard]] Duration pauseInDirection(const std::string& service) const;
    void begin(const std::string& service, const stages::Change&, Instant);
    void fail(const std::string& why, Duration engineRests, Instant);
    [[nodiscard]] bool isCurrent(std::uint64_t order, Step step) const { return order == m_order && step == m_step; }

    const ReplicaRegistry& m_registry;
    Duration m_lease;
    std::string m_self;
    std::uint64_t m_term = 0;
    Instant m_mayOrderAt;
    std::map<std::string, std::map<PeerId, Load>> m_loads; ///< By service.
    std::map<std::string, Instant> m_restUntil; ///< By service.
    std::map<std::string, UpstreamKind> m_lastDirection; ///< By service, of the last change that was accepted.
    std::map<std::string, Instant> m_reverseFrom; ///< By service: when a change in the other direction may come.
    std::map<ReplicaRun, Instant> m_engineRestsUntil;

    // The order under way.
    Step m_step = Step::Idle;
    std::uint64_t m_order = 0;
    std::string m_service;
    stages::Change m_change;
    Duration m_changeTakes {};
    std::uint64_t m_acceptedBefore = 0;
    Instant m_stepBegan;
    std::string m_reason;
    Effects m_effects;
};

} // namespace wrenhinge
