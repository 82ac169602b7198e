/** \file
 * Input events and output effects of a sidecar's state machine. Plain data, no behaviour.
 */
#pragma once

#include "base/EventCode.h"
#include "message/PeerEvents.h"
#include "request/fleet/StatedRateLimit.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace wrenhinge {

/// A call that the I/O layer makes to the upstream.
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
        StatedRateLimit rateLimit {};
        std::optional<Duration> rest {}; ///< The upstream has turned the request away and wants no other for so long.
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
        StatedRateLimit rateLimit {};
    };
    /// The call failed before its response was complete, or the engine rejected the request as malformed. `mayHaveRun` is
    /// false only if no byte was sent.
    struct CallFailed {
        CallId call;
        bool mayHaveRun = true;
        ResultCode code = ResultCode::UpstreamFailed;
        bool isDisconnected = false; ///< The connection closed before the response ended: the engine may have crashed.
        std::optional<Duration> rest {}; ///< See CallHead.
    };
    /// The process was asked to shut down: it takes no new work and ends when the work in progress has ended.
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
    /// No work is in progress after a Drain: the process may exit.
    struct Drained { };

    using Effect = std::variant<Send, StartCall, AbortCall, ReleaseResult, Drained, LogEvent>;

} // namespace sidecar
} // namespace wrenhinge
