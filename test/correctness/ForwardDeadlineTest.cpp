/** \file
 * Tests that each deadline of a forwarded request acts at its own instant, whatever other deadlines the request has or had.
 */
#include "ForwardBench.h"

#include <array>
#include <map>
#include <random>
#include <rapidcheck.h>

using namespace wrenhinge;
using namespace wrenhinge::forward;
using namespace wrenhinge::bench;

namespace {

constexpr PeerId holder { 70 };
constexpr Duration streamStallTimeout = 1400ms;
constexpr Duration reservationReplyTimeout = 120ms;
constexpr Duration prefillTimeout = 600ms;
constexpr Duration slowAnswerTimeout = 55ms; ///< 0.55 of the target of `/often/`.

Bench& withEngines(Bench& bench)
{
    bench.serve();
    for (const auto* id : { "d1", "d2", "d3" })
        bench.replica(id, UpstreamKind::Decode);
    for (const auto* id : { "p1", "p2" })
        bench.replica(id, UpstreamKind::Prefill);
    for (const auto* id : { "a", "b", "c" })
        bench.replica(id);
    bench.post(StreamHolderConnected { holder, Role::Controller, "zone-1" });
    bench.now += StreamDirectoryClient::settlingTime;
    return bench;
}

RequestId submitStream(Bench& bench, const std::string& callerId, std::optional<std::string> resumed = {})
{
    RequestMetadata request;
    request.callerRequestId = callerId;
    if (resumed)
        request.resumeAfter = 1;
    request.resumedRequest = std::move(resumed);
    return bench.submit("/resumable/x", 14s, {}, "", request);
}

void sendEvent(Bench& bench, const RequestId& id, Attempt attempt, int n)
{
    bench.post(AnswerBody { id, attempt, "id: " + std::to_string(n) + "\ndata: a\n\n" });
}

void confirmRecord(Bench& bench, const std::string& callerId)
{
    bench.post(StreamRecordsConfirmed { holder, { { streamIdOf("", callerId) } } });
}

/// A stream with one event, whose record the holder has confirmed after a while.
Send beginStream(Bench& bench, Duration confirmedAfter)
{
    auto send = bench.run(submitStream(bench, "q1"));
    bench.streamHead(send);
    sendEvent(bench, send.id, send.attempt, 1);
    bench.wait(confirmedAfter);
    confirmRecord(bench, "q1");
    CHECK(bench.effects<StreamBytes>().size() == 1);
    return send;
}

/// Wakes the logic as a process does, until the time has passed. \returns when it first cancelled a call.
std::optional<Instant> firstCancel(Bench& bench, Duration time)
{
    auto end = bench.now + time;
    while (bench.logic().nextWake() <= end) {
        bench.wait(std::max(bench.logic().nextWake() - bench.now, Duration::zero()));
        if (!bench.effects<CancelCall>().empty())
            return bench.now;
    }
    bench.now = end;
    return std::nullopt;
}

} // namespace

TEST_CASE("a stream whose first event was held for its record is resumed only when it has stalled")
{
    // Guards against a second run beside one that progresses: the end of the hold was taken for a stall.
    for (auto confirmedAfter : { 0ms, 1ms, 50ms, 99ms }) {
        Bench bench;
        auto send = beginStream(withEngines(bench), confirmedAfter);
        auto eventAt = bench.now - confirmedAfter;
        CHECK(firstCancel(bench, 2s) == eventAt + streamStallTimeout);
        CHECK(bench.only<Send>().replica.id != send.replica.id);
    }
}

TEST_CASE("a stream whose events are further apart than the hold of its first one stays at its replica")
{
    Bench bench;
    auto send = beginStream(withEngines(bench), 1ms);
    for (int n = 2; n < 20; ++n) {
        CHECK_FALSE(firstCancel(bench, 200ms));
        sendEvent(bench, send.id, send.attempt, n);
        CHECK(bench.effects<StreamBytes>().size() == 1);
    }
}

TEST_CASE("the prefill of an idempotent request to an engine has its whole time")
{
    // Guards against a prefill that is given up when a call that runs a request would count as slow.
    Bench bench;
    auto changed = document(2);
    auto idempotent = route("/stream/idempotent/", "engine", Repeatability::Idempotent, 2);
    idempotent.target = 200ms;
    changed.routes.push_back(idempotent);
    withEngines(bench).post(DocumentReceived { changed, true });
    bench.submit("/stream/idempotent/x", 14s);
    auto reserve = bench.only<ReserveAtReplica>();
    auto askedAt = bench.now;
    CHECK(firstCancel(bench, 1s) == askedAt + reservationReplyTimeout);
    reserve = bench.only<ReserveAtReplica>();
    bench.post(ReservationGranted { reserve.id, reserve.attempt, "reservation-1" });
    REQUIRE(bench.only<Send>().isPrefill);
    auto sentAt = bench.now;
    CHECK(firstCancel(bench, 1s) == sentAt + prefillTimeout);
}

TEST_CASE("a request that waits for a reservation is refused at its deadline, also if it could still meet its target")
{
    // Guards against a caller that is kept waiting, and a prefill that is sent, after its deadline.
    Bench bench;
    auto changed = document(2);
    changed.services.back().maxConnections = 1;
    bench.serve().replica("d1", UpstreamKind::Decode).post(DocumentReceived { changed, true });
    bench.submit("/stream/x", 14s);
    auto reserve = bench.only<ReserveAtReplica>();
    bench.post(ReservationGranted { reserve.id, reserve.attempt, "reservation-1" });
    bench.submit("/resumable/x", 300ms);
    CHECK(bench.effects<ReserveAtReplica>().empty());
    auto end = bench.now + 300ms;
    while (bench.now < end && bench.effects<Refuse>().empty())
        bench.wait(std::max(std::min(bench.logic().nextWake(), end) - bench.now, Duration::zero()));
    CHECK(bench.now == end);
    CHECK(httpStatusOf(bench.only<Refuse>().error.code) == 503);
}

namespace {

/// A gateway's calls under random events, each checked against the deadline of what it is for.
class Calls {
public:
    Calls() { withEngines(m_bench); }

    void play(int choice, std::size_t pick, Duration pause)
    {
        act(choice, pick);
        observe(false);
        auto end = m_bench.now + pause;
        constexpr int wakesPerPause = 2000;
        for (int i = 0; m_bench.logic().nextWake() <= end; ++i) {
            RC_ASSERT(i < wakesPerPause);
            m_bench.wait(std::max(m_bench.logic().nextWake() - m_bench.now, Duration::zero()));
            observe(true);
        }
        m_bench.wait(end - m_bench.now);
        observe(true);
    }

private:
    enum class Purpose : std::uint8_t { Reservation, Prefill, Answer, Stream };
    struct Call {
        Attempt attempt;
        Purpose purpose;
        Instant since; ///< When it was sent, or its last event arrived.
        int events = 0;
        bool hasHead = false;
    };
    struct Request {
        Instant deadline;
        bool isOnce = false;
        std::string callerId {};
        int lastEvent = 0;
        bool hasStarted = false;
    };

    void submit(const std::string& path, Duration timeout)
    {
        auto id = m_bench.submit(path, timeout);
        m_requests[id] = { m_bench.now + timeout, path == "/once/x" };
    }
    void submitNamed(std::optional<std::string> resumed)
    {
        auto callerId = "q" + std::to_string(++m_names);
        bool isResumed = resumed.has_value();
        auto id = submitStream(m_bench, callerId, std::move(resumed));
        m_requests[id] = { m_bench.now + 14s, false, callerId, isResumed ? 1 : 0 };
    }

    void act(int choice, std::size_t pick)
    {
        if (choice == 0)
            return submitNamed({});
        if (choice == 1)
            return submit("/often/x", 600ms);
        if (choice == 2)
            return submit("/once/x", 600ms);
        if (choice == 3)
            return submitNamed("q" + std::to_string(1 + pick % 8));
        if (choice == 4)
            return replyToLookup("q" + std::to_string(1 + pick % 8), pick % 3);
        if (choice == 5)
            return pick % 2 ? m_bench.post(PeerDisconnected { holder })
                            : m_bench.post(StreamHolderConnected { holder, Role::Controller, "zone-1" });
        if (m_calls.empty())
            return m_bench.post(Tick {});
        auto& [id, call] = *std::next(m_calls.begin(), static_cast<std::ptrdiff_t>(pick % m_calls.size()));
        if (choice == 6) {
            m_bench.post(CallerDisconnected { id });
            m_calls.erase(RequestId(id));
        } else if (choice == 7) {
            fail(id, Call(call));
        } else if (choice < 12) {
            confirmRecord(m_bench, m_requests.at(id).callerId);
        } else {
            answer(id, call);
        }
    }

    void replyToLookup(const std::string& callerId, bool isKnown)
    {
        auto knowledge = isKnown ? StreamKnowledge::Known : StreamKnowledge::Unknown;
        m_bench.post(StreamLookupReplied { holder, { streamIdOf("", callerId), knowledge, { "engine", "v1" } } });
    }

    void fail(RequestId id, const Call& call)
    {
        m_calls.erase(id);
        if (call.purpose == Purpose::Reservation)
            m_bench.post(ReservationRefused { id, call.attempt, true });
        else if (call.purpose == Purpose::Prefill)
            m_bench.post(PrefillFailed { id, call.attempt, true, false });
        else
            m_bench.post(CallFailed { id, call.attempt, call.events > 0, "reset" });
    }

    void answer(RequestId id, Call& call)
    {
        auto attempt = call.attempt;
        if (call.purpose == Purpose::Reservation) {
            m_calls.erase(id);
            m_bench.post(ReservationGranted { id, attempt, "reservation" });
        } else if (call.purpose == Purpose::Prefill) {
            m_calls.erase(id);
            m_bench.post(PrefillFinished { id, attempt, "kv" });
        } else if (call.purpose == Purpose::Answer) {
            m_calls.erase(id);
            m_bench.answer(Send { id, attempt, {}, {}, {}, {}, false, {}, {}, {}, {} }, 200);
        } else {
            if (!std::exchange(call.hasHead, true))
                m_bench.streamHead(Send { id, attempt, {}, {}, {}, {}, false, {}, {}, {}, {} });
            call.since = m_bench.now;
            ++call.events;
            auto& request = m_requests.at(id);
            request.hasStarted = true;
            sendEvent(m_bench, id, attempt, ++request.lastEvent);
        }
    }

    void observe(bool isWake)
    {
        for (const auto& cancel : m_bench.effects<CancelCall>()) {
            auto it = m_calls.find(cancel.id);
            if (it == m_calls.end() || it->second.attempt != cancel.attempt)
                continue;
            if (isWake)
                checkCancel(cancel.id, it->second);
            m_calls.erase(it);
        }
        for (const auto& reserve : m_bench.effects<ReserveAtReplica>())
            m_calls[reserve.id] = { reserve.attempt, Purpose::Reservation, m_bench.now };
        for (const auto& send : m_bench.effects<Send>())
            observeSend(send);
        for (const auto& refuse : m_bench.effects<Refuse>())
            m_calls.erase(refuse.id);
    }

    void observeSend(const Send& send)
    {
        auto& request = m_requests.at(send.id);
        bool isStream = !request.callerId.empty();
        auto purpose = send.isPrefill ? Purpose::Prefill : isStream ? Purpose::Stream : Purpose::Answer;
        RC_ASSERT(send.timeLeft > Duration::zero());
        m_calls[send.id] = { send.attempt, purpose, m_bench.now };
    }

    void checkCancel(const RequestId& id, const Call& call)
    {
        const auto& request = m_requests.at(id);
        if (m_bench.now >= request.deadline)
            return;
        auto waited = m_bench.now - call.since;
        RC_ASSERT_FALSE(request.isOnce);
        if (call.purpose == Purpose::Reservation)
            RC_ASSERT(waited >= reservationReplyTimeout);
        else if (call.purpose == Purpose::Prefill)
            RC_ASSERT(waited >= prefillTimeout);
        else if (call.purpose == Purpose::Answer)
            RC_ASSERT(waited >= slowAnswerTimeout);
        else
            RC_ASSERT(request.hasStarted && waited >= streamStallTimeout);
    }

    Bench m_bench;
    std::map<RequestId, Request> m_requests;
    std::map<RequestId, Call> m_calls; ///< In progress.
    int m_names = 0;
};

} // namespace

TEST_CASE("whatever happens to requests, a call is given up on a wake only at the deadline of what it is for")
{
    // Guards against a wake that is acted on by the stage of its request, though another deadline had asked for it.
    CHECK(rc::check("any order of events", [] {
        std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
        constexpr std::array pauses { 0ms, 0ms, 0ms, 0ms, 1ms, 1ms, 5ms, 20ms, 50ms, 55ms, 60ms, 99ms, 100ms, 119ms, 120ms, 250ms, 600ms,
            1400ms };
        Calls calls;
        for (int i = 0; i < 200; ++i)
            calls.play(static_cast<int>(random() % 20), random() % 1000, pauses[random() % pauses.size()]);
    }));
}
