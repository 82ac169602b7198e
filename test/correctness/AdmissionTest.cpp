/** \file
 * Admission to an engine's KV memory: the distribution of answer lengths, the memory forecast, the sidecar's admission control and its
 * circuit breaker. Also load shedding at gateways.
 */
#include "request/engine/EngineAdmission.h"
#include "request/forward/LoadShedder.h"

#include <doctest/doctest.h>
#include <queue>
#include <random>

using namespace wrenhinge;
using namespace wrenhinge::admission;

namespace {

constexpr Instant start { std::chrono::seconds(1000) };
constexpr std::uint64_t memory = 78336;
constexpr std::uint32_t slots = 64;
constexpr const char* engineAddress = "10.0.0.1:80";
constexpr PeerId gateway { 7 };

/// A sidecar's admission control, with simulated reports of its engine.
class SidecarHarness {
public:
    SidecarHarness()
        : m_logic({ engineAddress, 2 })
    {
        post(GatewayUp { gateway });
        read();
        // Long enough that gateways know the engine's run.
        for (int i = 0; i < 30; ++i)
            read();
    }

    void post(const Event& event)
    {
        m_effects = m_logic.step(event, now);
        for (const auto& effect : m_effects) {
            if (const auto* read = std::get_if<ReadEngine>(&effect))
                m_reading = read->number;
        }
    }
    /// The next report of the engine is read.
    void read()
    {
        now += EngineAdmission::readInterval;
        post(Tick {});
        answer();
    }
    [[nodiscard]] bool isReading() const
    {
        return std::any_of(
            m_effects.begin(), m_effects.end(), [](const auto& effect) { return std::holds_alternative<ReadEngine>(effect); });
    }
    void answer() { post(EngineRead { m_reading, report }); }
    void miss()
    {
        now += EngineAdmission::readTimeout;
        post(Tick {});
        post(EngineRead { m_reading, std::nullopt });
    }

    bool reserve(std::uint64_t n, std::uint32_t prompt, std::uint32_t expected, std::uint32_t most)
    {
        post(ReservationRequested {
            gateway, { RequestId { PeerId(1), n }, Attempt(1), "r" + std::to_string(n), prompt, expected, most, slots } });
        for (const auto& reply : sent<ReservationReply>())
            return reply.isGranted;
        FAIL("no reply");
        return false;
    }

    template <typename T> std::vector<T> sent() const
    {
        std::vector<T> list;
        for (const auto& effect : m_effects) {
            const auto* send = std::get_if<Send>(&effect);
            if (const auto* message = send ? std::get_if<T>(&send->message) : nullptr)
                list.push_back(*message);
        }
        return list;
    }

    EngineAdmission& logic() { return m_logic; }

    Instant now = start;
    EngineReport report { true, 0, memory, 0, {} };

private:
    EngineAdmission m_logic;
    EngineAdmission::Effects m_effects;
    std::uint64_t m_reading = 0;
};

} // namespace

TEST_CASE("the distribution of lengths is learned from completed answers")
{
    AnswerLengths lengths;
    // The prior: estimates are accurate at the median.
    CHECK(lengths.survival(1000, 0, 1000) == doctest::Approx(0.5).epsilon(0.05));
    CHECK(lengths.survival(1000, 0, 4000) < 0.02);
    CHECK(lengths.survival(1000, 900, 900) == 1);
    // The longer an answer is already, the more likely it reaches a given length.
    CHECK(lengths.survival(1000, 1500, 2000) > lengths.survival(1000, 500, 2000));
    for (int i = 0; i < 600; ++i)
        lengths.record(1000, 2000);
    CHECK(lengths.survival(1000, 0, 1700) > 0.85);
    CHECK(lengths.survival(1000, 0, 2400) < 0.1);
    // An answer that is longer than all observed ones ends as well.
    CHECK(lengths.survival(1, 1000000, 1000001) <= 0.5);
    CHECK(lengths.survival(1, 1000000, 3000000) == 0);
}

TEST_CASE("the joint peak of answers that start at different times is below the sum of their peaks")
{
    AnswerLengths lengths;
    std::vector<MemoryUsage> uses;
    std::uint64_t sumOfPeaks = 0;
    for (std::uint32_t i = 0; i < 9; ++i) {
        uses.push_back({ 5100, i * 600, 5400, 10000 });
        sumOfPeaks += 5100 + 5400;
    }
    auto peak = forecastPeak(uses, lengths, 0);
    CHECK(peak < 0.9 * static_cast<double>(sumOfPeaks));
    // But it is not below their current use, and a safety margin adds to it.
    CHECK(peak >= 9 * 5100 + 36 * 600);
    CHECK(forecastPeak(uses, lengths, 2) > peak);
    CHECK(forecastPeak({}, lengths, 2) == 0);
    // The callers' upper limits, if far above their estimates, change little.
    auto bounded = forecastPeak(uses, lengths, 2);
    for (auto& use : uses)
        use.maxTokens = 4'000'000'000;
    CHECK(forecastPeak(uses, lengths, 2) > 0.95 * bounded);
}

TEST_CASE("an engine is filled up to the joint need of its answers, and hardly ever beyond its memory")
{
    // An overload of requests with prompts of 5,100 tokens and answers of 5,400 tokens, with estimates that are accurate only at the
    // median. With a reservation of the prompt and 1.3 times the estimate for each, 6 requests ran at a time on average. With the forecast
    // 7 to 8 do, and fewer than 2 of 100 reports exceed the capacity of the memory.
    SidecarHarness sidecar;
    std::mt19937_64 random(5);
    std::lognormal_distribution<double> spread(0, 0.35);
    struct Run {
        std::uint32_t prompt = 0;
        std::uint32_t length = 0;
        std::uint32_t generated = 0;
    };
    std::map<std::uint64_t, Run> runs;
    std::uint64_t n = 0;
    double sum = 0;
    int overflows = 0;
    constexpr int reports = 4000;
    constexpr std::uint32_t steps = 78; // In 50 ms, at 1,560 tokens a second.
    for (int i = 0; i < reports; ++i) {
        auto prompt = static_cast<std::uint32_t>(5100 * spread(random));
        auto length = std::min(10000u, static_cast<std::uint32_t>(5400 * spread(random)));
        auto expected = static_cast<std::uint32_t>(length * spread(random));
        if (sidecar.reserve(++n, prompt, expected, 10000))
            runs[n] = { prompt, length, 0 };
        sidecar.report.running.clear();
        sidecar.report.used = 0;
        std::vector<std::uint64_t> ended;
        for (auto& [id, run] : runs) {
            run.generated += steps;
            if (run.generated >= run.length) {
                ended.push_back(id);
                continue;
            }
            auto tokens = run.prompt + run.generated;
            sidecar.report.used += tokens;
            sidecar.report.running.push_back({ "r" + std::to_string(id), tokens, run.generated / 77 });
        }
        for (auto id : ended) {
            runs.erase(id);
            sidecar.post(ReservationEnded { gateway, { RequestId { PeerId(1), id }, true } });
        }
        sidecar.read();
        sum += static_cast<double>(runs.size());
        overflows += sidecar.report.used > memory ? 1 : 0;
    }
    CHECK(sum / reports > 7);
    CHECK(overflows < reports / 50);
}

TEST_CASE("a reservation counts until its request has ended, or until it expires")
{
    SidecarHarness sidecar;
    auto allFree = sidecar.logic().headroom();
    CHECK(allFree == memory);
    REQUIRE(sidecar.reserve(1, 20000, 100, 200));
    CHECK(sidecar.logic().headroom() < allFree - 19000);
    // A duplicate of the request doesn't count twice.
    REQUIRE(sidecar.reserve(1, 20000, 100, 200));
    CHECK(sidecar.logic().running() == 1);
    sidecar.post(ReservationEnded { gateway, { RequestId { PeerId(1), 1 }, false } });
    CHECK(sidecar.logic().headroom() == allFree);
    REQUIRE(sidecar.reserve(2, 20000, 100, 200));
    for (Duration d {}; d <= EngineAdmission::reservationTimeout; d += EngineAdmission::readInterval)
        sidecar.read();
    CHECK(sidecar.logic().headroom() == allFree);
    // When a gateway is lost, its reservations that have not started are released.
    REQUIRE(sidecar.reserve(3, 20000, 100, 200));
    sidecar.post(GatewayDown { gateway });
    CHECK(sidecar.logic().headroom() == allFree);
}

TEST_CASE("memory that others use is not available, and requests without a reservation count with their current use")
{
    SidecarHarness sidecar;
    sidecar.report.used = 70000;
    sidecar.report.running = { { "unknown", 30000, 0 } };
    sidecar.read();
    CHECK(sidecar.logic().running() == 1);
    CHECK(sidecar.logic().headroom() <= memory - 70000);
    CHECK(!sidecar.reserve(1, 9000, 100, 200));
    CHECK(sidecar.reserve(2, 5000, 100, 200));
}

TEST_CASE("an engine with waiting requests has no headroom")
{
    // Guards against requests that an engine refuses after their prefill.
    SidecarHarness sidecar;
    sidecar.report.waiting = 1;
    sidecar.read();
    CHECK(sidecar.logic().headroom() == 0);
    CHECK(!sidecar.reserve(1, 100, 100, 200));
    sidecar.report.waiting = 0;
    sidecar.read();
    CHECK(sidecar.reserve(1, 100, 100, 200));
}

TEST_CASE("a restarted engine gets requests only after its new run was announced")
{
    // Guards against wasted prefills after an engine has crashed and restarted at the same address under another id.
    SidecarHarness sidecar;
    for (std::uint32_t i = 0; i < EngineAdmission::maxMissedReads; ++i)
        sidecar.miss();
    CHECK(sidecar.logic().headroom() == 0);
    CHECK(!sidecar.reserve(1, 100, 100, 200));
    auto back = sidecar.now;
    sidecar.read();
    CHECK(!sidecar.reserve(1, 100, 100, 200));
    while (sidecar.now - back <= EngineAdmission::announcementDelay + EngineAdmission::readInterval)
        sidecar.read();
    CHECK(sidecar.reserve(1, 100, 100, 200));
}

TEST_CASE("a single missed report changes nothing")
{
    SidecarHarness sidecar;
    REQUIRE(sidecar.reserve(1, 20000, 100, 200));
    auto headroom = sidecar.logic().headroom();
    sidecar.miss();
    CHECK(sidecar.logic().headroom() == headroom);
    CHECK(sidecar.reserve(2, 20000, 100, 200));
}

TEST_CASE("the report of a prefill engine is read less often, and a change to the decode stage is detected soon")
{
    SidecarHarness sidecar;
    sidecar.report.isDecode = false;
    sidecar.read();
    auto readsIn = [&sidecar](Duration d) {
        int reads = 0;
        for (auto end = sidecar.now + d; sidecar.now < end;) {
            sidecar.now = sidecar.logic().nextWake();
            sidecar.post(Tick {});
            if (sidecar.isReading()) {
                ++reads;
                sidecar.answer();
            }
        }
        return reads;
    };
    CHECK(readsIn(2s) <= 11);
    CHECK(sidecar.logic().headroom() == 0);
    sidecar.report.isDecode = true;
    readsIn(250ms);
    CHECK(sidecar.logic().headroom() > 0);
    CHECK(readsIn(2s) >= 38);
}

TEST_CASE("headroom and prefill backlog are sent to gateways when they change, and at least once a second")
{
    SidecarHarness sidecar;
    sidecar.now += EngineAdmission::minSendInterval;
    REQUIRE(sidecar.reserve(1, 20000, 100, 200));
    CHECK(sidecar.sent<EngineHeadroom>().size() == 1);
    sidecar.now += EngineAdmission::minSendInterval;
    sidecar.post(PrefillReported { gateway, { RequestId { PeerId(1), 9 }, 5000, false } });
    REQUIRE(sidecar.sent<EngineHeadroom>().size() == 1);
    CHECK(sidecar.sent<EngineHeadroom>().front().prefillBacklog == 5000);
    sidecar.now += EngineAdmission::minSendInterval;
    sidecar.post(PrefillReported { gateway, { RequestId { PeerId(1), 9 }, 5000, true } });
    REQUIRE(sidecar.sent<EngineHeadroom>().size() == 1);
    CHECK(sidecar.sent<EngineHeadroom>().front().prefillBacklog == 0);
    // Without a change, nothing is sent before a second has elapsed.
    auto lastMessageAt = sidecar.now;
    int messages = 0;
    while (sidecar.now - lastMessageAt < EngineAdmission::maxSendInterval) {
        sidecar.read();
        messages += static_cast<int>(sidecar.sent<EngineHeadroom>().size());
    }
    CHECK(messages <= 1);
    CHECK(sidecar.logic().nextWake() > sidecar.now);
}

namespace {

/// Simulates a plain service: replicas that serve `concurrency` requests at a time and queue `queue` more, behind 30 gateways.
struct PlainService {
    static constexpr Duration target = 150ms;
    static constexpr Duration work = 30ms;
    static constexpr Duration networkTime = 15ms; ///< From the gateway to the replica and back to the caller.
    std::size_t concurrency = 6;
    std::size_t queue = 24;

    /// \returns the share of all requests that were answered in time.
    double shareInTime(double perSecond, bool isShedding, Duration length)
    {
        constexpr std::size_t gateways = 30;
        std::vector<LoadShedder> shedders(gateways);
        std::mt19937_64 random(3);
        std::exponential_distribution<double> gap(perSecond);
        std::uniform_real_distribution<double> draw;
        std::priority_queue<Instant, std::vector<Instant>, std::greater<>> freeAt;
        for (std::size_t i = 0; i < concurrency; ++i)
            freeAt.push(start);
        std::deque<Instant> starts;
        struct Answer {
            Instant at;
            std::size_t gateway = 0;
            Duration took {};
            bool operator>(const Answer& other) const { return at > other.at; }
        };
        std::priority_queue<Answer, std::vector<Answer>, std::greater<>> answers;
        int asked = 0;
        int good = 0;
        for (auto now = start; now - start < length; now += fromSeconds(gap(random))) {
            for (; !answers.empty() && answers.top().at <= now; answers.pop())
                shedders.at(answers.top().gateway).noteAnswer("s", answers.top().took, target, answers.top().at);
            while (!starts.empty() && starts.front() <= now)
                starts.pop_front();
            ++asked;
            auto n = static_cast<std::size_t>(draw(random) * gateways);
            auto& shedder = shedders.at(n);
            if (isShedding && draw(random) < shedder.refusedShare("s"))
                continue;
            if (starts.size() >= queue) {
                shedder.noteFull("s", now);
                continue;
            }
            auto begins = std::max(now, freeAt.top());
            freeAt.pop();
            auto endsAt = begins + fromSeconds(toSeconds(work) * (0.5 + draw(random)));
            freeAt.push(endsAt);
            starts.push_back(begins);
            answers.push({ endsAt, n, endsAt - now });
            good += endsAt - now + networkTime <= target ? 1 : 0;
        }
        return static_cast<double>(good) / asked;
    }
};

} // namespace

TEST_CASE("under overload a share of the requests is refused, and most of the others are answered in time")
{
    // One replica of three is left: it can serve 200 requests a second and gets 256.
    PlainService service;
    auto without = service.shareInTime(256, false, 40s);
    auto with = service.shareInTime(256, true, 40s);
    CHECK(without < 0.35);
    CHECK(with > 0.55);
    // Nothing is refused at a load that the replica can serve.
    CHECK(service.shareInTime(120, true, 40s) > 0.99);
}

TEST_CASE("slow answers alone cause no refusals, and refusals end after a surge")
{
    LoadShedder shedder;
    for (int i = 0; i < 200; ++i)
        shedder.noteAnswer("slow", 400ms, 150ms, start + i * 10ms);
    CHECK(shedder.refusedShare("slow") == 0);
    CHECK(shedder.refusedShare("unknown") == 0);
    shedder.noteAnswer("s", 20ms, 150ms, start);
    for (int i = 0; i < 40; ++i) {
        shedder.noteFull("s", start + i * 100ms);
        shedder.noteAnswer("s", 190ms, 150ms, start + i * 100ms);
    }
    shedder.noteAnswer("s", 20ms, 150ms, start + 4s);
    CHECK(shedder.refusedShare("s") > 0.5);
    // Some requests are always admitted: only their answers show that there is capacity again.
    CHECK(shedder.refusedShare("s") < 1);
    for (int i = 0; i < 30; ++i)
        shedder.noteAnswer("s", 20ms, 150ms, start + 4s + i * 10ms);
    CHECK(shedder.refusedShare("s") == 0);
}

// --- Engines that fail all requests -----------------------------------------------------------------------------

namespace {

/// Reserves for a request and reports its end, complete or failed. \returns false if the reservation was refused.
bool reserveAndEnd(SidecarHarness& sidecar, std::uint64_t n, PeerId from, bool isComplete)
{
    if (!sidecar.reserve(n, 1000, 100, 200))
        return false;
    sidecar.post(ReservationEnded { from, { RequestId { PeerId(1), n }, isComplete, !isComplete } });
    return true;
}

constexpr PeerId otherGateway { 8 };

} // namespace

TEST_CASE("an engine that fails all requests gets no more from any gateway")
{
    // Without the shared circuit breaker, each gateway would find out alone, at the cost of a lost request and a wasted prefill.
    SidecarHarness sidecar;
    CHECK(reserveAndEnd(sidecar, 1, gateway, false));
    CHECK(reserveAndEnd(sidecar, 2, otherGateway, false));
    CHECK(reserveAndEnd(sidecar, 3, gateway, false));
    CHECK(!sidecar.reserve(4, 1000, 100, 200));
    sidecar.read();
    CHECK(!sidecar.reserve(4, 1000, 100, 200));
}

TEST_CASE("a failing engine is probed by one request at a time, and used again after the first success")
{
    SidecarHarness sidecar;
    for (std::uint64_t n = 1; n <= EngineCircuitBreaker::failureThreshold; ++n)
        CHECK(reserveAndEnd(sidecar, n, n % 2 ? gateway : otherGateway, false));
    sidecar.now += EngineCircuitBreaker::initialOpenTime;
    sidecar.read();
    CHECK(sidecar.reserve(10, 1000, 100, 200));
    CHECK(!sidecar.reserve(11, 1000, 100, 200));
    sidecar.post(ReservationEnded { gateway, { RequestId { PeerId(1), 10 }, false, true } });
    sidecar.now += EngineCircuitBreaker::initialOpenTime;
    sidecar.read();
    // The breaker stays open for longer after each failed probe.
    CHECK(!sidecar.reserve(12, 1000, 100, 200));
    sidecar.now += EngineCircuitBreaker::initialOpenTime;
    sidecar.read();
    CHECK(reserveAndEnd(sidecar, 12, gateway, true));
    CHECK(sidecar.reserve(13, 1000, 100, 200));
    CHECK(sidecar.reserve(14, 1000, 100, 200));
}

TEST_CASE("an engine stays in use if failures come from one gateway only, or alternate with successes")
{
    SidecarHarness sidecar;
    for (std::uint64_t n = 1; n <= 10; ++n)
        CHECK(reserveAndEnd(sidecar, n, gateway, false));
    SidecarHarness mixed;
    for (std::uint64_t n = 1; n <= 20; ++n)
        CHECK(reserveAndEnd(mixed, n, n % 2 ? gateway : otherGateway, n % 3 == 0));
}

TEST_CASE("a restart of the engine resets its circuit breaker")
{
    SidecarHarness sidecar;
    for (std::uint64_t n = 1; n <= EngineCircuitBreaker::failureThreshold; ++n)
        CHECK(reserveAndEnd(sidecar, n, n % 2 ? gateway : otherGateway, false));
    sidecar.miss();
    sidecar.miss();
    for (int i = 0; i < 40; ++i)
        sidecar.read();
    CHECK(sidecar.reserve(10, 1000, 100, 200));
    CHECK(sidecar.reserve(11, 1000, 100, 200));
}
