/** \file
 * Gateways, holders of stream origins, replicas of two software versions, and callers that resume streams, on virtual time: all of them
 * restart, and links are cut, at random moments from a seed.
 */
#pragma once

#include "Agenda.h"
#include "request/fleet/StreamDirectory.h"
#include "request/forward/ForwardLogic.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace wrenhinge::test {

class StreamFleet {
public:
    struct Settings {
        std::uint64_t seed = 1;
        int gateways = 4;
        int holders = 5;
        int replicasOfVersion = 3;
        Duration playFor = 8s;
        double streamsPerSecond = 30;
        double breaksPerSecond = 1; ///< Of a stream's connection, by its caller.
        // Failures per second, of any one of them.
        double gatewayRestarts = 0;
        double holderRestarts = 0;
        double replicaRestarts = 0;
        double cuts = 0;
    };

    struct Outcome {
        int begun = 0; ///< Streams with an event.
        int takenUp = 0; ///< Attempts to resume one.
        int wentOn = 0; ///< Of these, those that brought an event.
        int refused = 0; ///< Of these, those that were refused.
        int mixed = 0; ///< Streams that hold events of two versions.
        int unanswered = 0; ///< Requests without an end, after all time that they had.
    };

    explicit StreamFleet(const Settings& settings)
        : m_settings(settings)
        , m_agenda(settings.seed)
    {
        for (int i = 0; i < settings.holders; ++i)
            m_holders.push_back({ newPeer(), {} });
        for (int i = 0; i < 2 * settings.replicasOfVersion; ++i)
            m_replicas.push_back({ "", versions[static_cast<std::size_t>(i) % versions.size()] });
        m_gateways.resize(static_cast<std::size_t>(settings.gateways));
        for (auto& replica : m_replicas)
            replica.id = newReplicaId();
        for (std::size_t g = 0; g < m_gateways.size(); ++g)
            startGateway(g);
    }

    Outcome play()
    {
        m_end = m_agenda.now + m_settings.playFor;
        m_agenda.repeat(m_settings.streamsPerSecond, m_end, [this] { beginStream(); });
        m_agenda.repeat(m_settings.gatewayRestarts, m_end, [this] { restartGateway(m_agenda.pick(m_gateways.size())); });
        m_agenda.repeat(m_settings.holderRestarts, m_end, [this] { restartHolder(m_agenda.pick(m_holders.size())); });
        m_agenda.repeat(m_settings.replicaRestarts, m_end, [this] { restartReplica(m_agenda.pick(m_replicas.size())); });
        m_agenda.repeat(m_settings.cuts, m_end, [this] { cut(m_agenda.pick(m_gateways.size()), m_agenda.pick(m_holders.size())); });
        m_agenda.runUntil(m_end + 2 * callerTimeout);
        for (const auto& stream : m_streams) {
            m_outcome.begun += !stream.versions.empty();
            m_outcome.mixed += stream.versions.size() > 1;
            m_outcome.unanswered += stream.isOpen;
        }
        return m_outcome;
    }

private:
    inline static const std::vector<std::string> versions { "v1", "v2" };
    static constexpr int eventsOfStream = 40;
    static constexpr auto eventPause = 25ms;
    static constexpr auto callerTimeout = 10s;
    static constexpr auto silenceLimit = 1500ms; ///< After which a link that is cut counts as ended.

    struct Holder {
        PeerId id;
        StreamDirectory directory;
    };
    struct Replica {
        std::string id;
        std::string version;
    };
    struct Gateway {
        std::unique_ptr<ForwardLogic> logic;
        PeerId id;
        std::uint64_t requests = 0;
        std::set<std::size_t> cutFrom; ///< Holders.
        std::map<RequestId, std::size_t> streams; ///< Its requests in progress.
        std::map<RequestId, Attempt> calls; ///< The current one of each.
    };
    struct Stream {
        std::string firstRequest; ///< Id of the attempt that brought the first event.
        std::string request; ///< Of the attempt in progress.
        Instant giveUpAt;
        int lastEvent = 0;
        std::set<std::string> versions;
        bool isOpen = false;
        bool isResuming = false;
        std::size_t gateway = 0;
        RequestId id;
    };

    // --- Ids -----------------------------------------------------------------------------------------------------------

    PeerId newPeer() { return PeerId(++m_lastPeer * 0x9e3779b97f4a7c15ULL); }
    std::string newReplicaId() { return "i-" + std::to_string(++m_lastReplica); }

    // --- Processes ------------------------------------------------------------------------------------------------

    static RoutingDocument document()
    {
        Route route;
        route.name = "r";
        route.host = "desk.example";
        route.prefix = "/s/";
        route.repeatability = Repeatability::Resumable;
        route.isStream = true;
        route.timeout = callerTimeout;
        route.target = 1s;
        route.maxAttempts = 3;
        route.targets = { { "app", 1 } };
        ServiceRule rule;
        rule.name = "app";
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
        ForwardLogic::Settings settings { "z", m_agenda.random(), { 1, 100000, 100ms } };
        gateway.logic = std::make_unique<ForwardLogic>(std::move(settings));
        step(g, forward::DocumentReceived { document(), true });
        step(g, RegistryHeartbeat { {}, static_cast<std::uint32_t>(m_settings.gateways) });
        for (const auto& replica : m_replicas)
            announce(g, replica);
        for (std::size_t h = 0; h < m_holders.size(); ++h)
            connect(g, h);
    }
    void restartGateway(std::size_t g)
    {
        auto streams = m_gateways[g].streams;
        startGateway(g);
        for (const auto& [id, stream] : streams) {
            m_agenda.after(m_agenda.between(1ms, 300ms), [this, id = id, stream = stream] {
                if (m_streams[stream].isOpen && m_streams[stream].id == id)
                    takeUp(stream);
            });
        }
    }

    void connect(std::size_t g, std::size_t h)
    {
        m_agenda.after(m_agenda.between(1ms, 300ms), [this, g, h, gateway = m_gateways[g].id, holder = m_holders[h].id] {
            bool isCurrent = m_gateways[g].id == gateway && m_holders[h].id == holder && !m_gateways[g].cutFrom.contains(h);
            if (isCurrent)
                step(g, forward::StreamHolderConnected { holder, Role::Controller, "z" + std::to_string(h % 3) });
        });
    }
    void restartHolder(std::size_t h)
    {
        auto former = std::exchange(m_holders[h], { newPeer(), {} }).id;
        for (std::size_t g = 0; g < m_gateways.size(); ++g) {
            step(g, forward::PeerDisconnected { former });
            connect(g, h);
        }
    }
    void cut(std::size_t g, std::size_t h)
    {
        if (!m_gateways[g].cutFrom.insert(h).second)
            return;
        auto isSame = [this, g, gateway = m_gateways[g].id] { return m_gateways[g].id == gateway; };
        m_agenda.after(silenceLimit, [this, g, isSame, holder = m_holders[h].id] {
            if (isSame())
                step(g, forward::PeerDisconnected { holder });
        });
        m_agenda.after(silenceLimit + m_agenda.between(1s, 4s), [this, g, h, isSame] {
            if (!isSame())
                return;
            m_gateways[g].cutFrom.erase(h);
            connect(g, h);
        });
    }

    void announce(std::size_t g, const Replica& replica)
    {
        Announcement announcement;
        announcement.id = replica.id;
        announcement.service = "app";
        announcement.address = replica.id + ":80";
        announcement.zone = "z";
        announcement.softwareVersion = replica.version;
        announcement.slots = 64;
        announcement.sequence = 1;
        step(g, RelayedAnnouncement { announcement, Duration::zero() });
    }
    /// It comes back under another id, perhaps with other software. Gateways hear of it some time later.
    void restartReplica(std::size_t r)
    {
        auto former = m_replicas[r].id;
        m_replicas[r] = { newReplicaId(), versions[m_agenda.pick(versions.size())] };
        for (std::size_t g = 0; g < m_gateways.size(); ++g) {
            m_agenda.after(m_agenda.between(1ms, 500ms), [this, g, r, id = m_replicas[r].id] {
                if (m_replicas[r].id == id)
                    announce(g, m_replicas[r]);
            });
            for (const auto& [id, attempt] : std::map(m_gateways[g].calls)) {
                if (m_callees[{ id, attempt }] == former)
                    step(g, forward::CallFailed { id, attempt, true, "the connection ended" });
            }
        }
    }

    // --- Streams --------------------------------------------------------------------------------------------------

    void beginStream()
    {
        m_streams.emplace_back();
        m_streams.back().giveUpAt = m_agenda.now + callerTimeout;
        submit(m_streams.size() - 1);
    }

    void submit(std::size_t s)
    {
        auto& stream = m_streams[s];
        auto g = m_agenda.pick(m_gateways.size());
        auto& gateway = m_gateways[g];
        stream.request = "q" + std::to_string(++m_lastRequest);
        stream.isOpen = true;
        stream.gateway = g;
        stream.id = { gateway.id, ++gateway.requests };
        forward::RequestMetadata request;
        request.host = "desk.example";
        request.path = "/s/x";
        request.callerRequestId = stream.request;
        request.callerTimeout = stream.giveUpAt - m_agenda.now;
        stream.isResuming = stream.lastEvent > 0;
        if (stream.isResuming) {
            request.resumedRequest = stream.firstRequest;
            request.resumeAfter = stream.lastEvent;
            ++m_outcome.takenUp;
        }
        gateway.streams[stream.id] = s;
        step(g, forward::Submit { stream.id, request });
        auto breakAfter = std::exponential_distribution<double>(m_settings.breaksPerSecond)(m_agenda.random);
        m_agenda.after(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(breakAfter)),
            [this, s, id = stream.id] { breakConnection(s, id); });
    }

    void breakConnection(std::size_t s, const RequestId& id)
    {
        auto& stream = m_streams[s];
        if (!stream.isOpen || stream.id != id || m_agenda.now >= m_end)
            return;
        step(stream.gateway, forward::CallerDisconnected { id });
        m_gateways[stream.gateway].streams.erase(id);
        takeUp(s);
    }

    /// The caller's connection has ended, and it comes back.
    void takeUp(std::size_t s)
    {
        m_streams[s].isOpen = false;
        auto wait = m_agenda.between(5ms, 100ms);
        if (m_agenda.now + wait < m_streams[s].giveUpAt)
            m_agenda.after(wait, [this, s] { submit(s); });
    }

    void close(std::size_t g, const RequestId& id)
    {
        auto it = m_gateways[g].streams.find(id);
        if (it == m_gateways[g].streams.end())
            return;
        m_streams[it->second].isOpen = false;
        m_gateways[g].streams.erase(it);
    }

    // --- What a gateway does --------------------------------------------------------------------------------------

    void step(std::size_t g, const forward::Event& event)
    {
        auto& gateway = m_gateways[g];
        auto effects = gateway.logic->step(event, m_agenda.now);
        auto wake = gateway.logic->nextWake();
        if (wake != Instant::max()) {
            m_agenda.after(std::max(wake - m_agenda.now, Duration(1ms)), [this, g, id = gateway.id, wake] {
                if (m_gateways[g].id == id && m_gateways[g].logic->nextWake() <= m_agenda.now && wake <= m_agenda.now)
                    step(g, forward::Tick {});
            });
        }
        for (auto& effect : effects)
            std::visit([this, g](auto& e) { execute(g, e); }, effect);
    }

    template <typename T> void execute(std::size_t, const T&) { }

    /// The replica streams to its end, unless it is asked to stop or is no more.
    void execute(std::size_t g, const forward::Send& send)
    {
        m_gateways[g].calls[send.id] = send.attempt;
        m_callees[{ send.id, send.attempt }] = send.replica.id;
        auto it = std::find_if(m_replicas.begin(), m_replicas.end(), [&](const Replica& r) { return r.id == send.replica.id; });
        m_agenda.after(1ms, [this, g, send, isThere = it != m_replicas.end(), version = versionOf(it)] {
            if (!isCurrent(g, send))
                return;
            if (!isThere)
                return step(g, forward::CallFailed { send.id, send.attempt, false, "no connection" });
            forward::AnswerMetadata metadata;
            metadata.status = 200;
            metadata.isStream = true;
            step(g, forward::AnswerHead { send.id, send.attempt, metadata, {} });
            sendEvent(g, send, version, static_cast<int>(send.resumeAfter.value_or(resumedAfter(g, send.id))) + 1);
        });
    }
    std::string versionOf(std::vector<Replica>::const_iterator it) const { return it == m_replicas.end() ? "" : it->version; }
    std::uint64_t resumedAfter(std::size_t g, const RequestId& id)
    {
        auto it = m_gateways[g].streams.find(id);
        return it == m_gateways[g].streams.end() ? 0 : static_cast<std::uint64_t>(m_streams[it->second].lastEvent);
    }
    bool isCurrent(std::size_t g, const forward::Send& send) const
    {
        const auto& gateway = m_gateways[g];
        auto it = gateway.calls.find(send.id);
        bool isRunning = std::any_of(m_replicas.begin(), m_replicas.end(), [&](const Replica& r) { return r.id == send.replica.id; });
        bool isOfThisRun = send.id.origin == gateway.id;
        return isOfThisRun && it != gateway.calls.end() && it->second == send.attempt && (isRunning || gateway.streams.contains(send.id));
    }
    void sendEvent(std::size_t g, const forward::Send& send, const std::string& version, int i)
    {
        bool isRunning = std::any_of(m_replicas.begin(), m_replicas.end(), [&](const Replica& r) { return r.id == send.replica.id; });
        if (!isCurrent(g, send) || !isRunning)
            return;
        if (i > eventsOfStream)
            return step(g, forward::AnswerEnd { send.id, send.attempt });
        step(g, forward::AnswerBody { send.id, send.attempt, "id: " + std::to_string(i) + "\ndata: " + version + "\n\n" });
        m_agenda.after(eventPause, [this, g, send, version, i] { sendEvent(g, send, version, i + 1); });
    }

    void execute(std::size_t g, const forward::CancelCall& cancel) { m_gateways[g].calls.erase(cancel.id); }

    void execute(std::size_t g, const forward::StreamBytes& bytes)
    {
        auto it = m_gateways[g].streams.find(bytes.id);
        if (it == m_gateways[g].streams.end())
            return;
        auto& stream = m_streams[it->second];
        auto version = bytes.bytes.find("data: ") + 6;
        if (stream.versions.empty())
            stream.firstRequest = stream.request;
        m_outcome.wentOn += std::exchange(stream.isResuming, false);
        stream.versions.insert(bytes.bytes.substr(version, 2));
        stream.lastEvent = std::stoi(bytes.bytes.substr(4));
    }
    void execute(std::size_t g, const forward::EndStream& end) { close(g, end.id); }
    void execute(std::size_t g, const forward::AbortStream& abort)
    {
        auto it = m_gateways[g].streams.find(abort.id);
        if (it == m_gateways[g].streams.end())
            return;
        auto s = it->second;
        m_gateways[g].streams.erase(it);
        takeUp(s);
    }
    void execute(std::size_t g, const forward::Refuse& refuse)
    {
        auto it = m_gateways[g].streams.find(refuse.id);
        m_outcome.refused += it != m_gateways[g].streams.end() && m_streams[it->second].isResuming;
        close(g, refuse.id);
    }

    void execute(std::size_t g, const forward::SendStreamRecords& send)
    {
        toHolder(g, send.holder, [this, g, gateway = m_gateways[g].id, message = send.message](std::size_t h) {
            StreamRecordsHeld held;
            for (const auto& record : message.records) {
                m_holders[h].directory.add(record, m_agenda.now);
                held.streams.push_back(record.stream);
            }
            toGateway(g, gateway, h, forward::StreamRecordsConfirmed { m_holders[h].id, held });
        });
    }
    void execute(std::size_t g, const forward::SendStreamLookup& send)
    {
        toHolder(g, send.holder, [this, g, gateway = m_gateways[g].id, stream = send.message.stream](std::size_t h) {
            toGateway(g, gateway, h, forward::StreamLookupReplied { m_holders[h].id, m_holders[h].directory.find(stream, m_agenda.now) });
        });
    }
    void toHolder(std::size_t g, PeerId holder, std::function<void(std::size_t)> action)
    {
        m_agenda.after(m_agenda.between(1ms, 8ms), [this, g, holder, action = std::move(action)] {
            for (std::size_t h = 0; h < m_holders.size(); ++h) {
                if (m_holders[h].id == holder && !m_gateways[g].cutFrom.contains(h))
                    action(h);
            }
        });
    }
    void toGateway(std::size_t g, PeerId gateway, std::size_t h, const forward::Event& event)
    {
        m_agenda.after(m_agenda.between(1ms, 8ms), [this, g, gateway, h, event] {
            if (m_gateways[g].id == gateway && !m_gateways[g].cutFrom.contains(h))
                step(g, event);
        });
    }

    Settings m_settings;
    Agenda m_agenda;
    Instant m_end;
    std::vector<Holder> m_holders;
    std::vector<Replica> m_replicas;
    std::vector<Gateway> m_gateways;
    std::vector<Stream> m_streams;
    std::map<std::pair<RequestId, Attempt>, std::string> m_callees; ///< Which replica each call went to.
    std::uint64_t m_lastPeer = 0;
    std::uint64_t m_lastReplica = 0;
    std::uint64_t m_lastRequest = 0;
    Outcome m_outcome;
};

} // namespace wrenhinge::test
