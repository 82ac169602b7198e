/** \file
 * What a sidecar's state machine hears (events) and asks for (effects). Plain data, no behaviour.
 */
#pragma once

#include "base/EventCode.h"
#include "message/PeerEvents.h"

#include <string>
#include <variant>
#include <vector>

namespace wrenhinge {

/// A call for the driver to make to the upstream.
struct UpstreamCall {
    CallId id;
    RequestId request;
    UpstreamKind kind = UpstreamKind::Plain;
    Priority priority = Priority::Normal;
    std::string method;
    std::string path;
    HeaderList headers;
    std::string body;
    std::string kvParams;
};

namespace sidecar {

    // Events.
    using wrenhinge::PeerDown;
    using wrenhinge::PeerMessage;
    using wrenhinge::PeerUp;
    struct CallHead {
        CallId call;
        int status = 0;
        HeaderList headers;
    };
    struct CallData {
        CallId call;
        std::string bytes;
        std::uint32_t tokens = 0;
    };
    struct CallEnd {
        CallId call;
    };
    /// A prefill ended; `kvParams` is the handle of its result.
    struct CallPrefilled {
        CallId call;
        std::string kvParams;
        std::uint32_t cachedTokens = 0;
    };
    /// The call broke off, or the engine refused the caller's request as malformed. `mayHaveRun` is false only if no byte
    /// was sent.
    struct CallFailed {
        CallId call;
        bool mayHaveRun = true;
        ResultCode code = ResultCode::UpstreamFailed;
        bool isDisconnected = false; ///< The connection ended before the answer did: the engine may have ended.
    };
    /// The process is told to leave; or, by an operator, to take no new work for now.
    struct Drain { };
    struct Tick { };

    using Event = std::variant<PeerUp, PeerDown, PeerMessage, CallHead, CallData, CallEnd, CallPrefilled, CallFailed, Drain, Tick>;

    // Effects.
    struct Send {
        PeerId to;
        Message message;
    };
    struct StartCall {
        UpstreamCall call;
    };
    struct AbortCall {
        CallId call;
    };
    /// Frees the memory of a prefill's result at the engine before it expires by itself.
    struct ReleaseResult {
        std::string kvParams;
    };
    /// Nothing is in progress any more after a Drain: the process may end.
    struct Drained { };

    using Effect = std::variant<Send, StartCall, AbortCall, ReleaseResult, Drained, LogEvent>;

} // namespace sidecar
} // namespace wrenhinge
