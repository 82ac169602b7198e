/** \file
 * Who may use an engine's KV memory: the decisions of the sidecar beside an engine that gateways call themselves.
 *
 * What goes wrong without it: each gateway knows only its own requests, and can ask the engine for a reservation only by a number of
 * tokens. Reserved for what an answer may become, a third of the memory stays empty while callers are refused; reserved for less, the
 * answers outgrow it together, and the engine sets running streams back and reads their prompts and answers anew. One notices by
 * refusals for want of memory beside an engine that is half empty, or by pauses of running streams. This process sees the engine's own
 * report every `readEvery`, knows each request's prompt and estimate, and admits by what the answers together are expected to need
 * (MemoryForecast). Gateways are told how much room there is, so that they ask where there is some.
 *
 * It also hears from all gateways how runs end (EngineCircuitBreaker): an engine that says it is well and breaks whatever it is sent gets
 * no more. An engine that does not answer has no room. A sidecar that is gone leaves the engine as it is: gateways then reserve at the
 * engine.
 */
#pragma once

#include "base/EventCode.h"
#include "message/Messages.h"
#include "request/engine/EngineCircuitBreaker.h"
#include "request/engine/MemoryForecast.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace wrenhinge {

namespace admission {

    /// One run in an engine's report.
    struct RunningRequest {
        std::string id;
        std::uint32_t tokens = 0; ///< In memory, prompt and answer.
        std::uint32_t events = 0; ///< Of its stream, so far.
    };
    /// What an engine says of its memory.
    struct EngineReport {
        bool isDecode = false;
        std::uint64_t waiting = 0; ///< Requests that it has taken and that do not run: there is no memory for them now.
        std::uint64_t total = 0; ///< Tokens that the memory holds.
        std::uint64_t used = 0; ///< Tokens that can't be dropped, whatever they belong to.
        std::vector<RunningRequest> running;
    };

    // Events.
    struct GatewayUp {
        PeerId gateway;
    };
    struct GatewayDown {
        PeerId gateway;
    };
    struct ReservationRequested {
        PeerId gateway;
        ReservationRequest request;
    };
    struct ReservationEnded {
        PeerId gateway;
        ReservationEnd end;
    };
    struct PrefillReported {
        PeerId gateway;
        PrefillNotice notice;
    };
    /// The answer to ReadEngine; nothing if there was none that can be used.
    struct EngineRead {
        std::uint64_t number = 0;
        std::optional<EngineReport> report;
    };
    struct Tick { };
    using Event = std::variant<GatewayUp, GatewayDown, ReservationRequested, ReservationEnded, PrefillReported, EngineRead, Tick>;

    // Effects.
    struct Send {
        PeerId to;
        Message message;
    };
    struct ReadEngine {
        std::uint64_t number = 0; ///< Pairs the answer; those to earlier ones are late.
    };
    using Effect = std::variant<Send, ReadEngine, LogEvent>;

} // namespace admission

class EngineAdmission {
public:
    using Effects = std::vector<admission::Effect>;

    struct Settings {
        std::string engineAddress;
        /// How many standard deviations of the forecast are kept free. A stream that is set back costs its caller a pause and the engine a
        /// prompt and an answer read anew, about twice what a refused one costs. With 1, 1.5, 2 and 3 some 40, 18, 5 and 3 streams a day
        /// were set back, and the mean worth of five days of eleven engines was 0.466, 0.493, 0.513 and 0.476.
        double spareDeviations = 2;
    };

    /// A report is read this often. Answers grow by 1% of the memory meanwhile (10 answers at 1,600 tokens a second, 78,000 tokens).
    static constexpr Duration readEvery = 50ms;
    /// A prefill engine is asked less often: its reports only show when it has changed its stage or is gone, and a third of all sidecars
    /// are beside one. Each report costs a sidecar a millisecond of its processor: 0.02 of a core at 20 a second.
    static constexpr Duration readPrefillEvery = 200ms;
    /// An engine on the same machine answers within a millisecond; one that has not within this is taken to be down.
    static constexpr Duration readLimit = 300ms;
    /// So many reads without an answer in a row mean that the engine is down; one may be this process standing still.
    static constexpr std::uint32_t mostMisses = 2;
    /// An engine that answers again has started as another run, which gateways hear of by its announcement, every 1.2 s. What they
    /// send to the former run until then is refused, after its prompt was read in vain, so they are told of no room before that.
    static constexpr Duration unannouncedLimit = 1300ms;
    /// A reservation that no run has used for this long lapses: several times the longest prefill with its queue. Also how long a run
    /// counts that the engine's report has stopped naming, as one that is set back does until it is admitted again.
    static constexpr Duration unusedLimit = 1500ms;
    /// A prefill that nobody has reported as ended counts no longer after this.
    static constexpr Duration longestPrefill = 3s;
    /// Gateways are told of the room when it has changed by this part of the memory, but not more often than `tellAgainAfter`; and
    /// every `tellEvery`, as a message is lost with its link.
    static constexpr std::uint64_t toldPart = 32;
    static constexpr Duration tellAgainAfter = 30ms;
    static constexpr Duration tellEvery = 1s;

    explicit EngineAdmission(Settings);

    Effects step(const admission::Event&, Instant now);
    [[nodiscard]] Instant nextWake() const;

    /// Tokens that the memory can take beyond what is expected to be needed.
    [[nodiscard]] std::uint64_t headroom() const;
    [[nodiscard]] std::size_t running() const { return m_runs.size(); }
    /// Tokens of the prompts that were sent to the engine to be read for others, and are not read yet.
    [[nodiscard]] std::uint64_t prefillBacklog() const;

private:
    struct Run {
        std::optional<RequestId> request; ///< Nothing: no gateway has reserved for it here.
        PeerId gateway;
        MemoryUse use;
        Instant seenAt; ///< In a report, or when it was reserved for.
    };

    struct Prefill {
        PeerId gateway;
        std::uint32_t tokens = 0;
        Instant since;
    };

    void on(const admission::GatewayUp&, Instant);
    void on(const admission::GatewayDown&, Instant);
    void on(const admission::ReservationRequested&, Instant);
    void on(const admission::ReservationEnded&, Instant);
    void on(const admission::PrefillReported&, Instant);
    void on(const admission::EngineRead&, Instant);
    void on(const admission::Tick&, Instant);

    void noteEnd(const admission::ReservationEnded&, Instant);
    void forgetEngine(Instant);
    void takeRun(const admission::RunningRequest&, Instant);
    void learnStride(const admission::RunningRequest&, const Run&);
    void read(Instant);
    void sendHeadroom(Instant);
    [[nodiscard]] bool fits(const MemoryUse& added, std::uint32_t slots, Instant now) const;
    [[nodiscard]] std::vector<MemoryUse> uses() const;
    [[nodiscard]] std::uint64_t available() const;
    void updateHeadroom(Instant);
    /// Not while requests wait there: an engine that has set streams back keeps a few of them waiting, and refuses whatever comes then,
    /// after its prompt was read elsewhere.
    [[nodiscard]] bool isOpen(Instant now) const
    {
        return m_report && m_report->isDecode && !m_report->waiting && now >= m_announcedAt && m_trust.allowsRequest(now);
    }
    [[nodiscard]] bool isNews() const;

    Settings m_settings;
    AnswerLengths m_lengths;
    EngineCircuitBreaker m_trust;
    std::map<std::string, Run> m_runs; ///< By the engine's name for them.
    std::map<RequestId, Prefill> m_prefills;
    std::map<PeerId, bool> m_gateways; ///< Whether each has been told of the room.
    double m_tokensPerEvent = 0; ///< As the reports show; zero: not known.

    std::optional<admission::EngineReport> m_report;
    std::uint64_t m_others = 0; ///< Of the memory in use, what belongs to no run.
    std::uint64_t m_reading = 0; ///< The number of the newest read.
    bool m_isReading = false;
    std::uint32_t m_misses = 0; ///< Reads in a row without an answer.
    Instant m_readAt; ///< When to read next, or to give up the present read.

    Instant m_announcedAt; ///< When gateways have heard of the engine's present run.

    std::uint64_t m_headroom = 0;
    std::optional<EngineHeadroom> m_told;
    Instant m_toldAt;
    Effects m_effects;
};

} // namespace wrenhinge
