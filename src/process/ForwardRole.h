/** \file
 * The process role of a gateway that calls upstreams itself: it connects ForwardLogic to the callers' connections (ForwardExchanges), the
 * calls to replicas (ForwardCalls), and the other processes of this project (ForwardPeers).
 *
 * All request processing runs on one strand. Effects are executed after the logic's step has returned, never during it: a
 * connection that fails immediately would otherwise re-enter the logic.
 */
#pragma once

#include "connection/HttpServer.h"
#include "connection/PeerHub.h"
#include "process/AccountPages.h"
#include "process/AdminPages.h"
#include "process/DescriptorShare.h"
#include "process/ForwardCalls.h"
#include "process/ForwardExchanges.h"
#include "process/ForwardMetrics.h"
#include "process/ForwardPages.h"
#include "process/ForwardPeers.h"
#include "process/LogicDriver.h"
#include "process/MemoryShares.h"
#include "process/Runtime.h"
#include "request/fleet/ContentFingerprint.h"
#include "request/forward/ForwardLogic.h"
#include "version/DocumentFollower.h"

#include <atomic>
#include <mutex>
#include <nlohmann/json.hpp>

namespace wrenhinge {

template <ForwardAdapter Dialect> class ForwardRole {
public:
    /// New requests are accepted for this long after SIGTERM: a load balancer needs up to two failed readiness checks, one second apart,
    /// to redirect callers.
    static constexpr Duration drainAcceptPeriod = 2600ms;
    /// Connections to the readiness check, which load balancers ask about once a second each.
    static constexpr std::size_t readyCheckConnections = 64;
    static constexpr std::size_t readyCheckBytes = 4096; ///< That the kernel holds of one.

    /// In bytes; callers choose their ids.
    static constexpr std::size_t longestLoggedId = 64;

    ForwardRole(const Settings& settings, Runtime& runtime)
        : m_settings(settings)
        , m_runtime(runtime)
        , m_strand(boost::asio::make_strand(runtime.io()))
        , m_hub(runtime.io(), Hello { runtime.self(), Role::Gateway, settings.name, settings.site, settings.zone, "", {} },
              { [this](const Hello& peer) {
                   m_runtime.log().write({ EventCode::PeerUp, {}, peer.name });
                   if (peer.role == Role::Controller)
                       post(forward::ControllerConnected { peer.id });
                   if (knows<StreamRecords>(peer) && peer.role != Role::Gateway)
                       post(forward::StreamHolderConnected { peer.id, peer.role, peer.zone });
               },
                  [this](PeerId peer) {
                      m_runtime.log().write({ EventCode::PeerDown, {}, toString(peer) });
                      post(forward::PeerDisconnected { peer });
                      m_documents.post(document::PeerDown { peer });
                  },
                  [this](PeerId peer, Message&& message) { onMessage(peer, std::move(message)); },
                  [this] { return m_runtime.log().stampSend(); }, [this](HybridTime stamp) { m_runtime.log().stampReceive(stamp); },
                  runtime.refusals().linkHandler() })
        , m_callers(
              m_strand,
              [this](HttpRequest&& request, std::shared_ptr<HttpAnswer> answer) { onRequest(std::move(request), std::move(answer)); },
              [this](const HttpRequest& head) { return HttpServer::HeadDecision { refusalAtHead(head) }; },
              [](const Error& error, const HttpRequest& request) { return errorReply(error, Dialect::readCaller(request).id); })
        , m_ready(
              m_strand, [this](HttpRequest&&, const std::shared_ptr<HttpAnswer>& answer) { answer->reply(readyStatus(), {}, ""); },
              [this](const HttpRequest&) {
                  return HttpServer::HeadDecision { HttpReply { readyStatus(), {}, "" } };
              })
        , m_peers(m_hub, settings.sidecarPort)
        , m_calls(m_strand, runtime.refusals(), [this](const forward::Event& event) { post(event); })
        , m_pages(settings, runtime, { [this] { return isReady(); }, [this] { return m_hub.peers(); } })
        , m_documents(
              runtime.timers(), [this](document::Effect& effect) { executeDocumentEffect(effect); }, document::Tick {}, randomIdentity())
        , m_driver(
              runtime.timers(), [this](forward::Effect& effect) { collect(std::move(effect)); }, forward::Tick {},
              ForwardLogic::Settings { settings.zone, randomIdentity(), settings.retries, settings.name, settings.quotas,
                  settings.announcements, MemoryShares(settings.memory).bufferedAnswers() })
    {
        m_callers.setLimits(callerLimits(CallerLimits()));
        m_ready.setLimits(readyCheckLimits());
    }

    Result<nlohmann::json> start()
    {
        auto admin = m_adminServer.start(m_settings.admin, [this](const AdminRequest& request) { return answerAdmin(request); });
        if (!admin)
            return admin.error();
        m_pages.setAdminAddress(admin.value());
        m_hub.setAdminAddress(admin.value());
        auto callers = m_callers.listen(m_settings.callers.listen);
        if (!callers)
            return callers.error();
        auto ready = m_ready.listen(m_settings.callers.ready);
        if (!ready)
            return ready.error();
        for (const auto& controller : m_settings.controllers)
            m_hub.dial(controller);
        return nlohmann::json { { "admin", admin.value() }, { "callers", callers.value() }, { "ready-check", ready.value() } };
    }

    void drain()
    {
        boost::asio::post(m_strand, [this] {
            m_isDraining = true;
            m_callers.announceClose();
            post(forward::Stop { currentInstant() + m_settings.drainTimeout });
            m_runtime.waitUntil([] { return false; }, drainAcceptPeriod,
                [this](bool) {
                    boost::asio::post(m_strand, [this] { m_callers.closeIdle(); });
                    m_runtime.waitUntil([this] { return !m_callers.connections(); }, m_settings.drainTimeout - drainAcceptPeriod,
                        [this](bool isDrained) {
                            m_runtime.log().write({ EventCode::ProcessStopped, {},
                                isDrained ? "all requests answered" : "drain limit reached with requests unanswered" });
                            m_runtime.finish(0);
                        });
                });
        });
    }

    void reload(const Settings& settings)
    {
        for (const auto& controller : settings.controllers)
            m_hub.dial(controller);
    }

private:
    // --- Events -------------------------------------------------------------------------------------------------

    void post(const forward::Event& event) { m_driver.post(event); }

    void onRequest(HttpRequest&& request, std::shared_ptr<HttpAnswer> answer)
    {
        auto parsed = Dialect::readCaller(request);
        RequestId id { m_runtime.self(), ++m_lastSequence };
        answer->onGone = [this, id] { post(forward::CallerDisconnected { id }); };
        parsed.metadata.readFor = request.readFor;
        parsed.metadata.fingerprint = fingerprintOf({ request.method, request.host, request.target, request.body });
        m_exchanges.add(id, { std::make_shared<const HttpRequest>(std::move(request)), std::move(parsed.id), std::move(answer) });
        post(forward::Submit { id, std::move(parsed.metadata) });
    }

    bool isReady() const
    {
        return !m_isDraining && m_driver.inspect([](const ForwardLogic& logic) { return logic.isServing(currentInstant()); });
    }

    [[nodiscard]] int readyStatus() const { return isReady() ? 200 : 503; }

    /// The refusal of a request that needs no body for it.
    [[nodiscard]] std::optional<HttpReply> refusalAtHead(const HttpRequest& head) const
    {
        auto parsed = Dialect::readCaller(head);
        auto error
            = m_driver.inspect([&parsed](const ForwardLogic& logic) { return logic.refusalAtHead(parsed.metadata, currentInstant()); });
        if (!error)
            return std::nullopt;
        return errorReply(*error, parsed.id);
    }

    static HttpReply errorReply(const Error& error, const std::string& callerId)
    {
        return { httpStatusOf(error.code), Dialect::errorHeaders(error, callerId), Dialect::errorBody(error) };
    }

    void onMessage(PeerId peer, Message&& message)
    {
        if (const auto* roster = std::get_if<ControllerRoster>(&message)) {
            for (const auto& address : roster->addresses)
                m_hub.dial(address);
        } else if (std::holds_alternative<DocumentOffer>(message) || std::holds_alternative<DocumentPart>(message)) {
            m_documents.post(document::PeerMessage { peer, std::move(message) });
        } else if (auto event = forwardEventOf(peer, std::move(message))) {
            post(*event);
        }
    }

    void executeDocumentEffect(document::Effect& effect)
    {
        if (auto* request = std::get_if<document::SendRequest>(&effect))
            m_hub.send(request->to, request->request);
        else if (auto* install = std::get_if<document::Install>(&effect))
            onDocument(*install);
        else if (auto* confirm = std::get_if<document::Confirm>(&effect))
            post(forward::DocumentConfirmed { confirm->version });
        else if (auto* event = std::get_if<LogEvent>(&effect))
            m_runtime.log().write(*event);
    }

    void onDocument(const document::Install& install)
    {
        auto document = m_reader.read(*install.text);
        if (!document) {
            // Controllers accept only documents that this decoder accepts, so the controller must run another release.
            m_runtime.log().write({ EventCode::DocumentRefused, {}, document.error().message });
            return;
        }
        post(forward::DocumentReceived { std::move(document.value()), install.isCurrent });
    }

    // --- Effects ------------------------------------------------------------------------------------------------

    /// Called under the driver's lock, for the effects of events and of timers.
    void collect(forward::Effect effect)
    {
        m_effects.push_back(std::move(effect));
        if (m_effects.size() == 1)
            boost::asio::post(m_strand, [this] { executeEffects(); });
    }

    void executeEffects()
    {
        std::vector<forward::Effect> effects;
        m_driver.inspect([this, &effects](const ForwardLogic&) { effects = std::exchange(m_effects, {}); });
        for (auto& effect : effects)
            std::visit([this](auto& e) { execute(e); }, effect);
    }

    void execute(forward::Send& send)
    {
        if (auto* exchange = m_exchanges.find(send.id))
            exchange->call = m_calls.start(send, exchange->request, exchange->callerId);
    }

    void execute(forward::ReserveAtReplica& reserve)
    {
        if (auto* exchange = m_exchanges.find(reserve.id))
            exchange->call = m_calls.start(reserve, exchange->callerId);
    }

    void execute(forward::ReserveAtSidecar& reserve)
    {
        if (auto* exchange = m_exchanges.find(reserve.id))
            m_peers.reserve(reserve, exchange->callerId);
    }

    /// What callers see.
    template <typename E>
    requires requires(ForwardExchanges<Dialect>& exchanges, E& effect) { exchanges.execute(effect); }
    void execute(E& effect) { m_exchanges.execute(effect); }

    /// Messages to other processes of this project.
    template <typename E>
    requires requires(ForwardPeers& peers, E& effect) { peers.execute(effect); }
    void execute(E& effect) { m_peers.execute(effect); }

    void execute(forward::ReleaseReservation& release) { m_calls.release(release.reservation); }

    void execute(forward::ReleaseKvCache& release) { m_calls.release(release.source); }

    void execute(forward::Finished& finished)
    {
        m_exchanges.remove(finished.id);
        m_metrics.record(finished);
    }

    void execute(forward::DropConnections& drop) { m_calls.forget(drop.replica); }

    void execute(forward::SetLimits& set) { m_callers.setLimits(callerLimits(set.limits)); }

    void execute(LogEvent& event)
    {
        if (auto* exchange = m_exchanges.find(event.request))
            event.text += " (" + exchange->callerId.substr(0, longestLoggedId) + ")";
        m_runtime.log().write(event);
    }

    /// \param limits of the routing document.
    [[nodiscard]] HttpServer::Limits callerLimits(const CallerLimits& limits) const
    {
        auto out = limitsFor(MemoryShares(m_settings.memory));
        out.headerBytes = limits.headerBytes;
        out.bodyBytes = limits.bodyBytes;
        out.headerTime = limits.headerTime;
        out.idleTime = limits.idleTime;
        out.connections = connectionsWithinDescriptors(m_settings.callers.connectionLimit);
        return out;
    }

    [[nodiscard]] static HttpServer::Limits readyCheckLimits()
    {
        HttpServer::Limits limits;
        limits.connections = readyCheckConnections;
        limits.unreadBytes = readyCheckConnections * readyCheckBytes;
        return limits;
    }

    // --- Admin pages --------------------------------------------------------------------------------------------

    AdminReply answerAdmin(const AdminRequest& request)
    {
        if (auto common = m_pages.answer(request))
            return *common;
        if (request.path == "/status")
            return AdminPages::json(status());
        if (request.path == "/upstreams")
            return AdminPages::json(m_driver.modify([](ForwardLogic& logic) { return upstreamsPage(logic, currentInstant()); }));
        if (request.path == "/accounts")
            return AdminPages::json(m_driver.modify([](ForwardLogic& logic) { return accountsPage(logic.quotas(), currentInstant()); }));
        if (request.path != "/metrics")
            return AdminPages::notFound(request.path);
        m_metrics.setGauge("wrenhinge_log_lines_left_out", static_cast<double>(m_runtime.log().droppedLines()));
        m_driver.modify([this](ForwardLogic& logic) { setGauges(m_metrics, logic); });
        setGauges(m_metrics, m_callers.counters());
        auto quotaMetrics = m_driver.modify([](ForwardLogic& logic) { return accountMetrics(logic.quotas()); });
        return { 200, "text/plain; version=0.0.4", m_metrics.text() + quotaMetrics + m_runtime.refusals().metrics() };
    }

    nlohmann::json status()
    {
        auto json = m_pages.identity();
        json["draining"] = m_isDraining.load();
        m_driver.modify([&json](ForwardLogic& logic) { json.update(forwardStatus(logic, currentInstant())); });
        return json;
    }

    Settings m_settings;
    Runtime& m_runtime;
    Strand m_strand;
    PeerHub m_hub;
    HttpServer m_callers;
    HttpServer m_ready;
    ForwardPeers m_peers;
    ForwardCalls<Dialect> m_calls;
    AdminPages m_pages;
    ForwardMetrics m_metrics;
    std::vector<forward::Effect> m_effects; ///< Guarded by the driver's lock.
    typename Dialect::DocumentReader m_reader; ///< Guarded by the lock of m_documents.
    LogicDriver<DocumentFollower, document::Event, document::Effect> m_documents; ///< Its lock is acquired before m_driver's.
    LogicDriver<ForwardLogic, forward::Event, forward::Effect> m_driver;
    ForwardExchanges<Dialect> m_exchanges;
    std::uint64_t m_lastSequence = 0;
    std::atomic<bool> m_isDraining = false;
    AdminServer m_adminServer; ///< Declared last, so destroyed first: its threads access the members above.
};

} // namespace wrenhinge
