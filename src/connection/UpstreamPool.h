/** \file
 * Kept HTTP/1.1 connections to replicas, and one call at a time over each.
 *
 * What a call must never blur is whether the replica may have run it. A call fails as *not sent* if no byte of it left, else
 * as *may have run*. A kept connection is used again only if the whole request was written, the answer was whole and framed,
 * nothing followed it, and the replica is not about to close it: a request that crosses the replica's idle close is lost
 * without a word, and one that may not be repeated is then answered with a failure. The pool therefore gives a connection up
 * well before the time that the replica states.
 *
 * Everything runs on the strand that the pool is given.
 */
#pragma once

#include "connection/Asio.h"
#include "message/Messages.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace wrenhinge {

/// The head of an answer as it came.
struct UpstreamHead {
    int status = 0;
    HeaderList headers;
};

/// What to do with an answer that has arrived on a connection.
enum class AnswerOwner : std::uint8_t {
    ThisCall,
    FormerCall, ///< A late or second answer to an earlier request: skip it and read on.
};

struct UpstreamCallHandlers {
    std::function<AnswerOwner(const UpstreamHead&)> whose;
    std::function<void(const UpstreamHead&)> onHead;
    std::function<void(std::string)> onBody;
    std::function<void()> onEnd; ///< The whole answer has come.
    std::function<void(bool mayHaveRun, const std::string& why)> onFailure;
};

/// An answer to a call of our own, whole.
struct GatheredAnswer {
    UpstreamHead head;
    std::string body;
};
/// Handlers for a call whose answer is for us and not for a caller: a short text.
UpstreamCallHandlers gather(
    std::function<void(const GatheredAnswer&)> onEnd, std::function<void(bool mayHaveRun, const std::string& why)> onFailure);

/// A request as bytes.
struct UpstreamRequest {
    std::string bytes;
    bool isHead = false; ///< Its answer has no body, whatever its headers say.
};

class UpstreamPool {
public:
    /// A replica answers a new connection within milliseconds; a dark one never does, and its caller still has time then.
    static constexpr Duration connectLimit = 250ms;
    /// Kept connections are given up this long before the replica would close them: several times a round trip.
    static constexpr Duration idleMargin = 700ms;
    /// A replica that states no idle time closes within a second; this is how long its connections are kept.
    static constexpr Duration idleUnstated = 300ms;

    class Connection;
    /// A call. Destroying the handle changes nothing; `cancel` closes the connection at once if the call is still in progress. Its
    /// connection may meanwhile serve another one: cancelled by mistake, that would neither end nor fail.
    struct Call {
        std::weak_ptr<Connection> connection;
        std::uint64_t number = 0; ///< Which call of the connection.
    };

    explicit UpstreamPool(Strand);
    ~UpstreamPool();

    /// \param replica keeps connections of replicas that share an address apart, and those of two runs of one replica: what a former
    /// run still says on its connection is no answer of the newer one.
    Call call(const ReplicaRun& replica, const std::string& address, UpstreamRequest, UpstreamCallHandlers);
    static void cancel(const Call&);
    /// Closes the idle connections of a run that has gone, and of those of its id before it.
    void forget(const ReplicaRun&);
    [[nodiscard]] std::uint64_t opened() const { return m_opened; }

private:
    std::shared_ptr<Connection> takeIdle(const ReplicaRun&);
    void dropIdle(const Connection&);

    Strand m_strand;
    std::map<ReplicaRun, std::list<std::shared_ptr<Connection>>> m_idle;
    std::uint64_t m_opened = 0;
};

} // namespace wrenhinge
