/** \file
 * The typed messages between wrenhinge's own processes.
 *
 * Each message is a plain struct; `Message` is the closed set of them. Codec.h turns one into bytes. The same
 * structs are events of the state machines in tests, so nothing here knows about sockets. Times in messages are
 * durations from their receipt, never instants.
 */
#pragma once

#include "base/Ids.h"
#include "base/ResultCode.h"
#include "base/Time.h"
#include "message/MsgpackAdaptors.h"
#include "message/TextChange.h"

#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace wrenhinge {

enum class Role : std::uint8_t { Gateway, Sidecar, Controller };
/// What an upstream does for the system.
enum class UpstreamKind : std::uint8_t { Prefill, Decode, Plain };
/// Urgent goes before Normal in every queue.
enum class Priority : std::uint8_t { Urgent, Normal };

template <> struct WireEnum<Role> : WireEnumUpTo<Role::Controller> {
};
template <> struct WireEnum<UpstreamKind> : WireEnumUpTo<UpstreamKind::Plain> {
};
template <> struct WireEnum<Priority> : WireEnumUpTo<Priority::Normal> {
};
template <> struct WireEnum<ResultCode> {
    static bool isKnown(std::int64_t n) { return isResultCode(n); }
};

using HeaderList = std::vector<std::pair<std::string, std::string>>;

// --- Every link -------------------------------------------------------------------------------------------------

/// The first message on a link, both ways: who speaks.
struct Hello {
    PeerId id;
    Role role = Role::Gateway;
    std::string name;
    std::string site;
    std::string zone;
    std::string adminAddress;
    DiskId disk; ///< Controllers only: the identity of the data folder.
    MSGPACK_DEFINE(id, role, name, site, zone, adminAddress, disk)
};

// --- Sidecar to gateway -----------------------------------------------------------------------------------------

/// What a sidecar knows about its upstream at one moment. It rides on every reply and on each lease renewal.
/// The cost model `fixedCost + microsPerToken * tokens` is learnt: for prefill the run, for decode the transfer and
/// first token, for a plain service the call.
struct LoadReport {
    std::uint64_t covered = 0; ///< The highest `sequence` of this gateway's requests that the figures include.
    std::uint32_t slots = 0;
    std::uint32_t occupied = 0; ///< Slots running or granted.
    std::uint32_t queued = 0;
    Duration backlog {}; ///< Predicted time until work that arrives now would start.
    Duration urgentBacklog {}; ///< The same for urgent work.
    Duration fixedCost {};
    double microsPerToken = 0;
    Duration meanHold {}; ///< Learnt mean time that a request holds a slot.
    Duration tokenInterval {}; ///< Decode: learnt mean time between tokens.
    bool draining = false;
    MSGPACK_DEFINE(covered, slots, occupied, queued, backlog, urgentBacklog, fixedCost, microsPerToken, meanHold, tokenInterval, draining)
};

/// Introduces the upstream and renews its lease. Without renewal within `lease` the gateway stops using it.
struct UpstreamAnnouncement {
    std::string service;
    UpstreamKind kind = UpstreamKind::Plain;
    std::string model;
    Duration lease {};
    LoadReport load;
    MSGPACK_DEFINE(service, kind, model, lease, load)
};

/// A decode slot is kept for this request until `validFor` has passed.
struct SlotGrant {
    RequestId request;
    Attempt attempt;
    Duration validFor {};
    LoadReport load;
    MSGPACK_DEFINE(request, attempt, validFor, load)
};

/// The sidecar did not admit this attempt and never will.
struct Refused {
    RequestId request;
    Attempt attempt;
    ResultCode code = ResultCode::Overloaded;
    Duration retryAfter {};
    LoadReport load;
    MSGPACK_DEFINE(request, attempt, code, retryAfter, load)
};

struct PrefillDone {
    RequestId request;
    Attempt attempt;
    std::string kvParams; ///< The engine's kv_transfer_params, JSON, opaque to us.
    std::uint32_t cachedTokens = 0;
    LoadReport load;
    MSGPACK_DEFINE(request, attempt, kvParams, cachedTokens, load)
};

struct ResponseHead {
    RequestId request;
    Attempt attempt;
    int status = 0;
    HeaderList headers;
    MSGPACK_DEFINE(request, attempt, status, headers)
};

/// A piece of the answer at its byte offset: a piece that was lost or crossed shows as a wrong offset.
struct ResponseData {
    RequestId request;
    Attempt attempt;
    std::uint64_t offset = 0;
    std::string bytes;
    std::uint32_t tokens = 0;
    MSGPACK_DEFINE(request, attempt, offset, bytes, tokens)
};

struct ResponseEnd {
    RequestId request;
    Attempt attempt;
    std::uint64_t totalBytes = 0;
    LoadReport load;
    MSGPACK_DEFINE(request, attempt, totalBytes, load)
};

/// An admitted attempt broke off. `mayHaveRun` is false only if no byte went to the upstream.
struct Failed {
    RequestId request;
    Attempt attempt;
    ResultCode code = ResultCode::UpstreamFailed;
    bool mayHaveRun = true;
    LoadReport load;
    bool isDisconnected = false; ///< The upstream closed its connection before the answer was whole: it may have ended.
    MSGPACK_DEFINE(request, attempt, code, mayHaveRun, load, isDisconnected)
};

enum class AttemptState : std::uint8_t { NeverAdmitted, Running, Finished, Interrupted };
template <> struct WireEnum<AttemptState> : WireEnumUpTo<AttemptState::Interrupted> {
};

/// The recorded answer of a keyed request, kept while small.
struct StoredResponse {
    int status = 0;
    HeaderList headers;
    std::string body;
    bool complete = false; ///< False: it ran, but the answer was too large to keep.
    MSGPACK_DEFINE(status, headers, body, complete)
};

/// The answer to Seal: what became of (key, attempt) at this sidecar. NeverAdmitted also means: sealed now.
struct SealReply {
    RequestId request; ///< The asking request.
    std::string key;
    Attempt attempt;
    AttemptState state = AttemptState::NeverAdmitted;
    StoredResponse answer;
    MSGPACK_DEFINE(request, key, attempt, state, answer)
};

// --- Gateway to sidecar -----------------------------------------------------------------------------------------

/// Asks a decode sidecar for a slot, timed to the end of prefill and transfer.
struct SlotRequest {
    RequestId request;
    Attempt attempt;
    std::uint64_t sequence = 0;
    Priority priority = Priority::Normal;
    Duration leadTime {}; ///< Prefill and transfer are expected to take this long after the grant.
    Duration budget {}; ///< The longest wait for the grant that still meets the target.
    std::uint32_t promptTokens = 0;
    std::uint32_t maxTokens = 0;
    MSGPACK_DEFINE(request, attempt, sequence, priority, leadTime, budget, promptTokens, maxTokens)
};

struct PrefillRequest {
    RequestId request;
    Attempt attempt;
    std::uint64_t sequence = 0;
    Priority priority = Priority::Normal;
    Duration budget {}; ///< Refuse when the prefill can't end within this.
    std::uint32_t promptTokens = 0;
    std::uint32_t cachedTokens = 0; ///< The gateway's guess of what the engine's cache holds.
    std::string path;
    std::string body;
    MSGPACK_DEFINE(request, attempt, sequence, priority, budget, promptTokens, cachedTokens, path, body)
};

/// Uses a granted slot; without a grant it is taken only if a slot is likely to be free in time.
struct DecodeRequest {
    RequestId request;
    Attempt attempt;
    std::uint64_t sequence = 0;
    Priority priority = Priority::Normal;
    Duration budget {}; ///< The longest wait for the slot; the prefill's result lives no longer.
    Duration targetWait {}; ///< The longest wait that still meets the target; later, others go first.
    std::uint32_t promptTokens = 0;
    std::uint32_t maxTokens = 0;
    std::string path;
    std::string body;
    std::string kvParams;
    MSGPACK_DEFINE(request, attempt, sequence, priority, budget, targetWait, promptTokens, maxTokens, path, body, kvParams)
};

/// A call to a plain service.
struct Dispatch {
    RequestId request;
    Attempt attempt;
    std::uint64_t sequence = 0;
    PeerId incarnation; ///< The sidecar run that it is meant for; any other refuses it.
    Priority priority = Priority::Normal;
    Duration budget {};
    bool repeatable = true;
    std::string key; ///< The ledger key, or empty.
    std::string method;
    std::string target;
    HeaderList headers;
    std::string body;
    MSGPACK_DEFINE(request, attempt, sequence, incarnation, priority, budget, repeatable, key, method, target, headers, body)
};

/// The caller has gone or the attempt is given up: release all that it holds.
struct Cancel {
    RequestId request;
    Attempt attempt;
    MSGPACK_DEFINE(request, attempt)
};

/// Asks what became of (key, attempt), and forbids its admission from now on if it was never admitted.
struct Seal {
    RequestId request;
    std::string key;
    Attempt attempt;
    MSGPACK_DEFINE(request, key, attempt)
};

// --- Any process and controllers --------------------------------------------------------------------------------

/// Writes an intent to run a keyed request. Accepted only if the key is new, or if `attempt` is exactly one more than
/// the recorded attempt and that one was sealed unadmitted.
struct IntentCommand {
    std::string key;
    std::uint64_t fingerprint = 0; ///< Hash of method, target and body: a key reused for other content is refused.
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

/// A change of configuration: entries to set and to remove.
struct ConfigCommand {
    std::uint64_t number = 0; ///< The operator's number: must be above the last accepted one.
    std::string changeId; ///< Unique for the change: a resend is recognised by it.
    std::string author;
    std::map<std::string, std::string> puts;
    std::vector<std::string> removes;
    MSGPACK_DEFINE(number, changeId, author, puts, removes)
};

/// Takes the next fencing token for orders to one upstream.
struct FenceCommand {
    std::string upstream;
    std::string orderId;
    MSGPACK_DEFINE(upstream, orderId)
};

/// The entry that a new leader commits first, so that entries of earlier terms commit with it.
struct NoopCommand {
    std::uint64_t unused = 0;
    MSGPACK_DEFINE(unused)
};

/// Replaces the disk that counts for a controller after the old one was lost. It votes again once committed.
struct ReplaceDiskCommand {
    std::string name;
    DiskId disk;
    std::string zone {}; ///< Where the controller is, so that a leader that never met it can spread the members; empty: not known.
    MSGPACK_DEFINE(name, disk, zone)
};

/// Replaces the whole routing document, if `version` is above the one in force. The text is as its author sent it: whole, or as a
/// change of the document that was in force where it was proposed.
struct DocumentCommand {
    std::uint64_t version = 0;
    std::string text; ///< Empty if there is a base.
    std::uint64_t base = 0; ///< The version that `change` applies to; zero: none.
    TextChange change {};
    MSGPACK_DEFINE(version, text, base, change)

    /// Bytes that it takes, about.
    [[nodiscard]] std::size_t size() const { return text.size() + change.size(); }
};

/// The members that vote from this entry on. At most one is added or removed by one entry.
struct MembersCommand {
    std::vector<std::string> names;
    MSGPACK_DEFINE(names)
};

using Command = std::variant<NoopCommand, ConfigCommand, IntentCommand, OutcomeCommand, FenceCommand, ReplaceDiskCommand, DocumentCommand,
    MembersCommand>;

/// Asks a controller to commit a command. `proposal` pairs the reply.
struct Propose {
    std::uint64_t proposal = 0;
    Command command;
    MSGPACK_DEFINE(proposal, command)
};

enum class LedgerState : std::uint8_t { None, Accepted, Exists, Mismatch };
template <> struct WireEnum<LedgerState> : WireEnumUpTo<LedgerState::Mismatch> {
};

/// What a keyed request's ledger entry says.
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
    PeerId leader; ///< With ConfigUnavailable: who to ask instead, if known.
    std::uint64_t number = 0; ///< Config: the version; fence: the token.
    LedgerView ledger;
    MSGPACK_DEFINE(proposal, code, text, leader, number, ledger)
};

/// Asks to follow the configuration from `have` on.
struct Watch {
    ConfigVersion version;
    MSGPACK_DEFINE(version)
};

/// The step from version `from` to `to`; `from` zero means a whole snapshot.
struct ConfigDelta {
    ConfigVersion from;
    ConfigVersion to;
    std::uint64_t number = 0;
    std::map<std::string, std::string> puts;
    std::vector<std::string> removes;
    bool confirmed = false; ///< A majority confirmed at the time that nothing newer had been accepted.
    MSGPACK_DEFINE(from, to, number, puts, removes, confirmed)
};

/// A watcher's report of what is in force at it.
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
    std::uint64_t round = 0; ///< Names the heartbeat round, for linearizable reads and check-quorum.
    std::vector<LogEntry> entries;
    MSGPACK_DEFINE(term, previousIndex, previousTerm, commit, round, entries)
};

struct AppendReply {
    std::uint64_t term = 0;
    bool accepted = false;
    std::uint64_t match = 0; ///< Accepted: the last index that is durable here. Else: a hint where to try.
    std::uint64_t round = 0;
    DiskId disk;
    bool isVoter = false; ///< The sender knows that the log has registered its disk.
    MSGPACK_DEFINE(term, accepted, match, round, disk, isVoter)
};

/// A piece of a snapshot; `done` marks the last one.
struct SnapshotChunk {
    std::uint64_t term = 0;
    std::uint64_t lastIndex = 0;
    std::uint64_t lastTerm = 0;
    std::uint64_t offset = 0;
    std::string bytes;
    bool done = false;
    MSGPACK_DEFINE(term, lastIndex, lastTerm, offset, bytes, done)
};

/// How much of the snapshot that ends at `lastIndex` has come.
struct SnapshotReply {
    std::uint64_t term = 0;
    std::uint64_t lastIndex = 0;
    std::uint64_t received = 0;
    DiskId disk;
    MSGPACK_DEFINE(term, lastIndex, received, disk)
};

// --- Where gateways call upstreams themselves ------------------------------------------------------------------------

enum class ReplicaState : std::uint8_t { Ready, Draining };
template <> struct WireEnum<ReplicaState> : WireEnumUpTo<ReplicaState::Draining> {
};

/// What a replica says of itself. After a restart it comes under another id or, with a later start, under its own; also at the same
/// address.
struct Announcement {
    std::string id;
    std::string service;
    std::string address;
    std::string zone;
    std::string softwareVersion;
    std::uint32_t slots = 0;
    ReplicaState state = ReplicaState::Ready;
    UpstreamKind kind = UpstreamKind::Plain;
    Duration coldLeft {}; ///< It stays slow for this long after its start.
    std::uint64_t sequence = 0; ///< Orders the announcements of one run: a late one is older than what is known.
    ReplicaStart start {};
    [[nodiscard]] ReplicaRun run() const { return { id, start }; }
    MSGPACK_DEFINE(id, service, address, zone, softwareVersion, slots, state, kind, coldLeft, sequence, start)
};

/// A replica's announcement, passed on by the controller that received it or heard of it.
struct RelayedAnnouncement {
    Announcement announcement;
    Duration age {}; ///< Since it was received.
    MSGPACK_DEFINE(announcement, age)
};

/// This run of the replica has ended and never comes back, nor do those before it.
struct ReplicaWithdrawn {
    std::string id;
    ReplicaStart start {};
    [[nodiscard]] ReplicaRun run() const { return { id, start }; }
    MSGPACK_DEFINE(id, start)
};

/// Renews the replicas' runs, and says how many gateways share the retry budget. It goes over every link once a second, so to gateways it
/// names only the runs that were not heard of lately; a gateway that knows the same runs, by the digest, renews all others. The starts are
/// told as their distance from the earliest of them: 5 bytes a replica, and not 10, for replicas that started within 49 days of each other.
struct RegistryHeartbeat {
    std::map<std::string, Duration> ages; ///< Since each run was heard of, by id.
    std::uint32_t gateways = 0;
    ReplicaStart earliestStart {};
    std::vector<std::uint64_t> startOffsets {}; ///< In the order of `ages`: milliseconds from `earliest` to the run's start.
    std::uint64_t digest = 0; ///< Of what the sender knows of all replicas; zero from a release that does not say.
    std::uint32_t known = 0; ///< How many replicas these are.
    MSGPACK_DEFINE(ages, gateways, earliestStart, startOffsets, digest, known)
};

/// How many replicas' worth of work one gateway has kept a service's engines busy with, on average since its last report.
struct StageLoad {
    double prefill = 0;
    double decode = 0;
    Duration stageChange {}; ///< A replica that changes its stage is away for this long.
    MSGPACK_DEFINE(prefill, decode, stageChange)
};

/// From a gateway to controllers, once a second while there is such work; by service.
struct EngineLoadReport {
    std::map<std::string, StageLoad> services;
    MSGPACK_DEFINE(services)
};

/// A replica was ordered to change its stage. It takes no work until it announces the new one.
struct StageChange {
    std::string id;
    UpstreamKind to = UpstreamKind::Decode;
    Duration lasts {}; ///< From now on, at most.
    ReplicaStart start {}; ///< Of the run that was ordered.
    MSGPACK_DEFINE(id, to, lasts, start)
};

/// Asks a controller for all that it knows of replicas, as the digests differ.
struct RegistryRequest {
    std::uint64_t digest = 0; ///< Of what the sender knows.
    MSGPACK_DEFINE(digest)
};

/// All that a controller knows of replicas.
struct RegistryList {
    std::vector<RelayedAnnouncement> known;
    std::vector<StageChange> changing;
    std::vector<ReplicaWithdrawn> ended;
    MSGPACK_DEFINE(known, changing, ended)
};

/// A controller holds this version of the routing document; gateways ask one of those that offer it.
struct DocumentOffer {
    std::uint64_t version = 0;
    bool isCurrent = false; ///< The controller hears a leader and has applied all that this one has committed.
    MSGPACK_DEFINE(version, isCurrent)
};

/// The peer addresses of all controllers that the sender knows.
struct ControllerRoster {
    std::vector<std::string> addresses;
    MSGPACK_DEFINE(addresses)
};

/// Asks the leader for the index that a linearizable read must have applied.
struct ReadIndex {
    std::uint64_t ticket = 0;
    MSGPACK_DEFINE(ticket)
};

struct ReadIndexReply {
    std::uint64_t ticket = 0;
    bool isConfirmed = false;
    std::uint64_t index = 0;
    MSGPACK_DEFINE(ticket, isConfirmed, index)
};

/// Asks a controller for what leads from the version that a gateway holds to `version`.
struct DocumentRequest {
    std::uint64_t version = 0;
    std::uint64_t held = 0; ///< Zero: none.
    std::uint64_t offset = 0; ///< Bytes that have come already.
    MSGPACK_DEFINE(version, held, offset)
};

/// A part of the steps (DocumentStep) from `base` to `version`.
struct DocumentPart {
    std::uint64_t version = 0;
    std::uint64_t base = 0;
    std::uint64_t offset = 0;
    std::uint64_t total = 0; ///< Bytes of all parts.
    std::string bytes;
    MSGPACK_DEFINE(version, base, offset, total, bytes)
};

// --- Where a sidecar watches the memory of an engine that gateways call themselves ------------------------------------

/// From a gateway to a sidecar: asks for a slot and memory at its engine.
struct ReservationRequest {
    RequestId request;
    Attempt attempt;
    std::string run; ///< What the engine will call the request.
    std::uint32_t promptTokens = 0;
    std::uint32_t expectedTokens = 0; ///< Of the answer, as its caller expects.
    std::uint32_t maxTokens = 0; ///< Of the answer, at most.
    std::uint32_t slots = 0; ///< Requests that the engine runs at once.
    MSGPACK_DEFINE(request, attempt, run, promptTokens, expectedTokens, maxTokens, slots)
};

struct ReservationReply {
    RequestId request;
    Attempt attempt;
    bool isGranted = false;
    std::uint64_t headroom = 0; ///< As in EngineHeadroom, with this reservation counted.
    MSGPACK_DEFINE(request, attempt, isGranted, headroom)
};

/// From a gateway: the request has ended at the engine, or will not go there.
struct ReservationEnd {
    RequestId request;
    bool isComplete = false; ///< Its answer came to its end.
    bool hasFailed = false; ///< It was sent there and nothing came of it.
    MSGPACK_DEFINE(request, isComplete, hasFailed)
};

/// From a gateway to a sidecar: a prefill was sent to its engine, or has ended there.
struct PrefillNotice {
    RequestId request;
    std::uint32_t promptTokens = 0;
    bool hasEnded = false;
    MSGPACK_DEFINE(request, promptTokens, hasEnded)
};

/// From a sidecar to all gateways.
struct EngineHeadroom {
    std::string address; ///< The engine's.
    std::uint64_t tokens = 0; ///< That its KV memory can take beyond what its answers are expected to need; zero: it takes no request.
    std::uint64_t prefillBacklog = 0; ///< Tokens of the prompts that were sent there and are not read yet.
    MSGPACK_DEFINE(address, tokens, prefillBacklog)
};

// --- Requests that crash the replicas which run them ------------------------------------------------------------------

/// The replica crashed while it worked on the request, as far as the sender can tell.
struct ReplicaCrash {
    RequestFingerprint request;
    std::string replica;
    ReplicaStart start {}; ///< Of the replica's run.
    Duration age {}; ///< Since then.
    Duration ranFor {}; ///< From the sending of the request to the crash.
    [[nodiscard]] ReplicaRun run() const { return { replica, start }; }
    MSGPACK_DEFINE(request, replica, start, age, ranFor)
};

/// The request was answered whole: what crashed under it before did not crash of it.
struct ServedAfterCrash {
    RequestFingerprint request;
    Duration age {}; ///< Since the answer.
    MSGPACK_DEFINE(request, age)
};

/// From gateways to controllers, between controllers, and from these to gateways.
struct CrashReport {
    std::vector<ReplicaCrash> crashes;
    std::vector<ServedAfterCrash> served;
    [[nodiscard]] bool isEmpty() const { return crashes.empty() && served.empty(); }
    MSGPACK_DEFINE(crashes, served)
};

// --- What client accounts use of their limits -------------------------------------------------------------------------

/// What one gateway has admitted for an account since it reported last; negative where more was given back.
struct AccountUsage {
    AccountId account;
    double amount = 0;
    double perSecond = 0; ///< The account's limit.
    bool asksForTotal = false; ///< The gateway uses more than it may without hearing of the others.
    double reservedPerSecond = 0; ///< Of the limit, as this gateway was told last.
    MSGPACK_DEFINE(account, amount, perSecond, asksForTotal, reservedPerSecond)
};

/// Gateways that share the limits, as one controller sees them.
struct GatewayCounts {
    std::uint32_t all = 0;
    std::uint32_t notReporting = 0; ///< Of these; a part of each limit is set aside for them.
    MSGPACK_DEFINE(all, notReporting)
};

/// From a gateway to all controllers: soon after it has used much, and twice a second.
struct QuotaReport {
    std::vector<AccountUsage> uses;
    bool wantsTotals = false; ///< The gateway goes by this controller's totals.
    bool asksForAll = false; ///< It does not know which accounts are busy.
    GatewayCounts knownGateways; ///< By the controller whose totals it went by last, for one that has just started.
    MSGPACK_DEFINE(uses, wantsTotals, asksForAll, knownGateways)
};

/// What all other gateways have used.
struct AccountTotal {
    AccountId account;
    double othersUsage = 0; ///< Since the last time that this gateway was told, or of the last moments if that is longer ago.
    double othersPerSecond = 0;
    double reservedPerSecond = 0; ///< Of the limit, for gateways that the sender does not hear.
    bool isBusy = false; ///< More will be told soon.
    MSGPACK_DEFINE(account, othersUsage, othersPerSecond, reservedPerSecond, isBusy)
};

/// From a controller to the gateways that go by its totals, while accounts are near their limits.
struct QuotaTotals {
    std::vector<AccountTotal> totals;
    bool isComplete = false; ///< No other account is busy.
    GatewayCounts gateways;
    MSGPACK_DEFINE(totals, isComplete, gateways)
};

using Message = std::variant<Hello, UpstreamAnnouncement, SlotGrant, Refused, PrefillDone, ResponseHead, ResponseData, ResponseEnd, Failed,
    SealReply, SlotRequest, PrefillRequest, DecodeRequest, Dispatch, Cancel, Seal, Propose, ProposeReply, Watch, ConfigDelta, ConfigApplied,
    VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotChunk, SnapshotReply, RelayedAnnouncement, ReplicaWithdrawn,
    RegistryHeartbeat, DocumentOffer, ControllerRoster, ReadIndex, ReadIndexReply, EngineLoadReport, StageChange, DocumentRequest,
    DocumentPart, ReservationRequest, ReservationReply, ReservationEnd, EngineHeadroom, PrefillNotice, RegistryRequest, RegistryList,
    CrashReport, QuotaReport, QuotaTotals>;

} // namespace wrenhinge
