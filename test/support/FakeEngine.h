/** \file
 * A model engine or plain service on virtual time, seen through the calls that a sidecar makes.
 *
 * Prefill computes one prompt at a time per slot, keeps prefixes in a bounded cache and a result under a second. Decode
 * fetches the result over a link of limited rate, then produces tokens; its pace falls as it fills. A call's body is the
 * number of a `Job`, which says how long prompt and answer are.
 */
#pragma once

#include "VirtualTime.h"
#include "request/sidecar/SidecarEvents.h"

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace wrenhinge::test {

/// What a request is made of, by the number in its body.
struct Job {
    std::uint32_t promptTokens = 1;
    std::uint32_t answerTokens = 1;
    std::vector<std::uint64_t> prefixBlocks;
    Duration plainTime = 5ms;
    bool crashesEngine = false; ///< The engine crashes when it begins to run this, and starts again at once.
};

struct EngineModel {
    Duration prefillFixed = 8ms;
    double prefillMicrosPerToken = 40;
    Duration tokenBase = 14ms; ///< Between tokens on an empty decode engine.
    Duration tokenPerRunning = 450us; ///< More for each running request.
    Duration resultLife = 800ms;
    double linkMicrosPerToken = 8; ///< A decode engine's own link; transfers queue on it.
    std::size_t cacheBlocks = 4000;
    std::uint32_t tokensPerEvent = 4; ///< Tokens are reported in groups, to save events.
    double slowness = 1; ///< Factor on all times; tests make a replica slow with it.
};

/// Results of prefills that live at their engines, over all engines of a world.
class ResultStore {
public:
    void put(const std::string& id, Instant expires, std::uint32_t tokens) { m_results[id] = { expires, tokens }; }
    /// \returns the tokens of a result that still lives, taking it, or zero.
    std::uint32_t take(const std::string& id, Instant now);
    void release(const std::string& id) { m_results.erase(id); }
    [[nodiscard]] std::size_t held(Instant now);
    std::uint64_t tokensExpired = 0;
    std::uint64_t tokensFetched = 0;

private:
    struct Result {
        Instant expires;
        std::uint32_t tokens = 0;
    };
    std::map<std::string, Result> m_results;
};

class FakeEngine {
public:
    using Report = std::function<void(sidecar::Event)>;

    FakeEngine(VirtualTime&, ResultStore&, const std::vector<Job>&, EngineModel, Report);

    void start(const UpstreamCall&);
    void abort(CallId);
    /// Drops all that runs, as when the engine dies. Nothing more is reported.
    void stop();
    void setSlowness(double factor) { m_model.slowness = factor; }
    void setStalled(bool isStalled) { m_isStalled = isStalled; }

    [[nodiscard]] std::size_t running() const { return m_running.size(); }
    /// How often a plain call of this key or request was executed.
    [[nodiscard]] const std::map<std::string, int>& runs() const { return m_runs; }
    std::uint64_t prefilledTokens = 0;
    int crashes = 0; ///< How often it was crashed by what it ran.

private:
    struct Running {
        UpstreamCall call;
        std::uint32_t produced = 0;
    };
    void startPrefill(const UpstreamCall&);
    void startDecode(const UpstreamCall&);
    void startPlain(const UpstreamCall&);
    void produce(CallId);
    void crash();
    void later(CallId, Duration, std::function<void()>);
    std::uint32_t takeCached(const std::vector<std::uint64_t>&);
    [[nodiscard]] const Job& jobOf(const UpstreamCall&) const;
    [[nodiscard]] Duration scaled(Duration d) const { return fromSeconds(toSeconds(d) * m_model.slowness); }

    VirtualTime& m_time;
    ResultStore& m_results;
    const std::vector<Job>& m_jobs;
    EngineModel m_model;
    Report m_report;
    std::map<CallId, Running> m_running;
    std::set<std::uint64_t> m_cache;
    std::deque<std::uint64_t> m_cacheAge;
    Instant m_linkFreeAt;
    std::map<std::string, int> m_runs;
    bool m_isStalled = false;
    std::uint64_t m_life = 0;
};

} // namespace wrenhinge::test
