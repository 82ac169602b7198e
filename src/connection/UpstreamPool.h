/** \file
 * A pool of persistent HTTP/1.1 connections to replicas, with one call at a time on each.
 *
 * The pool reports precisely whether the replica may have run a call. A call fails as *not sent* if no byte of it was sent, otherwise as
 * *may have run*. A connection is reused only if the complete request was written, the answer was complete and framed, nothing followed
 * it, and the replica is not about to close the connection: a request that is sent while the replica closes it is lost, and if it may not
 * be repeated, its caller gets a failure. The pool therefore stops using a connection well before the idle timeout that the replica
 * states.
 *
 * A faulty replica may send bytes without end. A call fails once its answer, or what precedes it on the connection, exceeds its limit.
 *
 * Runs on the strand passed to it.
 */
#pragma once

#include "connection/AnswerReader.h"
#include "connection/Asio.h"
#include "message/Messages.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace wrenhinge {

/// What to do with an answer that has arrived on a connection.
enum class AnswerOwner : std::uint8_t {
    ThisCall,
    FormerCall, ///< A late or second answer to an earlier request: skip it and read on.
};

/// Size limit of an answer's body, in bytes. Answers in use have a few thousand.
inline constexpr std::uint64_t maxAnswerBytes = 8u << 20;

struct UpstreamCallHandlers {
    std::optional<Duration> timeLimit {}; ///< The call fails after this long; nothing: its caller cancels it in time.
    std::uint64_t bodyLimit = maxAnswerBytes; ///< In bytes; an answer with a longer body, or a longer stated length, fails the call.
    std::function<AnswerOwner(const UpstreamHead&)> whose;
    std::function<void(const UpstreamHead&)> onHead;
    std::function<void(std::string)> onBody;
    std::function<void()> onEnd; ///< The answer is complete.
    std::function<void(bool mayHaveRun, const std::string& why)> onFailure;
};

/// A complete answer to a call that this process makes for itself.
struct GatheredAnswer {
    UpstreamHead head;
    std::string body;
};
/// Handlers that collect the answer to a call that this process makes for itself.
UpstreamCallHandlers gather(std::function<void(const GatheredAnswer&)> onEnd,
    std::function<void(bool mayHaveRun, const std::string& why)> onFailure, std::optional<Duration> timeLimit = {});

/// A request as bytes.
struct UpstreamRequest {
    std::string bytes; ///< All, or all but `body`.
    std::shared_ptr<const std::string> body {}; ///< Follows `bytes`; shared, as the same request may be sent more than once.
    bool isHead = false; ///< Its answer has no body, whatever its headers say.
};

class UpstreamPool {
public:
    /// A replica accepts a connection within milliseconds. An unreachable one never does, and the caller still has time for another.
    static constexpr Duration connectLimit = 250ms;
    /// Idle connections are dropped this long before the replica would close them: several round trips.
    static constexpr Duration idleMargin = 700ms;
    /// Idle time of connections to a replica that states no timeout; such replicas close them within a second.
    static constexpr Duration idleUnstated = 300ms;

    class Connection;
    /// Handle of a call. Destroying it has no effect; `cancel` closes the connection if the call is still in progress. The number
    /// prevents cancelling a later call on the same connection.
    struct Call {
        std::weak_ptr<Connection> connection;
        std::uint64_t number = 0; ///< Which call of the connection.
    };

    explicit UpstreamPool(Strand);
    ~UpstreamPool();

    /// \param replica connections are kept by run: replicas may share an address, and bytes on a connection to a former run are no
    /// answer of the present one.
    Call call(const ReplicaRun& replica, const std::string& address, UpstreamRequest, UpstreamCallHandlers);
    static void cancel(const Call&);
    /// Closes the idle connections to a run that has ended, and to earlier runs with its id.
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
