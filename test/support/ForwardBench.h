/** \file
 * Test fixture: a ForwardLogic with a routing document and replicas, driven one event at a time without a network.
 */
#pragma once

#include "request/forward/ForwardLogic.h"

#include <algorithm>
#include <doctest/doctest.h>

namespace wrenhinge::bench {

using namespace wrenhinge::forward;

inline constexpr Instant start { std::chrono::seconds(1000) };

inline Route route(const std::string& prefix, const std::string& service, Repeatability repeatability, std::uint32_t maxAttempts)
{
    Route route;
    route.name = prefix;
    route.host = "desk.example";
    route.prefix = prefix;
    route.repeatability = repeatability;
    route.isStream = service == "engine";
    route.hasPrompt = route.isStream;
    route.timeout = route.isStream ? Duration(14s) : Duration(600ms);
    route.target = route.isStream ? Duration(900ms) : Duration(100ms);
    route.maxAttempts = maxAttempts;
    route.targets = { { service, 1 } };
    return route;
}

inline RoutingDocument document(std::uint64_t version)
{
    RoutingDocument document;
    document.version = version;
    document.routes = { route("/once/", "plain", Repeatability::AtMostOnce, 1), route("/often/", "plain", Repeatability::Idempotent, 2),
        route("/stream/", "engine", Repeatability::AtMostOnce, 1), route("/resumable/", "engine", Repeatability::Resumable, 2) };
    ServiceRule plain;
    plain.name = "plain";
    ServiceRule engine;
    engine.name = "engine";
    engine.isEngine = true;
    engine.engine = { 64, 60000, 2s, 500ms };
    document.services = { plain, engine };
    return document;
}

/// A ForwardLogic, the current time, and the effects of the last event.
class Bench {
public:
    explicit Bench(ForwardLogic::Settings settings = { "zone-1", 1, { 0.2, 60, 10s } })
        : m_logic(std::move(settings))
    {
    }

    /// A gateway that has run for a while, so that it may use the whole retry budget.
    Bench& serve()
    {
        post(DocumentReceived { document(1), true });
        return age();
    }
    Bench& age()
    {
        post(RegistryHeartbeat { {}, 1 });
        now += 11s;
        post(RegistryHeartbeat { {}, 1 });
        return *this;
    }

    Bench& replica(const std::string& id, UpstreamKind kind = UpstreamKind::Plain, std::uint64_t sequence = 1,
        ReplicaState state = ReplicaState::Ready, ReplicaStart start = {}, const std::string& softwareVersion = "v1")
    {
        Announcement announcement;
        announcement.id = id;
        announcement.service = kind == UpstreamKind::Plain ? "plain" : "engine";
        announcement.address = id + ":80";
        announcement.zone = "zone-1";
        announcement.softwareVersion = softwareVersion;
        announcement.slots = 6;
        announcement.kind = kind;
        announcement.state = state;
        announcement.sequence = sequence;
        announcement.start = start;
        post(RelayedAnnouncement { announcement, Duration::zero() });
        return *this;
    }

    /// The replica restarts under the same id, as a newer run whose sequence numbers start at 1 again.
    Bench& restart(const std::string& id, UpstreamKind kind = UpstreamKind::Plain)
    {
        return replica(id, kind, 1, ReplicaState::Ready, ReplicaStart(++m_starts));
    }

    /// Whether there is no load data of runs that have ended.
    bool knowsOnlyPresentRuns()
    {
        const auto& loads = m_logic.replicas().loads();
        return std::all_of(loads.begin(), loads.end(), [this](const auto& item) { return m_logic.replicas().registry().find(item.first); });
    }

    RequestId submit(const std::string& path, std::optional<Duration> callerTimeout = {}, ContentFingerprint fingerprint = {},
        const std::string& key = "", RequestMetadata request = {})
    {
        RequestId id { PeerId(1), ++m_sequence };
        if (!key.empty())
            request.key = SecretDigest::of(key);
        request.host = "Desk.example:8080";
        request.path = path;
        request.callerTimeout = callerTimeout;
        request.fingerprint = fingerprint;
        request.promptTokens = path.starts_with("/stream") || path.starts_with("/resumable") ? 5000 : 0;
        request.outputTokens = request.promptTokens ? 800 : 0;
        request.hasTokenCounts = request.promptTokens;
        post(Submit { id, request });
        return id;
    }

    void post(const Event& event)
    {
        m_last = m_logic.step(event, now);
        m_finished += effects<Finished>().size();
    }
    [[nodiscard]] std::size_t finished() const { return m_finished; }
    void wait(Duration d)
    {
        now += d;
        post(Tick {});
    }

    template <typename T> std::vector<T> effects() const
    {
        std::vector<T> found;
        for (const auto& effect : m_last) {
            if (const auto* e = std::get_if<T>(&effect))
                found.push_back(*e);
        }
        return found;
    }
    template <typename T> T only() const
    {
        auto found = effects<T>();
        REQUIRE(found.size() == 1);
        return found.front();
    }

    void answer(const Send& send, int status, bool wasNotRun = false, bool isOther = false, bool isGenuine = true)
    {
        AnswerMetadata metadata;
        metadata.status = status;
        metadata.wasNotRun = wasNotRun || isOther;
        metadata.isMisdirected = isOther;
        metadata.isGenuine = isGenuine;
        post(AnswerHead { send.id, send.attempt, metadata, { { "X", "y" } } });
        post(AnswerBody { send.id, send.attempt, "body" });
        post(AnswerEnd { send.id, send.attempt });
    }

    void streamHead(const Send& send)
    {
        AnswerMetadata metadata;
        metadata.status = 200;
        metadata.isStream = true;
        post(AnswerHead { send.id, send.attempt, metadata, {} });
    }

    /// Takes a request to an engine through reservation and prefill. \returns the call that runs it.
    Send run(const RequestId&)
    {
        auto reserve = only<ReserveAtReplica>();
        post(ReservationGranted { reserve.id, reserve.attempt, "reservation-1" });
        auto prefill = only<Send>();
        REQUIRE(prefill.isPrefill);
        post(PrefillFinished { prefill.id, prefill.attempt, "kv-1" });
        return only<Send>();
    }

    Instant now = start;
    ForwardLogic& logic() { return m_logic; }

private:
    ForwardLogic m_logic;
    ForwardLogic::Effects m_last;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_starts = 1'764'700'000'000;
    std::size_t m_finished = 0;
};

} // namespace wrenhinge::bench
