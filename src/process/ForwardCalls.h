/** \file
 * The calls of a gateway to replicas: requests of callers, prefills, reservations and releases. Reports what becomes of them as events of
 * ForwardLogic.
 *
 * Runs on the strand passed to it.
 */
#pragma once

#include "base/SystemClock.h"
#include "connection/HttpServer.h"
#include "connection/HttpText.h"
#include "connection/UpstreamPool.h"
#include "process/ForwardAdapter.h"
#include "process/RefusalLog.h"

#include <functional>
#include <string>
#include <utility>

namespace wrenhinge {

template <ForwardAdapter Dialect> class ForwardCalls {
public:
    using Post = std::function<void(const forward::Event&)>;

    /// A replica releases what it holds within milliseconds, and what it does not release expires after about this long.
    static constexpr Duration bestEffortTimeLimit = 2s;

    ForwardCalls(const Strand& strand, RefusalLog& refusals, Post post)
        : m_pool(strand)
        , m_refusals(refusals)
        , m_post(std::move(post))
    {
    }

    /// Sends the caller's request, or its prompt alone. \param callerId the request id that the caller assigned.
    UpstreamPool::Call start(const forward::Send& send, const std::shared_ptr<const HttpRequest>& request, const std::string& callerId)
    {
        auto handlers = send.isPrefill ? prefillHandlers(send, callerId) : answerHandlers(send, callerId);
        handlers.whose = [callerId](const UpstreamHead& head) { return Dialect::whose(head, callerId); };
        handlers.onFailure = [this, id = send.id, attempt = send.attempt](bool mayHaveRun, const std::string& why) {
            m_post(forward::CallFailed { id, attempt, mayHaveRun, why });
        };
        auto out = Dialect::upstreamRequest(*request, send);
        // Keeps the whole request, and so its share of the memory of requests.
        out.body = std::shared_ptr<const std::string>(request, &request->body);
        return m_pool.call(send.replica, send.address, std::move(out), std::move(handlers));
    }

    UpstreamPool::Call start(const forward::ReserveAtReplica& reserve, const std::string& callerId)
    {
        auto onEnd = [this, callerId, id = reserve.id, attempt = reserve.attempt, replica = reserve.replica, calledAt = currentInstant()](
                         const GatheredAnswer& answer) {
            bool isGranted = readControlCallResult(answer, callerId, replica, calledAt).isSuccess;
            auto reservation = isGranted ? Dialect::readPlace(answer.body) : std::nullopt;
            if (isGranted && !reservation)
                m_refusals.note(InputSource::Report, replica.id, "the answer to a reservation request contains no valid reservation id");
            if (reservation)
                m_post(forward::ReservationGranted { id, attempt, std::move(*reservation) });
            else
                m_post(forward::ReservationRefused { id, attempt, true });
        };
        auto onFailure = [this, id = reserve.id, attempt = reserve.attempt](bool, const std::string&) {
            m_post(forward::ReservationRefused { id, attempt, false });
        };
        return m_pool.call(reserve.replica, reserve.address, Dialect::takePlace(reserve), gather(onEnd, onFailure));
    }

    void release(const forward::Reservation& reservation)
    {
        callBestEffort(reservation.replica, reservation.address, Dialect::dropPlace(reservation));
    }
    void release(const forward::KvCacheSource& source) { callBestEffort(source.replica, source.address, Dialect::freePrompt(source)); }

    /// Closes the idle connections to a run that has ended, and to earlier runs with its id.
    void forget(const ReplicaRun& replica) { m_pool.forget(replica); }

private:
    /// Result of a call that the gateway makes for itself, such as a reservation; its answer isn't passed on to the caller.
    struct ControlCallResult {
        bool isSuccess = false;
        bool wasNotRun = false; ///< See AnswerMetadata.
        bool isMisdirected = false; ///< See AnswerMetadata.
    };

    UpstreamCallHandlers answerHandlers(const forward::Send& send, const std::string& callerId)
    {
        UpstreamCallHandlers handlers;
        auto id = send.id;
        auto attempt = send.attempt;
        handlers.onHead = [this, id, attempt, callerId](const UpstreamHead& head) {
            auto headers = head.headers;
            removeConnectionHeaders(headers);
            m_post(forward::AnswerHead { id, attempt, Dialect::readAnswer(head, callerId), std::move(headers) });
        };
        handlers.onBody = [this, id, attempt](std::string bytes) { m_post(forward::AnswerBody { id, attempt, std::move(bytes) }); };
        handlers.onEnd = [this, id, attempt] { m_post(forward::AnswerEnd { id, attempt }); };
        return handlers;
    }

    UpstreamCallHandlers prefillHandlers(const forward::Send& send, const std::string& callerId)
    {
        auto onEnd = [this, callerId, id = send.id, attempt = send.attempt, replica = send.replica, calledAt = currentInstant()](
                         const GatheredAnswer& answer) {
            auto result = readControlCallResult(answer, callerId, replica, calledAt);
            auto handle = result.isSuccess ? Dialect::readPrefill(answer.body) : std::nullopt;
            if (result.isSuccess && !handle)
                m_refusals.note(InputSource::Report, replica.id, "the answer to a prefill contains no valid KV cache handle");
            if (handle)
                m_post(forward::PrefillFinished { id, attempt, std::move(*handle) });
            else
                m_post(forward::PrefillFailed { id, attempt, result.wasNotRun, result.isMisdirected });
        };
        return gather(onEnd, {});
    }

    ControlCallResult readControlCallResult(
        const GatheredAnswer& answer, const std::string& callerId, const ReplicaRun& replica, Instant calledAt)
    {
        auto metadata = Dialect::readAnswer(answer.head, callerId);
        m_post(forward::ReplicaAnswered { replica, metadata, calledAt });
        return { answer.head.status == 200 && !metadata.wasNotRun && !metadata.isStream, metadata.wasNotRun, metadata.isMisdirected };
    }

    /// Releases something at a replica. A failure is ignored: what isn't released expires at the end of its hold time.
    void callBestEffort(const ReplicaRun& replica, const std::string& address, UpstreamRequest request)
    {
        auto handlers = gather([](const GatheredAnswer&) {}, [](bool, const std::string&) {}, bestEffortTimeLimit);
        m_pool.call(replica, address, std::move(request), std::move(handlers));
    }

    UpstreamPool m_pool;
    RefusalLog& m_refusals;
    Post m_post;
};

} // namespace wrenhinge
