/** \file
 * Orders engines to change their stage, from one controller at a time.
 *
 * Only the Raft leader sends orders. What could go wrong, and how it is prevented:
 * - Two controllers send orders alternately, or an older order arrives after a newer one, and an engine that ignores fencing tokens
 *   changes back and forth. Each order takes a token from the log, which only a leader can commit, and is sent within `tokenTimeout` of the
 *   request for it, by a clock that includes time while the process is suspended. A new leader waits for the lease plus `leaseMargin`
 *   before its first order, so that the former leader's last order is at least a lease old.
 * - An order without a reply is carried out seconds later, after a newer one. Each order contains the number of orders that the engine had
 *   accepted before, which the engine checks when it carries the order out; and after an order without a reply, no other order is sent
 *   for `unansweredOrderPause`.
 * - An engine restarts between the plan and the order. Under another id it refuses the order, which contains the id that it was meant for.
 *   Under the same id it can't tell, and has accepted as many orders as its former run had at some time: none. The plan, the count and
 *   the pauses therefore belong to a run, and the engine's state must be of that run. An order in progress is aborted as soon as a newer
 *   run is known. If it was already sent, it counts as one without a reply, as the new run may carry it out.
 *
 * One order is in progress at a time: read the engine's count of orders, allocate the token, send the order.
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

    /// An engine's report about its orders.
    struct EngineState {
        std::uint64_t accepted = 0; ///< Orders accepted since the engine started.
        bool isBusy = false; ///< Whether it is carrying one out.
        ReplicaStart start {}; ///< Start of the run that replied, if stated.
    };
    enum class OrderAnswer : std::uint8_t {
        Accepted,
        Refused,
        None, ///< No reply: the order may have been accepted, or be carried out later.
    };

    // Events.
    /// The term in which this controller is the leader; zero: it is not the leader.
    struct LeadershipChanged {
        std::uint64_t term = 0;
    };
    struct LoadReported {
        PeerId gateway;
        EngineLoadReport report;
    };
    /// The reply to ReadEngine; `state` is empty if there was none.
    struct EngineRead {
        std::uint64_t order = 0;
        std::optional<EngineState> state;
    };
    /// The reply to AcquireToken; `token` is zero if none was committed.
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

    // Effects. The replies repeat `order`; those with the number of an earlier order are late.
    struct ReadEngine {
        std::uint64_t order = 0;
        Engine engine;
    };
    struct AcquireToken {
        std::uint64_t order = 0;
        std::string engine;
        std::string name; ///< Unique for each order.
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

    /// The longest time from requesting a token to sending the order. Committing takes two round trips and two syncs, some 20 ms.
    static constexpr Duration tokenTimeout = 500ms;
    /// What a new leader waits beyond the lease: `tokenTimeout`, and the time for an order to arrive over a bad link.
    static constexpr Duration leaseMargin = 1s;
    /// After an order without a reply, which may be carried out up to 12 s later, the service's engines get no order for this long.
    static constexpr Duration unansweredOrderPause = 14s;
    /// An engine that refused an order gets no other one for this long: the reasons for a refusal last for seconds.
    static constexpr Duration refusalPause = 10s;
    /// The timeout of each step of an order.
    static constexpr Duration stepTimeout = 1s;
    /// After a change has ended, none in the other direction is made for this long, so that its effect shows in the load: most answers take
    /// less.
    static constexpr Duration settleTime = 5s;
    /// The pause before a further change in the same direction. It can be short: the plan includes engines that are changing, and the load
    /// that it is based on does not depend on the split. With the long pause, the second of two changes came 16 s after the first; with
    /// 2 s, the last of eight changes of forty engines came 16 s after the first.
    static constexpr Duration sameDirectionPause = 1s;
    /// At a site with more than forty engines the pause is shorter, so that changing all of them would take this long: surges last equally
    /// long at any number of engines. At one change a second, a plan for 32 of 180 engines took 32 s; now it takes 7 s. At a site of forty
    /// engines the pace is one change a second.
    static constexpr Duration fullSiteChangeTime = 40s;
    /// A plan needs reports over at least this period, since the running means start from the first report.
    static constexpr Duration minObservationTime = 3s;
    /// Reports of a gateway that has not reported for this long are dropped.
    static constexpr Duration reportTimeout = 3s;
    /// Weight of the latest report in the running means, which cover about the last five seconds.
    static constexpr double sampleWeight = 0.2;
    /// Time that a replica needs to finish its running requests before a change, added to the time of the change.
    static constexpr Duration drainTime = 4s;

    /// \param lease the minimum time between orders of two controllers. \param name unique among all runs of all controllers.
    StageCoordinator(const ReplicaRegistry&, Duration lease, std::string name);

    Effects step(const stages::Event&, Instant now);

private:
    enum class Step : std::uint8_t { Idle, Reading, AcquiringToken, Ordering };
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
    void abortIfRestarted(Instant);
    void planService(const std::string& service, Instant);
    [[nodiscard]] stages::Pool poolOf(const std::string& service, Instant);
    [[nodiscard]] Duration pauseBetweenOrders(const std::string& service) const;
    void begin(const std::string& service, const stages::Change&, Instant);
    void fail(const std::string& why, Duration enginePause, Instant);
    [[nodiscard]] bool isCurrent(std::uint64_t order, Step step) const { return order == m_order && step == m_step; }

    const ReplicaRegistry& m_registry;
    Duration m_lease;
    std::string m_name;
    std::uint64_t m_term = 0;
    Instant m_ordersAllowedAt;
    std::map<std::string, std::map<PeerId, Load>> m_loads; ///< By service.
    std::map<std::string, Instant> m_pausedUntil; ///< By service.
    std::map<std::string, UpstreamKind> m_lastDirection; ///< By service, of the last accepted change.
    std::map<std::string, Instant> m_reverseAllowedAt; ///< By service: when a change in the other direction is allowed.
    std::map<ReplicaRun, Instant> m_enginePausedUntil;

    // The order in progress.
    Step m_step = Step::Idle;
    std::uint64_t m_order = 0;
    std::string m_service;
    stages::Change m_change;
    Duration m_changeDuration {};
    std::uint64_t m_acceptedBefore = 0;
    Instant m_stepStartedAt;
    std::string m_reason;
    Effects m_effects;
};

} // namespace wrenhinge
