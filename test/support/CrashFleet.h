/** \file
 * Gateways, controllers, engines, and callers whose prompts share parts, on virtual time. Some requests have a part that crashes each
 * engine which begins to answer them. Processes restart, links are cut, and engines crash or reset connections for other reasons, at
 * random moments from a seed.
 */
#pragma once

#include "Agenda.h"
#include "request/fleet/CrashExchange.h"
#include "request/forward/ForwardLogic.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace wrenhinge::test {

class CrashFleet {
public:
    struct Settings {
        std::uint64_t seed = 1;
        std::size_t gateways = 4;
        std::size_t controllers = 2;
        std::size_t decodeEngines = 6;
        std::size_t prefillEngines = 3;
        Duration calmBefore = 3s; ///< Before the first request with a crashing part.
        Duration playFor = 14s; ///< From then on.
        double soundPerSecond = 12;
        double crashingPerSecond = 3;
        std::size_t crashingParts = 1;
        bool isCrashingPartFirst = false; ///< Else it follows the part that all prompts begin with.
        std::size_t documents = 20; ///< Parts in the middle of sound prompts, each of which has one of them.
        // Failures per second, of any one of them.
        double gatewayRestarts = 0;
        double controllerRestarts = 0;
        double cuts = 0; ///< Of a gateway from all controllers.
        double racks = 0; ///< Engines that lose power at once, a third of them.
        double resets = 0; ///< All connections of an engine are reset.
    };

    struct Outcome {
        int crashes = 0; ///< Of engines, under requests with a crashing part.
        int laterArrivals = 0; ///< Requests with a crashing part that reached an engine too late, for the part with the most of them.
        int sound = 0; ///< Sound requests, once the fleet should have agreed.
        int served = 0; ///< Of these, those that began.
        int soundBefore = 0; ///< The same before the first crash.
        int servedBefore = 0;
        int soundRefused = 0; ///< Sound requests that were refused as crashing, at any time.
        int soundInAll = 0;
    };

    /// Processes that are in touch refuse requests with a part this long after its fifth crash.
    static constexpr auto agreementTime = 3s;
    static constexpr int crashesUntilAgreement = 5;

    explicit CrashFleet(const Settings& settings)
        : m_settings(settings)
        , m_agenda(settings.seed)
        , m_controllers(settings.controllers)
        , m_gateways(settings.gateways)
        , m_parts(settings.crashingParts)
    {
        for (auto& controller : m_controllers)
            controller.id = newPeer();
        for (std::size_t e = 0; e < settings.decodeEngines + settings.prefillEngines; ++e)
            m_engines.push_back({ newEngineId(), e < settings.decodeEngines ? UpstreamKind::Decode : UpstreamKind::Prefill });
        for (std::size_t g = 0; g < m_gateways.size(); ++g)
            startGateway(g);
    }

    Outcome play()
    {
        auto firstCrashing = m_agenda.now + m_settings.calmBefore;
        m_end = firstCrashing + m_settings.playFor;
        m_calmUntil = firstCrashing;
        m_agenda.repeat(m_settings.soundPerSecond, m_end, [this] { submitSound(); });
        m_agenda.after(m_settings.calmBefore, [this] {
            m_agenda.repeat(m_settings.crashingPerSecond, m_end, [this] { submitCrashing(); });
            m_agenda.repeat(m_settings.gatewayRestarts, m_end, [this] { restartGateway(m_agenda.pick(m_gateways.size())); });
            m_agenda.repeat(m_settings.controllerRestarts, m_end, [this] { restartController(m_agenda.pick(m_controllers.size())); });
            m_agenda.repeat(m_settings.cuts, m_end, [this] { cut(m_agenda.pick(m_gateways.size())); });
            m_agenda.repeat(m_settings.racks, m_end, [this] { crashRack(); });
            m_agenda.repeat(m_settings.resets, m_end, [this] { endCallsAt(m_agenda.pick(m_engines.size())); });
        });
        announceAll();
        m_agenda.runUntil(m_end + callerTimeout);
        for (const auto& part : m_parts) {
            m_outcome.crashes += part.crashes;
            m_outcome.laterArrivals = std::max(m_outcome.laterArrivals, static_cast<int>(part.later.size()));
        }
        return m_outcome;
    }

private:
    static constexpr auto callerTimeout = 14s;
    static constexpr auto announcementInterval = 1s;
    static constexpr auto engineAbsence = 3s;
    static constexpr auto eventPause = 50ms;
    static constexpr int eventsOfStream = 60;
    static constexpr std::uint64_t sharedPart = 1;
    static constexpr std::uint64_t firstCrashingPart = 100;
    static constexpr std::uint64_t firstDocument = 1000;
    static constexpr std::uint64_t firstRequest = 1ULL << 40;

    struct Controller {
        PeerId id;
        CrashExchange exchange;
    };
    struct Engine {
        std::string id;
        UpstreamKind kind = UpstreamKind::Decode;
        bool isUp = true;
        std::uint64_t sequence = 0;
    };
    struct Call {
        std::size_t engine = 0;
        bool isRun = false;
    };
    struct Request {
        std::optional<std::size_t> crashingPart;
        bool isCounted = false; ///< Sound, and sent when the fleet should have agreed.
        bool isBefore = false; ///< Sound, and sent before the first crash.
    };
    struct Gateway {
        PeerId id;
        std::unique_ptr<ForwardLogic> logic;
        std::uint64_t requests = 0;
        std::map<RequestId, Request> open;
        std::map<std::pair<RequestId, Attempt>, Call> calls;
        bool isCut = false;
        Instant disturbedAt;
    };
    struct Part {
        int crashes = 0;
        Instant fifthCrashAt = Instant::max();
        Instant lastAt;
        std::set<RequestId> later;
    };

    PeerId newPeer() { return PeerId(++m_lastPeer * 0x9e3779b97f4a7c15ULL); }
    std::string newEngineId() { return "i-" + std::to_string(++m_lastEngine); }

    // --- Processes ------------------------------------------------------------------------------------------------

    static RoutingDocument document()
    {
        Route route;
        route.name = "r";
        route.host = "desk.example";
        route.prefix = "/s/";
        route.repeatability = Repeatability::AtMostOnce;
        route.isStream = true;
        route.hasPrompt = true;
        route.timeout = callerTimeout;
        route.target = 900ms;
        route.maxAttempts = 1;
        route.targets = { { "engine", 1 } };
        ServiceRule rule;
        rule.name = "engine";
        rule.isEngine = true;
        rule.engine = { 64, 60000, 2s, 500ms };
        RoutingDocument document;
        document.version = 1;
        document.routes = { route };
        document.services = { rule };
        return document;
    }

    void startGateway(std::size_t g)
    {
        auto& gateway = m_gateways[g];
        gateway = {};
        gateway.id = newPeer();
        ForwardLogic::Settings settings { "z", m_agenda.random(), { 0.2, 60, 10s }, "gateway-" + std::to_string(g) };
        gateway.logic = std::make_unique<ForwardLogic>(std::move(settings));
        step(g, forward::DocumentReceived { document(), true });
        step(g, RegistryHeartbeat { {}, static_cast<std::uint32_t>(m_gateways.size()) });
        for (const auto& engine : m_engines) {
            if (engine.isUp)
                announce(g, engine);
        }
        connectAll(g);
    }
    /// Its requests end with it.
    void restartGateway(std::size_t g)
    {
        startGateway(g);
        m_gateways[g].disturbedAt = m_agenda.now;
    }
    void connectAll(std::size_t g)
    {
        for (std::size_t c = 0; c < m_controllers.size(); ++c)
            connect(g, c);
    }
    void connect(std::size_t g, std::size_t c)
    {
        m_agenda.after(m_agenda.between(1ms, 200ms), [this, g, c, gateway = m_gateways[g].id, controller = m_controllers[c].id] {
            bool isCurrent = m_gateways[g].id == gateway && m_controllers[c].id == controller && !m_gateways[g].isCut;
            if (!isCurrent)
                return;
            step(g, forward::ControllerConnected { controller });
            toGateway(g, c, m_controllers[c].exchange.snapshotFor(Role::Gateway, m_agenda.now));
        });
    }
    void restartController(std::size_t c)
    {
        auto former = std::exchange(m_controllers[c], { newPeer(), {} }).id;
        m_coreDisturbedAt = m_agenda.now;
        for (std::size_t other = 0; other < m_controllers.size(); ++other) {
            if (other != c)
                toController(c, m_controllers[other].exchange.snapshotFor(Role::Controller, m_agenda.now), other);
        }
        for (std::size_t g = 0; g < m_gateways.size(); ++g) {
            step(g, forward::PeerDisconnected { former });
            connect(g, c);
        }
    }
    void cut(std::size_t g)
    {
        auto& gateway = m_gateways[g];
        if (std::exchange(gateway.isCut, true))
            return;
        m_agenda.after(m_agenda.between(500ms, 4s), [this, g, id = gateway.id] {
            if (m_gateways[g].id != id)
                return;
            m_gateways[g].isCut = false;
            m_gateways[g].disturbedAt = m_agenda.now;
            connectAll(g);
        });
    }
    [[nodiscard]] bool isInTouch(const Gateway& gateway) const
    {
        return !gateway.isCut && m_agenda.now - std::max(gateway.disturbedAt, m_coreDisturbedAt) > agreementTime;
    }

    // --- Engines --------------------------------------------------------------------------------------------------

    void announce(std::size_t g, const Engine& engine)
    {
        Announcement announcement;
        announcement.id = engine.id;
        announcement.service = "engine";
        announcement.address = engine.id + ":80";
        announcement.zone = "z";
        announcement.softwareVersion = "v1";
        announcement.slots = 64;
        announcement.kind = engine.kind;
        announcement.sequence = engine.sequence;
        step(g, RelayedAnnouncement { announcement, Duration::zero() });
    }
    void announceAll()
    {
        for (auto& engine : m_engines) {
            ++engine.sequence;
            for (std::size_t g = 0; g < m_gateways.size(); ++g) {
                if (engine.isUp && !m_gateways[g].isCut)
                    announce(g, engine);
            }
        }
        for (std::size_t g = 0; g < m_gateways.size(); ++g) {
            if (!m_gateways[g].isCut)
                step(g, RegistryHeartbeat { {}, static_cast<std::uint32_t>(m_gateways.size()) });
        }
        if (m_agenda.now < m_end)
            m_agenda.after(announcementInterval, [this] { announceAll(); });
    }

    void endCallsAt(std::size_t e)
    {
        for (std::size_t g = 0; g < m_gateways.size(); ++g) {
            for (const auto& [key, call] : std::map(m_gateways[g].calls)) {
                if (call.engine == e && m_gateways[g].calls.erase(key))
                    step(g, forward::CallFailed { key.first, key.second, true, "the connection ended" });
            }
        }
    }
    /// It comes back under another id.
    void crash(std::size_t e)
    {
        m_engines[e].isUp = false;
        endCallsAt(e);
        m_agenda.after(engineAbsence, [this, e] {
            auto former = std::exchange(m_engines[e], { newEngineId(), m_engines[e].kind });
            for (std::size_t g = 0; g < m_gateways.size(); ++g) {
                m_agenda.after(m_agenda.between(1ms, 500ms), [this, g, e, former, id = m_engines[e].id] {
                    step(g, ReplicaWithdrawn { former.id, {} });
                    if (m_engines[e].id == id && m_engines[e].isUp)
                        announce(g, m_engines[e]);
                });
            }
        });
    }
    void crashRack()
    {
        for (std::size_t e = m_agenda.pick(3); e < m_engines.size(); e += 3) {
            if (m_engines[e].isUp)
                crash(e);
        }
    }

    // --- Requests -------------------------------------------------------------------------------------------------

    [[nodiscard]] bool shouldHaveAgreed() const
    {
        return std::all_of(m_parts.begin(), m_parts.end(), [this](const Part& part) {
            bool hasFive = part.fifthCrashAt != Instant::max();
            return part.crashes && m_agenda.now - (hasFive ? part.fifthCrashAt : part.lastAt) > 2 * agreementTime;
        });
    }

    void submitSound()
    {
        auto g = m_agenda.pick(m_gateways.size());
        Request request;
        request.isBefore = m_agenda.now < m_calmUntil && m_agenda.now - m_start > 1s;
        request.isCounted = shouldHaveAgreed() && isInTouch(m_gateways[g]);
        m_outcome.soundBefore += request.isBefore;
        m_outcome.sound += request.isCounted;
        ++m_outcome.soundInAll;
        submit(g, request, { sharedPart, firstDocument + m_agenda.pick(m_settings.documents) });
    }
    void submitCrashing()
    {
        Request request;
        request.crashingPart = m_agenda.pick(m_parts.size());
        auto part = firstCrashingPart + *request.crashingPart;
        auto own = 1'000'000 + ++m_lastOwnPart;
        auto parts = m_settings.isCrashingPartFirst ? std::vector { part, own } : std::vector { sharedPart, own, part };
        submit(m_agenda.pick(m_gateways.size()), request, parts);
    }
    void submit(std::size_t g, const Request& request, const std::vector<std::uint64_t>& parts)
    {
        auto& gateway = m_gateways[g];
        RequestId id { gateway.id, ++gateway.requests };
        gateway.open[id] = request;
        forward::RequestMetadata metadata;
        metadata.host = "desk.example";
        metadata.path = "/s/x";
        metadata.callerRequestId = "q" + std::to_string(++m_lastRequest);
        metadata.fingerprint = ContentFingerprint(firstRequest + m_lastRequest);
        metadata.callerTimeout = callerTimeout;
        metadata.promptTokens = 5000;
        metadata.outputTokens = 80;
        metadata.hasTokenCounts = true;
        for (auto part : parts)
            metadata.promptParts.emplace_back(part);
        step(g, forward::Submit { id, metadata });
    }

    Request* find(std::size_t g, const RequestId& id)
    {
        auto it = m_gateways[g].open.find(id);
        return it == m_gateways[g].open.end() ? nullptr : &it->second;
    }

    // --- What a gateway does --------------------------------------------------------------------------------------

    void step(std::size_t g, const forward::Event& event)
    {
        auto& gateway = m_gateways[g];
        auto effects = gateway.logic->step(event, m_agenda.now);
        if (auto wake = gateway.logic->nextWake(); wake != Instant::max()) {
            m_agenda.after(std::max(wake - m_agenda.now, Duration(1ms)), [this, g, id = gateway.id, wake] {
                if (m_gateways[g].id == id && m_gateways[g].logic->nextWake() <= m_agenda.now && wake <= m_agenda.now)
                    step(g, forward::Tick {});
            });
        }
        for (auto& effect : effects)
            std::visit([this, g](auto& e) { execute(g, e); }, effect);
    }

    template <typename T> void execute(std::size_t, const T&) { }

    std::optional<std::size_t> engineNamed(const std::string& id) const
    {
        auto it = std::find_if(m_engines.begin(), m_engines.end(), [&](const Engine& engine) { return engine.id == id; });
        return it == m_engines.end() || !it->isUp ? std::nullopt : std::optional(static_cast<std::size_t>(it - m_engines.begin()));
    }

    void execute(std::size_t g, const forward::ReserveAtReplica& reserve)
    {
        m_agenda.after(2ms, [this, g, gateway = m_gateways[g].id, reserve] {
            if (m_gateways[g].id != gateway)
                return;
            if (engineNamed(reserve.replica.id))
                step(g, forward::ReservationGranted { reserve.id, reserve.attempt, "r" });
            else
                step(g, forward::ReservationRefused { reserve.id, reserve.attempt, false });
        });
    }

    void execute(std::size_t g, const forward::Send& send)
    {
        m_agenda.after(1ms, [this, g, gateway = m_gateways[g].id, send] {
            if (m_gateways[g].id != gateway)
                return;
            auto e = engineNamed(send.replica.id);
            if (!e)
                return step(g, forward::CallFailed { send.id, send.attempt, false, "no connection" });
            noteArrival(g, send.id);
            m_gateways[g].calls[{ send.id, send.attempt }] = { *e, !send.isPrefill };
            if (send.isPrefill)
                prefill(g, send);
            else
                run(g, send, *e);
        });
    }
    void noteArrival(std::size_t g, const RequestId& id)
    {
        const auto* request = find(g, id);
        if (!request || !request->crashingPart || !isInTouch(m_gateways[g]))
            return;
        auto& part = m_parts[*request->crashingPart];
        if (part.fifthCrashAt != Instant::max() && m_agenda.now > part.fifthCrashAt + agreementTime)
            part.later.insert(id);
    }
    void prefill(std::size_t g, const forward::Send& send)
    {
        m_agenda.after(m_agenda.between(60ms, 150ms), [this, g, send] {
            if (m_gateways[g].calls.erase({ send.id, send.attempt }))
                step(g, forward::PrefillFinished { send.id, send.attempt, "kv" });
        });
    }
    void run(std::size_t g, const forward::Send& send, std::size_t e)
    {
        m_agenda.after(m_agenda.between(20ms, 200ms), [this, g, send, e] {
            if (!m_gateways[g].calls.contains({ send.id, send.attempt }))
                return;
            forward::AnswerMetadata metadata;
            metadata.status = 200;
            metadata.isStream = true;
            step(g, forward::AnswerHead { send.id, send.attempt, metadata, {} });
            const auto* request = find(g, send.id);
            if (!request)
                return;
            if (!request->crashingPart)
                return sendEvent(g, send, 1);
            m_agenda.after(m_agenda.between(20ms, 100ms), [this, g, send, e, p = *request->crashingPart] {
                if (m_gateways[g].calls.contains({ send.id, send.attempt }))
                    crashUnder(m_parts[p], e);
            });
        });
    }
    void crashUnder(Part& part, std::size_t e)
    {
        if (++part.crashes == crashesUntilAgreement)
            part.fifthCrashAt = m_agenda.now;
        part.lastAt = m_agenda.now;
        crash(e);
    }
    void sendEvent(std::size_t g, const forward::Send& send, int i)
    {
        if (!m_gateways[g].calls.contains({ send.id, send.attempt }))
            return;
        if (i > eventsOfStream) {
            m_gateways[g].calls.erase({ send.id, send.attempt });
            return step(g, forward::AnswerEnd { send.id, send.attempt });
        }
        step(g, forward::AnswerBody { send.id, send.attempt, "id: " + std::to_string(i) + "\ndata: x\n\n" });
        m_agenda.after(eventPause, [this, g, send, i] { sendEvent(g, send, i + 1); });
    }

    void execute(std::size_t g, const forward::CancelCall& cancel) { m_gateways[g].calls.erase({ cancel.id, cancel.attempt }); }

    void execute(std::size_t g, const forward::BeginStream& begin)
    {
        if (const auto* request = find(g, begin.id)) {
            m_outcome.served += request->isCounted;
            m_outcome.servedBefore += request->isBefore;
        }
    }
    void execute(std::size_t g, const forward::Refuse& refuse)
    {
        const auto* request = find(g, refuse.id);
        m_outcome.soundRefused += request && !request->crashingPart && refuse.error.code == ResultCode::CrashesReplicas;
        m_gateways[g].open.erase(refuse.id);
    }
    void execute(std::size_t g, const forward::EndStream& end) { m_gateways[g].open.erase(end.id); }
    void execute(std::size_t g, const forward::AbortStream& abort) { m_gateways[g].open.erase(abort.id); }

    // --- Crash reports --------------------------------------------------------------------------------------------

    void execute(std::size_t g, const forward::ReportCrashes& report)
    {
        for (std::size_t c = 0; c < m_controllers.size(); ++c) {
            if (!m_gateways[g].isCut && (!report.controller || *report.controller == m_controllers[c].id))
                toController(c, report.report, std::nullopt, g);
        }
    }
    void toController(
        std::size_t c, const CrashReport& report, std::optional<std::size_t> fromController, std::optional<std::size_t> fromGateway = {})
    {
        if (report.isEmpty())
            return;
        m_agenda.after(m_agenda.between(1ms, 8ms), [this, c, id = m_controllers[c].id, report, fromController, fromGateway] {
            if (m_controllers[c].id != id)
                return;
            auto updates = m_controllers[c].exchange.take(report, m_agenda.now);
            for (std::size_t other = 0; other < m_controllers.size(); ++other) {
                if (other != c && other != fromController)
                    toController(other, updates.controllers, c);
            }
            for (std::size_t g = 0; g < m_gateways.size(); ++g) {
                if (g != fromGateway)
                    toGateway(g, c, updates.gateways);
            }
        });
    }
    void toGateway(std::size_t g, std::size_t c, const CrashReport& report)
    {
        if (report.isEmpty() || m_gateways[g].isCut)
            return;
        m_agenda.after(m_agenda.between(1ms, 8ms), [this, g, gateway = m_gateways[g].id, controller = m_controllers[c].id, c, report] {
            if (m_gateways[g].id == gateway && m_controllers[c].id == controller && !m_gateways[g].isCut)
                step(g, forward::CrashesReported { report });
        });
    }

    Settings m_settings;
    Agenda m_agenda;
    Instant m_start = m_agenda.now;
    Instant m_end;
    Instant m_calmUntil;
    Instant m_coreDisturbedAt;
    std::vector<Controller> m_controllers;
    std::vector<Gateway> m_gateways;
    std::vector<Engine> m_engines;
    std::vector<Part> m_parts;
    std::uint64_t m_lastPeer = 0;
    std::uint64_t m_lastEngine = 0;
    std::uint64_t m_lastRequest = 0;
    std::uint64_t m_lastOwnPart = 0;
    Outcome m_outcome;
};

} // namespace wrenhinge::test
