/** \file
 * Messages about streams that callers may resume: from gateways to the processes that hold the streams' origins, and back.
 */
#pragma once

#include "message/MessageTypes.h"

#include <compare>
#include <optional>

namespace wrenhinge {

/// Which replicas may continue a stream: those of this service that run this version of their software.
struct StreamOrigin {
    std::string service;
    std::string softwareVersion;
    auto operator<=>(const StreamOrigin&) const = default;
    MSGPACK_DEFINE(service, softwareVersion)
};

/// A stream has begun. Sent before its first event is passed on to the caller.
struct StreamRecord {
    StreamId stream;
    StreamOrigin origin;
    Duration keepFor {}; ///< How long the caller can still resume it.
    MSGPACK_DEFINE(stream, origin, keepFor)
};

/// From a gateway, at the start of a stream, and for all streams that it has begun when a link comes up.
struct StreamRecords {
    std::vector<StreamRecord> records;
    MSGPACK_DEFINE(records)
};

/// The reply to StreamRecords: the sender holds the records of these streams.
struct StreamRecordsHeld {
    std::vector<StreamId> streams;
    MSGPACK_DEFINE(streams)
};

/// Asks where a stream began.
struct StreamLookup {
    StreamId stream;
    MSGPACK_DEFINE(stream)
};

enum class StreamKnowledge : std::uint8_t {
    Unknown, ///< There is no record of the stream. Another process may have one.
    Known,
    Ambiguous, ///< Records contradict each other: two streams have the same id.
};
template <> struct WireEnum<StreamKnowledge> : WireEnumUpTo<StreamKnowledge::Ambiguous> {
};

/// The reply to StreamLookup.
struct StreamLookupReply {
    StreamId stream;
    StreamKnowledge knowledge = StreamKnowledge::Unknown;
    StreamOrigin origin; ///< If it is known.
    MSGPACK_DEFINE(stream, knowledge, origin)
};

} // namespace wrenhinge
