/** \file
 * Performs the effects of StageCoordinator: calls engines, acquires fencing tokens from the log and broadcasts stage changes.
 *
 * Runs on the controller's strand. The dialect defines the format of the calls to engines.
 */
#pragma once

#include "base/SystemClock.h"
#include "connection/UpstreamPool.h"
#include "process/ControllerRole.h"
#include "request/engine/StageCoordinator.h"

namespace wrenhinge {

/// An order to an engine, with all values that the dialect needs.
struct StageOrder {
    stages::Engine engine;
    UpstreamKind to = UpstreamKind::Decode;
    std::string holder; ///< Identifies the controller; unique to it and equal in all its orders.
    FencingToken token;
    std::uint64_t acceptedBefore = 0; ///< The engine refuses the order unless it has accepted exactly this many before.
};

/// The format of the calls that read the state of engines and send orders to them.
template <typename D>
concept EngineDialect = requires(const stages::Engine& engine, const StageOrder& order, const GatheredAnswer& answer)
{
    {
        D::readEngine(engine)
        } -> std::same_as<UpstreamRequest>;
    {
        D::engineState(answer)
        } -> std::same_as<std::optional<stages::EngineState>>;
    {
        D::giveOrder(order)
        } -> std::same_as<UpstreamRequest>;
    {
        D::orderAnswer(answer)
        } -> std::same_as<stages::OrderAnswer>;
};

template <EngineDialect Dialect> class StageDriver {
public:
    /// Planning interval. Loads are reported once a second, but at a site with 180 engines two orders may be only 0.22 s apart.
    static constexpr Duration tickInterval = 100ms;

    /// \param holder identifies this controller to engines.
    StageDriver(ControllerRole& role, Runtime& runtime, Duration lease, std::string holder)
        : m_role(role)
        , m_log(runtime.log())
        , m_pool(role.strand())
        , m_timer(role.strand())
        , m_holder(std::move(holder))
        , m_coordinator(role.registrar().registry(), lease, m_holder + "/" + toString(runtime.self()))
    {
        m_role.onEngineLoad = [this](PeerId gateway, const EngineLoadReport& report) {
            boost::asio::post(m_role.strand(), [this, gateway, report] { post(stages::LoadReported { gateway, report }); });
        };
    }

    void start()
    {
        boost::asio::post(m_role.strand(), [this] { tick(); });
    }
    void stop()
    {
        boost::asio::post(m_role.strand(), [this] {
            m_isStopped = true;
            m_timer.cancel();
        });
    }

private:
    void tick()
    {
        if (m_isStopped)
            return;
        post(stages::LeadershipChanged { m_role.leadingTerm() });
        post(stages::Tick {});
        m_timer.expires_after(tickInterval);
        m_timer.async_wait([this](ErrorCode ec) {
            if (!ec)
                tick();
        });
    }

    void post(const stages::Event& event)
    {
        for (auto& effect : m_coordinator.step(event, currentInstant()))
            std::visit([this](auto& e) { execute(e); }, effect);
    }

    void execute(stages::ReadEngine& read)
    {
        auto onEnd = [this, order = read.order, engine = read.engine.run.id](const GatheredAnswer& answer) {
            auto state = Dialect::engineState(answer);
            if (!state && answer.head.status == 200)
                m_role.refusals().note(
                    InputSource::Report, engine, "the report lacks the number of accepted orders or whether one is in progress");
            post(stages::EngineRead { order, state });
        };
        auto onFailure = [this, order = read.order](bool, const std::string&) { post(stages::EngineRead { order, std::nullopt }); };
        m_pool.call(read.engine.run, read.engine.address, Dialect::readEngine(read.engine),
            gather(onEnd, onFailure, StageCoordinator::stepTimeout));
    }

    void execute(stages::AcquireToken& acquire)
    {
        m_role.propose(FenceCommand { acquire.engine, acquire.name }, [this, order = acquire.order](const ProposeReply& reply) {
            auto token = reply.code == ResultCode::Ok ? FencingToken(reply.number) : FencingToken();
            boost::asio::post(m_role.strand(), [this, order, token] { post(stages::TokenAcquired { order, token }); });
        });
    }

    void execute(stages::SendOrder& send)
    {
        auto onEnd = [this, order = send.order](const GatheredAnswer& answer) {
            post(stages::OrderAnswered { order, Dialect::orderAnswer(answer) });
        };
        auto onFailure = [this, order = send.order](bool mayHaveRun, const std::string&) {
            post(stages::OrderAnswered { order, mayHaveRun ? stages::OrderAnswer::None : stages::OrderAnswer::Refused });
        };
        StageOrder order { send.engine, send.to, m_holder, send.token, send.acceptedBefore };
        auto call = m_pool.call(send.engine.run, send.engine.address, Dialect::giveOrder(order), gather(onEnd, onFailure));
        // An order not sent by then must not be sent later, when another controller may be the leader.
        m_orderTimer.expires_after(StageCoordinator::stepTimeout);
        m_orderTimer.async_wait([call](ErrorCode ec) {
            if (!ec)
                UpstreamPool::cancel(call);
        });
    }

    void execute(StageChange& change) { m_role.registrar().changeStage(change); }

    void execute(LogEvent& event) { m_log.write(event); }

    ControllerRole& m_role;
    EventLog& m_log;
    UpstreamPool m_pool;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_orderTimer { m_role.strand() };
    std::string m_holder;
    StageCoordinator m_coordinator;
    bool m_isStopped = false;
};

} // namespace wrenhinge
