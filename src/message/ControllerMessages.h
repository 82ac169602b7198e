/** \file
 * Messages of the replicated log: commands and their replies, configuration for followers, and what controllers say to each other.
 */
#pragma once

#include "message/SidecarMessages.h"
#include "message/TextChange.h"

#include <map>
#include <variant>

namespace wrenhinge {

// --- Any process and controllers --------------------------------------------------------------------------------

/// Records the intent to run a request with an idempotency key, before it is sent. Accepted only if the key is new, or if
/// `attempt` is exactly one more than the recorded attempt and that one was sealed without having been admitted.
struct IntentCommand {
    std::string key;
    std::uint64_t fingerprint = 0; ///< Hash of method, target and body: reuse of a key for other content is refused.
    Attempt attempt;
    PeerId sidecar;
    RequestId request;
    MSGPACK_DEFINE(key, fingerprint, attempt, sidecar, request)
};

struct OutcomeCommand {
    std::string key;
    Attempt attempt;
    AttemptState state = AttemptState::Finished;
    StoredResponse answer;
    MSGPACK_DEFINE(key, attempt, state, answer)
};

/// A configuration change: entries to set and to remove.
struct ConfigCommand {
    std::uint64_t number = 0; ///< Chosen by the operator; must be higher than the last accepted one.
    std::string changeId; ///< Unique for each change, to detect resends.
    std::string author;
    std::map<std::string, std::string> puts;
    std::vector<std::string> removes;
    MSGPACK_DEFINE(number, changeId, author, puts, removes)
};

/// Allocates the next fencing token for orders to one upstream.
struct FenceCommand {
    std::string upstream;
    std::string orderId;
    MSGPACK_DEFINE(upstream, orderId)
};

/// The first entry of a new leader's term: committing it commits the entries of earlier terms.
struct NoopCommand {
    std::uint64_t unused = 0;
    MSGPACK_DEFINE(unused)
};

/// Registers a new disk for a controller that lost its old one. The controller votes again once this is committed.
struct ReplaceDiskCommand {
    std::string name;
    DiskId disk;
    std::string zone {}; ///< For a leader that was never linked to the controller and spreads members over zones; empty: unknown.
    MSGPACK_DEFINE(name, disk, zone)
};

/// Replaces the routing document, if `version` is higher than the active one. It holds the text as its author sent it: in full, or as
/// a delta to the document that was active where it was proposed.
struct DocumentCommand {
    std::uint64_t version = 0;
    std::string text; ///< Empty if `base` is set.
    std::uint64_t base = 0; ///< The version that `change` applies to; zero: none.
    TextChange change {};
    MSGPACK_DEFINE(version, text, base, change)

    /// Approximate size in bytes.
    [[nodiscard]] std::size_t size() const { return text.size() + change.size(); }
};

/// The voting members from this entry on. One entry adds or removes at most one.
struct MembersCommand {
    std::vector<std::string> names;
    MSGPACK_DEFINE(names)
};

using Command = std::variant<NoopCommand, ConfigCommand, IntentCommand, OutcomeCommand, FenceCommand, ReplaceDiskCommand, DocumentCommand,
    MembersCommand>;

/// Asks a controller to commit a command. The reply repeats `proposal`.
struct Propose {
    std::uint64_t proposal = 0;
    Command command;
    MSGPACK_DEFINE(proposal, command)
};

enum class LedgerState : std::uint8_t { None, Accepted, Exists, Mismatch };
template <> struct WireEnum<LedgerState> : WireEnumUpTo<LedgerState::Mismatch> {
};

/// The ledger entry of a request with an idempotency key.
struct LedgerView {
    LedgerState state = LedgerState::None;
    Attempt attempt;
    PeerId sidecar;
    bool finished = false;
    AttemptState outcome = AttemptState::Running;
    StoredResponse answer;
    MSGPACK_DEFINE(state, attempt, sidecar, finished, outcome, answer)
};

struct ProposeReply {
    std::uint64_t proposal = 0;
    ResultCode code = ResultCode::Ok;
    std::string text;
    PeerId leader; ///< With ConfigUnavailable: the controller to ask instead, if known.
    std::uint64_t number = 0; ///< For ConfigCommand the version, for FenceCommand the token.
    LedgerView ledger;
    MSGPACK_DEFINE(proposal, code, text, leader, number, ledger)
};

/// Subscribes to configuration changes after `version`.
struct Watch {
    ConfigVersion version;
    MSGPACK_DEFINE(version)
};

/// The changes from version `from` to `to`; a `from` of zero means a full snapshot.
struct ConfigDelta {
    ConfigVersion from;
    ConfigVersion to;
    std::uint64_t number = 0;
    std::map<std::string, std::string> puts;
    std::vector<std::string> removes;
    bool confirmed = false; ///< A majority confirmed when this was sent that nothing newer had been accepted.
    MSGPACK_DEFINE(from, to, number, puts, removes, confirmed)
};

/// A subscriber reports the configuration version that it has applied.
struct ConfigApplied {
    ConfigVersion version;
    MSGPACK_DEFINE(version)
};

// --- Controller to controller -----------------------------------------------------------------------------------

struct LogEntry {
    std::uint64_t term = 0;
    std::uint64_t index = 0;
    Command command;
    MSGPACK_DEFINE(term, index, command)
};

struct VoteRequest {
    std::uint64_t term = 0;
    std::uint64_t lastIndex = 0;
    std::uint64_t lastTerm = 0;
    bool preVote = false;
    DiskId disk;
    MSGPACK_DEFINE(term, lastIndex, lastTerm, preVote, disk)
};

struct VoteReply {
    std::uint64_t term = 0;
    bool granted = false;
    bool preVote = false;
    DiskId disk;
    MSGPACK_DEFINE(term, granted, preVote, disk)
};

struct AppendRequest {
    std::uint64_t term = 0;
    std::uint64_t previousIndex = 0;
    std::uint64_t previousTerm = 0;
    std::uint64_t commit = 0;
    std::uint64_t round = 0; ///< The number of the heartbeat round, for linearizable reads and check-quorum.
    std::vector<LogEntry> entries;
    MSGPACK_DEFINE(term, previousIndex, previousTerm, commit, round, entries)
};

struct AppendReply {
    std::uint64_t term = 0;
    bool accepted = false;
    std::uint64_t match = 0; ///< If accepted: the last index that is durable here. Else: a hint for the next `previousIndex`.
    std::uint64_t round = 0;
    DiskId disk;
    bool isVoter = false; ///< Whether the sender knows that its disk is registered in the log.
    MSGPACK_DEFINE(term, accepted, match, round, disk, isVoter)
};

/// A chunk of a snapshot; `done` marks the last one.
struct SnapshotChunk {
    std::uint64_t term = 0;
    std::uint64_t lastIndex = 0;
    std::uint64_t lastTerm = 0;
    std::uint64_t offset = 0;
    std::string bytes;
    bool done = false;
    MSGPACK_DEFINE(term, lastIndex, lastTerm, offset, bytes, done)
};

/// How many bytes of the snapshot that ends at `lastIndex` have been received.
struct SnapshotReply {
    std::uint64_t term = 0;
    std::uint64_t lastIndex = 0;
    std::uint64_t received = 0;
    DiskId disk;
    MSGPACK_DEFINE(term, lastIndex, received, disk)
};

} // namespace wrenhinge
