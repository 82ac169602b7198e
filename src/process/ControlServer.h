/** \file
 * The controller's HTTP server: replicas announce themselves to it, and operators write and read routing documents.
 *
 * The dialect defines the format of the calls; their semantics are defined here. A write is acknowledged only once a majority of
 * controllers has it on disk, and a read returns only what is known to be the newest version. If that can't be guaranteed within the time
 * that callers wait, the response is a 503, upon which callers try another controller.
 */
#pragma once

#include "base/SystemClock.h"
#include "connection/HttpServer.h"
#include "process/ControllerRole.h"
#include "process/DescriptorShare.h"
#include "process/MemoryShares.h"
#include "process/RegistryLimits.h"
#include "version/RoutingDocument.h"

#include <optional>
#include <variant>

namespace wrenhinge {

/// Stores a routing document.
struct PutDocument {
    RoutingDocument document;
    std::string text; ///< As received; reads return it unchanged.
};
struct GetDocument { };
/// A replica withdraws permanently.
struct ReplicaWithdrawal {
    std::string id;
    std::optional<ReplicaStart> start; ///< Start of the run that withdraws, if stated.
};
using ControlCall = std::variant<Announcement, ReplicaWithdrawal, PutDocument, GetDocument>;

/// The format of the calls and responses, which depends on the platform.
template <typename D>
concept ControlDialect = requires(const HttpRequest& request, const Error& error, const std::string& text)
{
    {
        D::readControlCall(request)
        } -> std::same_as<Result<ControlCall>>;
    // How long the body of the call may be, or why there is no such call.
    {
        D::bodyLimitOf(request)
        } -> std::same_as<Result<std::size_t>>;
    {
        D::announcementReply()
        } -> std::same_as<std::string>;
    {
        D::errorBody(error)
        } -> std::same_as<std::string>;
};

template <ControlDialect Dialect> class ControlServer {
public:
    /// Callers wait a second for a response. A proposal or a read is retried until this timeout, as an election may be in progress.
    static constexpr Duration responseTimeout = 850ms;
    /// Added to the timeout for each byte of a document: callers wait longer for a large one, and its replication takes longer.
    static constexpr double microsPerByte = 5;
    static constexpr Duration retryInterval = 60ms;
    /// A controller that lags behind the leader sends a change against a version that the leader has replaced. It catches up with the
    /// next heartbeat, after at most 120 ms, unless changes are more frequent than that. After this many attempts the whole text is sent.
    static constexpr int maxDeltaAttempts = 3;
    /// A kept-alive connection is closed if neither an operator nor a replica calls for this long, or for so many of the intervals in which
    /// replicas announce themselves.
    static constexpr Duration idleTime = 10s;
    static constexpr int idleAnnouncements = 3;

    explicit ControlServer(ControllerRole& role)
        : m_role(role)
        , m_server(
              role.strand(), [this](HttpRequest&& request, std::shared_ptr<HttpAnswer> answer) { handle(request, std::move(answer)); },
              [this](const HttpRequest& head) { return decideAtHead(head); },
              [this](const Error& error, const HttpRequest& request) { return noteRefusal(error, request); })
    {
        auto limits = limitsFor(MemoryShares(role.memory()));
        limits.connections = connectionsWithinDescriptors(connectionLimit);
        limits.idleTime = std::max(idleTime, idleAnnouncements * role.registrar().registry().times().interval());
        limits.bodyBytes = std::min(bodyLimit, limits.progressBytes);
        m_server.setLimits(limits);
    }

    Result<std::string> listen(const std::string& address) { return m_server.listen(address); }
    void close() { m_server.closeIdle(); }

private:
    static constexpr std::size_t bodyLimit = 16u << 20;
    /// All replicas of a large site and its operators; the rest of the descriptors is for other processes of this project.
    static constexpr std::size_t connectionLimit = 3000;

    /// A pending proposal or read, retried until it succeeds or times out.
    struct PendingCall {
        std::shared_ptr<HttpAnswer> answer;
        std::shared_ptr<const RequestMemory::Share> memory; ///< Of the request that it is about.
        std::function<void(ControllerRole::ReplyCallback)> send;
        std::function<std::string(const ProposeReply&)> body;
        Instant deadline;
        bool isAnswered = false;
        boost::asio::steady_timer timer;
    };

    HttpServer::HeadDecision decideAtHead(const HttpRequest& head)
    {
        auto bodyLimit = Dialect::bodyLimitOf(head);
        if (!bodyLimit)
            return { noteRefusal(bodyLimit.error(), head) };
        return { std::nullopt, bodyLimit.value() };
    }

    void handle(const HttpRequest& request, std::shared_ptr<HttpAnswer> answer)
    {
        auto call = Dialect::readControlCall(request);
        if (!call)
            return refuse(*answer, request, call.error());
        if (const auto* announcement = std::get_if<Announcement>(&call.value())) {
            if (auto limitReached = m_limits.checkCapacity(m_role.registrar().registry(), *announcement, currentInstant()))
                return refuse(*answer, request, *limitReached);
            m_role.registrar().announce(*announcement);
            answer->reply(200, jsonHeaders(), Dialect::announcementReply());
        } else if (const auto* withdrawal = std::get_if<ReplicaWithdrawal>(&call.value())) {
            if (auto limitReached = RegistryLimits::checkCapacity(m_role.registrar().registry(), withdrawal->id))
                return refuse(*answer, request, *limitReached);
            // The acknowledgement guarantees that the replica receives no more requests. Another controller may know the run and can
            // guarantee that.
            if (!m_role.registrar().withdraw(withdrawal->id, withdrawal->start))
                return reply(*answer, { ResultCode::NoUpstream, "this controller knows no run of this replica" });
            answer->reply(200, jsonHeaders(), Dialect::announcementReply());
        } else if (auto* put = std::get_if<PutDocument>(&call.value())) {
            propose(std::move(*put), request.memory, std::move(answer));
        } else {
            auto body = [](const ProposeReply& reply) { return reply.text; };
            start(
                std::move(answer), nullptr, [this](ControllerRole::ReplyCallback done) { m_role.readDocument(std::move(done)); }, body,
                responseTimeout);
        }
    }

    void propose(PutDocument put, std::shared_ptr<const RequestMemory::Share> memory, std::shared_ptr<HttpAnswer> answer)
    {
        auto timeout = responseTimeout + fromSeconds(static_cast<double>(put.text.size()) * microsPerByte / 1e6);
        DocumentCommand command { put.document.version, std::move(put.text) };
        auto send = [this, command = std::move(command), attempts = 0](ControllerRole::ReplyCallback done) mutable {
            m_role.propose(command, std::move(done), ++attempts > maxDeltaAttempts);
        };
        start(
            std::move(answer), std::move(memory), std::move(send), [](const ProposeReply&) { return std::string("{}"); }, timeout);
    }

    void start(std::shared_ptr<HttpAnswer> answer, std::shared_ptr<const RequestMemory::Share> memory,
        std::function<void(ControllerRole::ReplyCallback)> send, std::function<std::string(const ProposeReply&)> body, Duration timeout)
    {
        auto pending = std::shared_ptr<PendingCall>(new PendingCall { std::move(answer), std::move(memory), std::move(send),
            std::move(body), currentInstant() + timeout, false, boost::asio::steady_timer(m_role.strand(), timeout) });
        pending->timer.async_wait([this, pending](ErrorCode ec) {
            if (!ec)
                finish(*pending, unavailable("timed out waiting for a majority of controllers"));
        });
        attempt(pending);
    }

    void attempt(const std::shared_ptr<PendingCall>& pending)
    {
        pending->send([this, pending](ProposeReply reply) {
            boost::asio::post(m_role.strand(), [this, pending, reply = std::move(reply)] { onReply(pending, reply); });
        });
    }

    void onReply(const std::shared_ptr<PendingCall>& pending, const ProposeReply& reply)
    {
        if (pending->isAnswered)
            return;
        if (reply.code != ResultCode::ConfigUnavailable || currentInstant() + retryInterval >= pending->deadline)
            return finish(*pending, reply);
        auto timer = std::make_shared<boost::asio::steady_timer>(m_role.strand(), retryInterval);
        timer->async_wait([this, pending, timer](ErrorCode ec) {
            if (!ec && !pending->isAnswered)
                attempt(pending);
        });
    }

    static ProposeReply unavailable(const std::string& why)
    {
        ProposeReply reply;
        reply.code = ResultCode::ConfigUnavailable;
        reply.text = why;
        return reply;
    }

    void finish(PendingCall& pending, const ProposeReply& outcome)
    {
        if (std::exchange(pending.isAnswered, true))
            return;
        pending.timer.cancel();
        if (outcome.code != ResultCode::Ok)
            return reply(*pending.answer, { outcome.code, outcome.text });
        auto body = pending.body(outcome);
        if (body.empty())
            return reply(*pending.answer, { ResultCode::ConfigUnavailable, "no configuration has been accepted yet" });
        pending.answer->reply(200, jsonHeaders(), std::move(body));
    }

    static InputSource sourceOf(ResultCode code)
    {
        if (code == ResultCode::BadConfiguration)
            return InputSource::Document;
        return code == ResultCode::UnknownService ? InputSource::OtherCall : InputSource::Announcement;
    }

    /// Counts and words a refusal.
    HttpReply noteRefusal(const Error& error, const HttpRequest& request)
    {
        m_role.refusals().note(sourceOf(error.code), request.method + " " + request.target, error.message);
        return replyOf(error);
    }

    void refuse(HttpAnswer& answer, const HttpRequest& request, const Error& error)
    {
        auto out = noteRefusal(error, request);
        answer.reply(out.status, out.headers, std::move(out.body));
    }

    static HttpReply replyOf(const Error& error) { return { httpStatusOf(error.code), jsonHeaders(), Dialect::errorBody(error) }; }

    static void reply(HttpAnswer& answer, const Error& error)
    {
        auto out = replyOf(error);
        answer.reply(out.status, out.headers, std::move(out.body));
    }

    static HeaderList jsonHeaders() { return { { "Content-Type", "application/json" } }; }

    ControllerRole& m_role;
    HttpServer m_server;
    RegistryLimits m_limits;
};

} // namespace wrenhinge
