/** \file
 * Input events and output effects of a gateway's state machine. Plain data, no behaviour.
 */
#pragma once

#include "base/EventCode.h"
#include "message/PeerEvents.h"

#include <string>
#include <variant>
#include <vector>

namespace wrenhinge {

/// A caller's request, parsed from HTTP.
struct CallerRequest {
    std::string account;
    std::string service;
    std::string method;
    std::string target;
    HeaderList headers;
    std::string body;
    bool asksUrgent = false;
    std::string idempotencyKey;
    // Generation only.
    bool isStreamed = false; ///< Tokens are sent as they are generated; otherwise the answer is sent when it is complete.
    std::uint32_t promptTokens = 0;
    std::uint32_t maxTokens = 0;
    std::vector<std::uint64_t> prefixBlocks; ///< Chained hashes of the prompt's leading blocks.
};

/// How a request ended, for metrics and reports.
struct RequestSummary {
    RequestId request;
    std::string service;
    std::string account;
    Priority priority = Priority::Normal;
    ResultCode code = ResultCode::Ok;
    bool isGeneration = false;
    bool metTargets = false; ///< Finished within both latency targets.
    Duration firstToken {};
    Duration tokenInterval {}; ///< Mean over the answer.
    std::uint32_t tokens = 0;
    std::uint64_t prefillTokens = 0; ///< Prompt tokens that prefill engines were asked to compute for it.
    std::uint64_t wastedPrefillTokens = 0; ///< Those of `prefillTokens` whose result was discarded before a token was generated from it.
    std::uint32_t retries = 0;
};

namespace gateway {

    // Events.
    using wrenhinge::PeerDown;
    using wrenhinge::PeerMessage;
    using wrenhinge::PeerUp;
    struct Submit {
        RequestId request;
        CallerRequest caller;
    };
    struct CallerDisconnected {
        RequestId request;
    };
    /// A message with a request's body was not sent, as too much waits for the sidecar already. The sidecar knows nothing of it.
    struct Unsent {
        PeerId to;
        RequestId request;
        Attempt attempt;
    };
    struct Drain { };
    struct Tick { };

    using Event = std::variant<PeerUp, PeerDown, PeerMessage, Submit, CallerDisconnected, Unsent, Drain, Tick>;

    // Effects.
    struct Send {
        PeerId to;
        Message message;
    };
    struct AnswerHead {
        RequestId request;
        int status = 0;
        HeaderList headers;
    };
    struct AnswerData {
        RequestId request;
        std::string bytes;
    };
    struct AnswerEnd {
        RequestId request;
    };
    /// Ends the request with an error. No head was sent before.
    struct AnswerError {
        RequestId request;
        Error error;
    };
    /// Aborts an answer whose head was already sent.
    struct AnswerAborted {
        RequestId request;
        Error error;
    };
    struct Finished {
        RequestSummary summary;
    };
    struct Drained { };

    using Effect = std::variant<Send, AnswerHead, AnswerData, AnswerEnd, AnswerError, AnswerAborted, Finished, Drained, LogEvent>;

} // namespace gateway
} // namespace wrenhinge
