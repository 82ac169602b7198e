/** \file
 * What a gateway's state machine hears (events) and asks for (effects). Plain data, no behaviour.
 */
#pragma once

#include "base/EventCode.h"
#include "message/PeerEvents.h"

#include <string>
#include <variant>
#include <vector>

namespace wrenhinge {

/// A caller's request after HTTP is off it.
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
    bool isStreamed = false; ///< Token by token; otherwise the whole answer comes at its end.
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
    std::uint64_t wastedPrefillTokens = 0; ///< Of these, the ones whose result never became a token.
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
    struct CallerGone {
        RequestId request;
    };
    struct Drain { };
    struct Tick { };

    using Event = std::variant<PeerUp, PeerDown, PeerMessage, Submit, CallerGone, Drain, Tick>;

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
    /// The final answer is an error; the head was not sent before.
    struct AnswerError {
        RequestId request;
        Error error;
    };
    /// The answer broke off after its head was sent.
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
