/** \file
 * Admission control for an engine's KV memory. Runs in the sidecar of an engine that gateways call directly.
 *
 * Without it, each gateway knows only its own requests, and can only reserve a number of tokens at the engine. If gateways reserve the
 * longest possible answer, a third of the memory stays empty while callers are refused. If they reserve less, the answers together can
 * outgrow the memory; the engine then preempts running streams and prefills their prompts and answers again. The symptoms are requests
 * refused for lack of memory while the engine is half empty, or pauses in running streams. The sidecar reads the engine's report every
 * `readInterval`, knows the prompt and the estimated answer length of each request, and admits requests by the memory that all answers
 * together are expected to need (MemoryForecast). It sends the remaining headroom to all gateways, so that they choose engines with some.
 *
 * All gateways also report how requests ended (EngineCircuitBreaker): an engine that reports itself healthy but fails every request gets
 * no more of them. An engine that doesn't respond has no headroom. If the sidecar is down, gateways reserve at the engine themselves.
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

    /// A running request in an engine's report.
    struct RunningRequest {
        std::string id;
        std::uint32_t tokens = 0; ///< KV memory that it occupies, for prompt and answer.
        std::uint32_t events = 0; ///< Stream events sent so far.
    };
    /// An engine's report about its KV memory.
    struct EngineReport {
        bool isDecode = false;
        std::uint64_t waiting = 0; ///< Accepted requests that are not running, for lack of memory.
        std::uint64_t total = 0; ///< Capacity of the memory in tokens.
        std::uint64_t used = 0; ///< Tokens that can't be evicted, including those of other users of the memory.
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
    /// The reply to ReadEngine; `report` is empty if there was no valid reply.
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
        std::uint64_t number = 0; ///< Repeated in the reply; replies with a lower number are late.
    };
    using Effect = std::variant<Send, ReadEngine, LogEvent>;

} // namespace admission

class EngineAdmission {
public:
    using Effects = std::vector<admission::Effect>;

    struct Settings {
        std::string engineAddress;
        /// Safety margin of the forecast in standard deviations. Preempting a stream makes its caller wait and the engine prefill a
        /// prompt and an answer again, which costs about twice as much as refusing a request. With 1, 1.5, 2 and 3 deviations some 40, 18,
        /// 5 and 3 streams a day were preempted, and the mean score over five days of eleven engines was 0.466, 0.493, 0.513 and 0.476.
        double spareDeviations = 2;
    };

    /// Interval between reads of the engine's report, in which answers grow by 1% of the memory (10 answers at 1,600 tokens a second,
    /// 78,000 tokens of memory).
    static constexpr Duration readInterval = 50ms;
    /// The same for a prefill engine, whose report only shows whether it has changed its stage or is down. A third of all engines are
    /// prefill engines, and each report takes the sidecar a millisecond of CPU time: 0.02 of a core at 20 reports a second.
    static constexpr Duration prefillReadInterval = 200ms;
    /// Timeout of one read. An engine on the same machine normally replies within a millisecond.
    static constexpr Duration readTimeout = 300ms;
    /// After this many consecutive reads without a reply, the engine is considered down. A single one can be due to a pause of this
    /// process.
    static constexpr std::uint32_t maxMissedReads = 2;
    /// An engine that replies again after an outage has restarted as a new run. Gateways learn of the run from its announcement, sent
    /// every 1.2 s. Requests that they address to the former run until then are refused after a wasted prefill, so the sidecar reports
    /// no headroom before this delay is over.
    static constexpr Duration announcementDelay = 1300ms;
    /// A reservation expires if its request doesn't start within this: several times the longest prefill including queueing. A request
    /// that disappears from the engine's reports also counts for this long: a preempted one does until the engine resumes it.
    static constexpr Duration reservationTimeout = 1500ms;
    /// A prefill whose end was not reported is dropped after this.
    static constexpr Duration prefillTimeout = 3s;
    /// The headroom is sent to gateways when it has changed by at least the capacity divided by this, at most once per `minSendInterval`,
    /// and at least once per `maxSendInterval`, since messages are lost when a link breaks.
    static constexpr std::uint64_t headroomChangeDivisor = 32;
    static constexpr Duration minSendInterval = 30ms;
    static constexpr Duration maxSendInterval = 1s;

    explicit EngineAdmission(Settings);

    Effects step(const admission::Event&, Instant now);
    [[nodiscard]] Instant nextWake() const;

    /// Free KV memory beyond the forecast need, in tokens.
    [[nodiscard]] std::uint64_t headroom() const;
    /// Requests that are running or have a reservation.
    [[nodiscard]] std::size_t running() const { return m_requests.size(); }
    /// Prompt tokens sent to the engine for prefill that are not prefilled yet.
    [[nodiscard]] std::uint64_t prefillBacklog() const;

private:
    struct Request {
        std::optional<RequestId> id; ///< Empty: it has no reservation in this process.
        PeerId gateway;
        MemoryUsage usage;
        Instant seenAt; ///< When it was last in a report, or was reserved.
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

    void recordEnd(const admission::ReservationEnded&, Instant);
    void resetEngine(Instant);
    void updateRequest(const admission::RunningRequest&, Instant);
    void updateTokensPerEvent(const admission::RunningRequest&, const Request&);
    void read(Instant);
    void sendHeadroom(Instant);
    [[nodiscard]] bool fits(const MemoryUsage& added, std::uint32_t slots, Instant now) const;
    [[nodiscard]] std::vector<MemoryUsage> usages() const;
    [[nodiscard]] std::uint64_t available() const;
    void updateHeadroom(Instant);
    /// False while requests are waiting at the engine: an engine that has preempted streams keeps a few of them waiting and refuses further
    /// requests, whose prompts were then prefilled elsewhere in vain.
    [[nodiscard]] bool acceptsRequests(Instant now) const
    {
        return m_report && m_report->isDecode && !m_report->waiting && now >= m_announcedAt && m_circuitBreaker.allowsRequest(now);
    }
    [[nodiscard]] bool hasChanged() const;

    Settings m_settings;
    AnswerLengths m_lengths;
    EngineCircuitBreaker m_circuitBreaker;
    std::map<std::string, Request> m_requests; ///< By the engine's id for them.
    std::map<RequestId, Prefill> m_prefills;
    std::map<PeerId, bool> m_gateways; ///< Whether each has received the headroom.
    double m_tokensPerEvent = 0; ///< Running mean from the reports; zero: not known.

    std::optional<admission::EngineReport> m_report;
    std::uint64_t m_otherTokens = 0; ///< Memory in use that belongs to no running request.
    std::uint64_t m_reading = 0; ///< The number of the latest read.
    bool m_isReading = false;
    std::uint32_t m_missedReads = 0; ///< Consecutive reads without a reply.
    Instant m_nextReadAt; ///< When to read next, or when the current read times out.

    Instant m_announcedAt; ///< When gateways should know the engine's current run.

    std::uint64_t m_headroom = 0;
    std::optional<EngineHeadroom> m_lastSent;
    Instant m_lastSentAt;
    Effects m_effects;
};

} // namespace wrenhinge
