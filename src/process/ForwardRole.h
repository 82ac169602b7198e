/** \file
 * The gateway that calls upstreams itself, as a process: ForwardLogic between callers' connections, kept connections to
 * replicas, and links to controllers.
 *
 * Everything about requests runs on one strand. Effects are carried out after the logic's step has returned, never from
 * within it: a connection that fails at once would otherwise enter the logic again.
 */
#pragma once

#include "connection/Endpoint.h"
#include "connection/HttpServer.h"
#include "connection/HttpText.h"
#include "connection/PeerHub.h"
#include "connection/UpstreamPool.h"
#include "process/AccountPages.h"
#include "process/AdminPages.h"
#include "process/ForwardMetrics.h"
#include "process/LogicDriver.h"
#include "process/Runtime.h"
#include "request/fleet/RequestFingerprint.h"
#include "request/forward/ForwardLogic.h"
#include "version/DocumentFollower.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <unordered_map>

namespace wrenhinge {

/// A caller's request, decoded.
struct CallerWords {
    std::string id; ///< The caller's own name for it, which the replica's answer repeats.
    forward::RequestMetadata ask;
};

/// The words in which a platform's callers and replicas speak.
template <typename D>
concept ForwardDialect
    = requires(const HttpRequest& request, const UpstreamHead& head, const forward::Send& send, const Error& error, const std::string& text)
{
    {
        D::readCaller(request)
        } -> std::same_as<CallerWords>;
    {
        D::upstreamRequest(request, send)
        } -> std::same_as<UpstreamRequest>;
    {
        D::readAnswer(head, text)
        } -> std::same_as<forward::AnswerMetadata>;
    {
        D::whose(head, text)
        } -> std::same_as<AnswerOwner>;
    {
        D::readPrefill(text)
        } -> std::same_as<std::optional<std::string>>;
    {
        D::readPlace(text)
        } -> std::same_as<std::optional<std::string>>;
    {
        D::takePlace(forward::ReserveAtReplica {})
        } -> std::same_as<UpstreamRequest>;
    {
        D::dropPlace(forward::Reservation {})
        } -> std::same_as<UpstreamRequest>;
    {
        D::freePrompt(*send.source)
        } -> std::same_as<UpstreamRequest>;
    {
        D::errorHeaders(error, text)
        } -> std::same_as<HeaderList>;
    {
        D::errorBody(error)
        } -> std::same_as<std::string>;
    {
        typename D::DocumentReader().read(text)
        } -> std::same_as<Result<RoutingDocument>>;
};

template <ForwardDialect Dialect> class ForwardRole {
public:
    /// After SIGTERM a balancer takes up to two failed checks, a second apart, to send callers elsewhere.
    static constexpr Duration acceptWhileDraining = 2600ms;

    ForwardRole(const Settings& settings, Runtime& runtime)
        : m_settings(settings)
        , m_runtime(runtime)
        , m_strand(boost::asio::make_strand(runtime.io()))
        , m_hub(runtime.io(), Hello { runtime.self(), Role::Gateway, settings.name, settings.site, settings.zone, "", {} },
              { [this](const Hello& peer) {
                   m_runtime.log().write({ EventCode::PeerUp, {}, peer.name });
                   if (peer.role == Role::Controller)
                       post(forward::ControllerConnected { peer.id });
               },
                  [this](PeerId peer) {
                      m_runtime.log().write({ EventCode::PeerDown, {}, toString(peer) });
                      post(forward::PeerDisconnected { peer });
                      m_documents.post(document::PeerDown { peer });
                  },
                  [this](PeerId peer, Message&& message) { onMessage(peer, std::move(message)); },
                  [this] { return m_runtime.log().stampSend(); }, [this](HybridTime stamp) { m_runtime.log().stampReceive(stamp); },
                  runtime.refusals().ofLinks() })
        , m_callers(m_strand,
              [this](HttpRequest&& request, std::shared_ptr<HttpAnswer> answer) { onRequest(std::move(request), std::move(answer)); })
        , m_ready(m_strand, [this](HttpRequest&&, const std::shared_ptr<HttpAnswer>& answer) { onReadyCheck(*answer); })
        , m_pool(m_strand)
        , m_pages(settings, runtime, { [this] { return isReady(); }, [this] { return m_hub.peers(); } })
        , m_documents(
              runtime.timers(), [this](document::Effect& effect) { carryDocument(effect); }, document::Tick {}, randomIdentity())
        , m_driver(
              runtime.timers(), [this](forward::Effect& effect) { m_effects.push_back(std::move(effect)); }, forward::Tick {},
              ForwardLogic::Settings { settings.zone, randomIdentity(), settings.retries, settings.name, settings.quotas })
    {
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
            post(forward::Stop { currentInstant() + m_settings.drainLimit });
            m_runtime.waitUntil([] { return false; }, acceptWhileDraining,
                [this](bool) {
                    boost::asio::post(m_strand, [this] { m_callers.closeIdle(); });
                    m_runtime.waitUntil([this] { return !m_callers.connections(); }, m_settings.drainLimit - acceptWhileDraining,
                        [this](bool isDone) {
                            m_runtime.log().write({ EventCode::ProcessStopped, {}, isDone ? "all answered" : "with requests unanswered" });
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
    /// A request in progress: its bytes, its caller, and the call that serves it.
    struct Exchange {
        HttpRequest request;
        std::string callerId;
        std::shared_ptr<HttpAnswer> answer;
        UpstreamPool::Call call;
    };

    // --- Events in ---------------------------------------------------------------------------------------------

    void post(const forward::Event& event)
    {
        m_driver.post(event);
        boost::asio::post(m_strand, [this] { carryAll(); });
    }

    void onRequest(HttpRequest&& request, std::shared_ptr<HttpAnswer> answer)
    {
        auto words = Dialect::readCaller(request);
        RequestId id { m_runtime.self(), ++m_lastSequence };
        answer->onGone = [this, id] { post(forward::CallerDisconnected { id }); };
        words.ask.readFor = request.readFor;
        words.ask.fingerprint = fingerprintOf({ request.method, request.host, request.target, request.body });
        m_exchanges[id] = { std::move(request), std::move(words.id), std::move(answer), {} };
        post(forward::Submit { id, std::move(words.ask) });
    }

    bool isReady() const
    {
        return !m_isDraining && m_driver.inspect([](const ForwardLogic& logic) { return logic.isServing(currentInstant()); });
    }

    void onReadyCheck(HttpAnswer& answer) { answer.reply(isReady() ? 200 : 503, {}, ""); }

    void onMessage(PeerId peer, Message&& message)
    {
        if (const auto* roster = std::get_if<ControllerRoster>(&message)) {
            for (const auto& address : roster->addresses)
                m_hub.dial(address);
        } else if (const auto* announced = std::get_if<RelayedAnnouncement>(&message)) {
            post(*announced);
        } else if (const auto* withdrawn = std::get_if<ReplicaWithdrawn>(&message)) {
            post(*withdrawn);
        } else if (const auto* headroom = std::get_if<EngineHeadroom>(&message)) {
            post(forward::EngineHeadroomReported { headroom->address, { peer, headroom->tokens, headroom->prefillBacklog } });
        } else if (const auto* reply = std::get_if<ReservationReply>(&message)) {
            post(forward::SidecarReservationReply { reply->request, reply->attempt, reply->isGranted, reply->headroom });
        } else if (auto* heartbeat = std::get_if<RegistryHeartbeat>(&message)) {
            post(forward::RegistryHeartbeatReceived { peer, std::move(*heartbeat) });
        } else if (auto* list = std::get_if<RegistryList>(&message)) {
            post(forward::RegistryListReceived { peer, std::move(*list) });
        } else if (const auto* change = std::get_if<StageChange>(&message)) {
            post(*change);
        } else if (auto* crashes = std::get_if<CrashReport>(&message)) {
            post(forward::CrashesReported { std::move(*crashes) });
        } else if (auto* totals = std::get_if<QuotaTotals>(&message)) {
            post(forward::QuotaTotalsReceived { peer, std::move(*totals) });
        } else if (std::holds_alternative<DocumentOffer>(message) || std::holds_alternative<DocumentPart>(message)) {
            m_documents.post(document::PeerMessage { peer, std::move(message) });
        }
    }

    void carryDocument(document::Effect& effect)
    {
        if (auto* ask = std::get_if<document::SendRequest>(&effect))
            m_hub.send(ask->to, ask->request);
        else if (auto* take = std::get_if<document::Install>(&effect))
            onDocument(*take);
        else if (auto* confirm = std::get_if<document::Confirm>(&effect))
            post(forward::DocumentConfirmed { confirm->version });
        else if (auto* note = std::get_if<LogEvent>(&effect))
            m_runtime.log().write(*note);
    }

    void onDocument(const document::Install& take)
    {
        auto document = m_reader.read(*take.text);
        if (!document) {
            // Controllers accept only what this very decoder accepts, so theirs must be of another release.
            m_runtime.log().write({ EventCode::DocumentRefused, {}, document.error().message });
            return;
        }
        post(forward::DocumentReceived { std::move(document.value()), take.isCurrent });
    }

    // --- Effects out -------------------------------------------------------------------------------------------

    void carryAll()
    {
        std::vector<forward::Effect> effects;
        m_driver.inspect([this, &effects](const ForwardLogic&) { effects = std::exchange(m_effects, {}); });
        for (auto& effect : effects)
            std::visit([this](auto& e) { carry(e); }, effect);
    }

    Exchange* find(const RequestId& id)
    {
        auto it = m_exchanges.find(id);
        return it == m_exchanges.end() ? nullptr : &it->second;
    }

    void carry(forward::Send& send)
    {
        auto* exchange = find(send.id);
        if (!exchange)
            return;
        auto handlers = send.isPrefill ? prefillHandlers(send, exchange->callerId) : runHandlers(send, exchange->callerId);
        handlers.whose = [caller = exchange->callerId](const UpstreamHead& head) { return Dialect::whose(head, caller); };
        handlers.onFailure = [this, id = send.id, attempt = send.attempt](bool mayHaveRun, const std::string& why) {
            post(forward::CallFailed { id, attempt, mayHaveRun, why });
        };
        exchange->call = m_pool.call(send.replica, send.address, Dialect::upstreamRequest(exchange->request, send), std::move(handlers));
    }

    UpstreamCallHandlers runHandlers(const forward::Send& send, const std::string& caller)
    {
        UpstreamCallHandlers handlers;
        auto id = send.id;
        auto attempt = send.attempt;
        handlers.onHead = [this, id, attempt, caller](const UpstreamHead& head) {
            auto headers = head.headers;
            removeConnectionHeaders(headers);
            post(forward::AnswerHead { id, attempt, Dialect::readAnswer(head, caller), std::move(headers) });
        };
        handlers.onBody = [this, id, attempt](std::string bytes) { post(forward::AnswerBody { id, attempt, std::move(bytes) }); };
        handlers.onEnd = [this, id, attempt] { post(forward::AnswerEnd { id, attempt }); };
        return handlers;
    }

    /// Whether the replica did what a call of our own asked, and whether it states that it did nothing.
    struct OwnAnswer {
        bool isSuccess = false;
        bool wasNotRun = false;
        bool isMisdirected = false;
    };

    static OwnAnswer readOwnAnswer(const GatheredAnswer& answer, const std::string& caller)
    {
        auto facts = Dialect::readAnswer(answer.head, caller);
        return { answer.head.status == 200 && !facts.wasNotRun && !facts.isStream, facts.wasNotRun, facts.isMisdirected };
    }

    UpstreamCallHandlers prefillHandlers(const forward::Send& send, const std::string& caller)
    {
        auto onEnd = [this, caller, id = send.id, attempt = send.attempt, replica = send.replica](const GatheredAnswer& answer) {
            auto own = readOwnAnswer(answer, caller);
            auto handle = own.isSuccess ? Dialect::readPrefill(answer.body) : std::nullopt;
            if (own.isSuccess && !handle)
                m_runtime.refusals().note(Door::Report, replica.id, "its answer to a prompt names no usable handle");
            if (handle)
                post(forward::PrefillFinished { id, attempt, std::move(*handle) });
            else
                post(forward::PrefillFailed { id, attempt, own.wasNotRun, own.isMisdirected });
        };
        return gather(onEnd, {});
    }

    void carry(forward::ReserveAtReplica& take)
    {
        auto* exchange = find(take.id);
        if (!exchange)
            return;
        auto id = take.id;
        auto attempt = take.attempt;
        auto onEnd = [this, caller = exchange->callerId, id, attempt, replica = take.replica](const GatheredAnswer& answer) {
            bool isTaken = readOwnAnswer(answer, caller).isSuccess;
            auto reservation = isTaken ? Dialect::readPlace(answer.body) : std::nullopt;
            if (isTaken && !reservation)
                m_runtime.refusals().note(Door::Report, replica.id, "its answer names no usable place");
            if (reservation)
                post(forward::ReservationGranted { id, attempt, std::move(*reservation) });
            else
                post(forward::ReservationRefused { id, attempt, true });
        };
        auto onFailure = [this, id, attempt](bool, const std::string&) { post(forward::ReservationRefused { id, attempt, false }); };
        exchange->call = m_pool.call(take.replica, take.address, Dialect::takePlace(take), gather(onEnd, onFailure));
    }

    void carry(forward::ReserveAtSidecar& reserve)
    {
        auto* exchange = find(reserve.id);
        if (!exchange)
            return;
        m_hub.send(reserve.sidecar,
            ReservationRequest { reserve.id, reserve.attempt, exchange->callerId, reserve.promptTokens, reserve.expectedTokens,
                reserve.maxOutputTokens, reserve.slots });
    }

    void carry(forward::NotifyPrefill& note) { m_hub.send(note.sidecar, PrefillNotice { note.id, note.promptTokens, note.hasEnded }); }

    void carry(forward::EndSidecarReservation& end) { m_hub.send(end.sidecar, ReservationEnd { end.id, end.isComplete, end.hasFailed }); }

    void carry(forward::ReleaseReservation& drop)
    {
        tell(drop.reservation.replica, drop.reservation.address, Dialect::dropPlace(drop.reservation));
    }

    void carry(forward::ReleaseKvCache& free) { tell(free.source.replica, free.source.address, Dialect::freePrompt(free.source)); }

    /// A call that gives something back. What can't be given back lapses by itself within its hold, so nobody hears of a failure.
    void tell(const ReplicaRun& replica, const std::string& address, UpstreamRequest request)
    {
        m_pool.call(replica, address, std::move(request), gather([](const GatheredAnswer&) {}, [](bool, const std::string&) {}));
    }

    void carry(forward::CancelCall& cancel)
    {
        if (auto* exchange = find(cancel.id))
            UpstreamPool::cancel(exchange->call);
    }

    void carry(forward::Reply& reply)
    {
        if (auto answer = take(reply.id))
            answer->reply(reply.status, reply.headers, std::move(reply.body));
    }

    void carry(forward::Refuse& refuse)
    {
        auto* exchange = find(refuse.id);
        if (!exchange)
            return;
        auto headers = Dialect::errorHeaders(refuse.error, exchange->callerId);
        take(refuse.id)->reply(httpStatusOf(refuse.error.code), headers, Dialect::errorBody(refuse.error));
    }

    void carry(forward::BeginStream& begin)
    {
        if (auto* exchange = find(begin.id))
            exchange->answer->begin(begin.status, begin.headers);
    }

    void carry(forward::StreamBytes& bytes)
    {
        if (auto* exchange = find(bytes.id))
            exchange->answer->write(std::move(bytes.bytes));
    }

    void carry(forward::EndStream& end)
    {
        if (auto answer = take(end.id))
            answer->end();
    }

    void carry(forward::AbortStream& end)
    {
        if (auto answer = take(end.id))
            answer->breakOff();
    }

    void carry(forward::Finished& finished) { m_metrics.record(finished); }

    void carry(forward::DropConnections& forget) { m_pool.forget(forget.replica); }

    /// The sidecar of an engine listens on its machine.
    void carry(forward::ConnectSidecar& link)
    {
        if (m_settings.sidecarPort)
            m_hub.dial(withPort(link.engineAddress, m_settings.sidecarPort));
    }

    void carry(forward::DisconnectSidecar& leave)
    {
        if (m_settings.sidecarPort)
            m_hub.leave(withPort(leave.engineAddress, m_settings.sidecarPort));
    }

    void carry(forward::FetchRegistry& ask) { m_hub.send(ask.controller, ask.request); }

    void carry(forward::ReportLoad& load) { tellControllers(load.report); }

    void carry(forward::ReportCrashes& tell)
    {
        if (tell.controller)
            m_hub.send(*tell.controller, tell.report);
        else
            tellControllers(tell.report);
    }

    void carry(forward::ReportQuotaUsage& use)
    {
        const auto& report = use.report;
        tellControllers([&report](PeerId to) {
            return QuotaReport { report.uses, report.totalsSource == to, report.asksForAll, report.knownGateways };
        });
    }

    void tellControllers(const Message& message)
    {
        tellControllers([&message](PeerId) -> const Message& { return message; });
    }

    /// \param messageFor makes the message to one of them.
    template <std::invocable<PeerId> F> void tellControllers(F messageFor)
    {
        for (const auto& peer : m_hub.peers()) {
            if (peer.role == Role::Controller)
                m_hub.send(peer.id, messageFor(peer.id));
        }
    }

    void carry(forward::SetLimits& set)
    {
        HttpServer::Limits limits;
        limits.headerBytes = set.limits.headerBytes;
        limits.bodyBytes = set.limits.bodyBytes;
        limits.headerTime = set.limits.headerTime;
        limits.idleTime = set.limits.idleTime;
        limits.connections = m_settings.callers.connectionLimit;
        m_callers.setLimits(limits);
    }

    void carry(LogEvent& note)
    {
        if (auto* exchange = find(note.request))
            note.text += " (" + exchange->callerId + ")";
        m_runtime.log().write(note);
    }

    // --- Operators ---------------------------------------------------------------------------------------------

    AdminReply answerAdmin(const AdminRequest& request)
    {
        if (auto common = m_pages.answer(request))
            return *common;
        if (request.path == "/status")
            return AdminPages::json(status());
        if (request.path == "/upstreams")
            return AdminPages::json(upstreams());
        if (request.path == "/accounts")
            return AdminPages::json(m_driver.modify([](ForwardLogic& logic) { return accountsPage(logic.quotas(), currentInstant()); }));
        if (request.path != "/metrics")
            return AdminPages::notFound(request.path);
        m_driver.inspect([this](const ForwardLogic& logic) {
            m_metrics.setGauge("wrenhinge_in_progress", static_cast<double>(logic.requests()));
            m_metrics.setGauge("wrenhinge_log_lines_left_out", static_cast<double>(m_runtime.log().linesLeftOut()));
            m_metrics.setGauge("wrenhinge_engines_used", static_cast<double>(logic.replicas().subset().ids().size()));
            m_metrics.setGauge("wrenhinge_document_version", static_cast<double>(logic.documentVersion()));
            m_metrics.setGauge("wrenhinge_keys_refused_total", static_cast<double>(logic.refusedKeys()));
        });
        auto ofAccounts = m_driver.modify([](ForwardLogic& logic) { return accountMetrics(logic.quotas()); });
        return { 200, "text/plain; version=0.0.4", m_metrics.text() + ofAccounts + m_runtime.refusals().metrics() };
    }

    nlohmann::json status()
    {
        auto json = m_pages.identity();
        json["draining"] = m_isDraining.load();
        m_driver.modify([&json](ForwardLogic& logic) {
            auto now = currentInstant();
            json["in_progress"] = logic.requests();
            json["serving"] = logic.isServing(now);
            json["document_version"] = logic.documentVersion();
            json["engines_used"] = logic.replicas().subset().ids().size();
            json["retry_budget_left"] = logic.retryBudget(now);
        });
        return json;
    }

    /// The replicas as this gateway knows them, in the form that `wrenhinge upstream list` reads.
    nlohmann::json upstreams() const
    {
        return m_driver.inspect([](const ForwardLogic& logic) {
            auto now = currentInstant();
            auto list = nlohmann::json::array();
            for (const auto& [id, entry] : logic.replicas().registry().entries()) {
                const auto& announcement = entry.announcement;
                auto found = logic.replicas().loads().find(announcement.run());
                auto load = found == logic.replicas().loads().end() ? ReplicaTable::Load() : found->second;
                bool isAvoided = load.backoffUntil > now;
                auto state = announcement.state == ReplicaState::Draining ? "draining" : isAvoided ? "ejected" : "in-use";
                list.push_back({ { "id", id }, { "service", announcement.service }, { "replica", id },
                    { "started_unix_ms", announcement.start.value() }, { "zone", announcement.zone }, { "kind", nameOf(announcement.kind) },
                    { "state", state }, { "heard_ms", (now - entry.lastHeardAt) / 1ms }, { "failing", load.failureRate },
                    { "mean_seconds", load.meanSeconds },
                    { "load",
                        { { "slots", announcement.slots }, { "occupied", load.calls }, { "queued", 0 }, { "tokens", load.tokens } } } });
            }
            return list;
        });
    }

    /// Ends an exchange. \returns where its answer goes.
    std::shared_ptr<HttpAnswer> take(const RequestId& id)
    {
        auto it = m_exchanges.find(id);
        if (it == m_exchanges.end())
            return nullptr;
        auto answer = std::move(it->second.answer);
        m_exchanges.erase(it);
        return answer;
    }

    Settings m_settings;
    Runtime& m_runtime;
    Strand m_strand;
    PeerHub m_hub;
    HttpServer m_callers;
    HttpServer m_ready;
    UpstreamPool m_pool;
    AdminPages m_pages;
    ForwardMetrics m_metrics;
    std::vector<forward::Effect> m_effects; ///< Guarded by the driver's lock.
    typename Dialect::DocumentReader m_reader; ///< Only under the lock of m_documents.
    LogicDriver<DocumentFollower, document::Event, document::Effect> m_documents; ///< Its lock is taken before m_driver's.
    LogicDriver<ForwardLogic, forward::Event, forward::Effect> m_driver;
    std::unordered_map<RequestId, Exchange> m_exchanges; ///< Only on the strand.
    std::uint64_t m_lastSequence = 0;
    std::atomic<bool> m_isDraining = false;
    AdminServer m_adminServer; ///< Last: its threads look at everything above.
};

} // namespace wrenhinge
