/** \file
 * Which version of a replica's software began each stream that a caller may still resume.
 *
 * What two versions write doesn't fit together, and replicas don't check it, so a stream may continue only at replicas of the service and
 * the version that began it. Its caller resumes it when its gateway has ended or is unreachable, so other processes must know its origin:
 * gateways, controllers and sidecars of engines each have a directory. An origin that is not known never means "any version".
 */
#pragma once

#include "message/Messages.h"

#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace wrenhinge {

/// \param account of the caller; empty: none. \param requestId of the caller's request that brought the first event, as the caller chose
/// it.
StreamId streamIdOf(std::string_view account, std::string_view requestId);

class StreamDirectory {
public:
    /// At about 120 bytes each. If there are more, those that would be dropped first anyway are dropped early.
    static constexpr std::size_t maxStreams = 1u << 19;
    /// Upper limit of StreamRecord::keepFor, which follows from what callers state.
    static constexpr Duration longestRetention = 10min;

    /// Adds a record. If the stream is already known with another origin, it becomes ambiguous.
    void add(const StreamRecord&, Instant now);
    /// The same as the reply to a StreamLookup.
    [[nodiscard]] StreamLookupReply find(StreamId, Instant now) const;
    /// All known streams, from which another process reaches the same state.
    [[nodiscard]] std::vector<StreamRecord> records(Instant now) const;
    void removeExpired(Instant now);
    [[nodiscard]] std::size_t size() const { return m_entries.size(); }

private:
    struct Entry {
        const StreamOrigin* origin = nullptr;
        Instant expiresAt;
        bool isAmbiguous = false;
    };
    void remove(StreamId);

    std::set<StreamOrigin> m_origins; ///< Few, each shared by many entries; never shrinks below those in use.
    std::unordered_map<StreamId, Entry> m_entries;
    std::set<std::pair<Instant, StreamId>> m_byExpiry;
};

} // namespace wrenhinge
