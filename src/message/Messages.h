/** \file
 * The typed messages between wrenhinge's own processes.
 *
 * Each message is a plain struct; `Message` is the closed set of them. Codec.h serializes them. Tests pass the same
 * structs to the state machines as events, so nothing here depends on sockets. Times in messages are durations relative
 * to receipt, never instants.
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
/// The stage that an upstream serves: prefill or decode of a model, or a plain service.
enum class UpstreamKind : std::uint8_t { Prefill, Decode, Plain };
/// Urgent requests are served before Normal ones in every queue.
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

/// The first message on a link, in both directions: identifies the sender.
struct Hello {
    PeerId id;
    Role role = Role::Gateway;
    std::string name;
    std::string site;
    std::string zone;
    std::string adminAddress;
    DiskId disk; ///< Controllers only: the identity of the data directory.
    MSGPACK_DEFINE(id, role, name, site, zone, adminAddress, disk)
};

// --- Sidecar to gateway -----------------------------------------------------------------------------------------

/// A snapshot of an upstream's load, included in every reply of its sidecar and in each lease renewal.
/// The cost model `fixedCost + microsPerToken * tokens` is estimated from completed work: for prefill the whole run, for
/// decode the transfer and the first token, for a plain service the call.
struct LoadReport {
    std::uint64_t covered = 0; ///< The highest `sequence` of this gateway's requests that this report accounts for.
    std::uint32_t slots = 0;
    std::uint32_t occupied = 0; ///< Slots in use or granted.
    std::uint32_t queued = 0;
    Duration backlog {}; ///< Predicted queueing delay of work that arrives now.
    Duration urgentBacklog {}; ///< The same for urgent work.
    Duration fixedCost {};
    double microsPerToken = 0;
    Duration meanHold {}; ///< Measured mean time for which a request occupies a slot.
    Duration tokenInterval {}; ///< Decode: measured mean time between tokens.
    bool draining = false;
    MSGPACK_DEFINE(covered, slots, occupied, queued, backlog, urgentBacklog, fixedCost, microsPerToken, meanHold, tokenInterval, draining)
};

/// Registers the upstream with a gateway and renews its lease. The gateway stops using it if it isn't renewed within `lease`.
struct UpstreamAnnouncement {
    std::string service;
    UpstreamKind kind = UpstreamKind::Plain;
    std::string model;
    Duration lease {};
    LoadReport load;
    MSGPACK_DEFINE(service, kind, model, lease, load)
};

/// A decode slot is reserved for this request until `validFor` has elapsed.
struct SlotGrant {
    RequestId request;
    Attempt attempt;
    Duration validFor {};
    LoadReport load;
    MSGPACK_DEFINE(request, attempt, validFor, load)
};

/// The sidecar rejected this attempt and will never admit it.
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
    std::string kvParams; ///< The engine's kv_transfer_params: JSON that wrenhinge doesn't interpret.
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

/// A chunk of the response at its byte offset, so that lost or reordered chunks are detected.
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

/// An admitted attempt failed. `mayHaveRun` is false only if no byte was sent to the upstream.
struct Failed {
    RequestId request;
    Attempt attempt;
    ResultCode code = ResultCode::UpstreamFailed;
    bool mayHaveRun = true;
    LoadReport load;
    bool isDisconnected = false; ///< The upstream closed its connection before the response was complete: its process may have ended.
    MSGPACK_DEFINE(request, attempt, code, mayHaveRun, load, isDisconnected)
};

enum class AttemptState : std::uint8_t { NeverAdmitted, Running, Finished, Interrupted };
template <> struct WireEnum<AttemptState> : WireEnumUpTo<AttemptState::Interrupted> {
};

/// The recorded response to a request with an idempotency key, stored if it is small enough.
struct StoredResponse {
    int status = 0;
    HeaderList headers;
    std::string body;
    bool complete = false; ///< False: the request ran, but its response was too large to store.
    MSGPACK_DEFINE(status, headers, body, complete)
};

/// The reply to Seal: the state of (key, attempt) at this sidecar. NeverAdmitted also means that the attempt is sealed now.
struct SealReply {
    RequestId request; ///< The request that sent the Seal.
    std::string key;
    Attempt attempt;
    AttemptState state = AttemptState::NeverAdmitted;
    StoredResponse answer;
    MSGPACK_DEFINE(request, key, attempt, state, answer)
};

// --- Gateway to sidecar -----------------------------------------------------------------------------------------

/// Requests a slot from a decode sidecar, to be free when prefill and transfer are expected to end.
struct SlotRequest {
    RequestId request;
    Attempt attempt;
    std::uint64_t sequence = 0;
    Priority priority = Priority::Normal;
    Duration leadTime {}; ///< Expected time from the grant to the end of prefill and transfer.
    Duration budget {}; ///< The longest wait for the grant that still meets the latency target.
    std::uint32_t promptTokens = 0;
    std::uint32_t maxTokens = 0;
    MSGPACK_DEFINE(request, attempt, sequence, priority, leadTime, budget, promptTokens, maxTokens)
};

struct PrefillRequest {
    RequestId request;
    Attempt attempt;
    std::uint64_t sequence = 0;
    Priority priority = Priority::Normal;
    Duration budget {}; ///< The sidecar refuses if the prefill can't end within this.
    std::uint32_t promptTokens = 0;
    std::uint32_t cachedTokens = 0; ///< The gateway's estimate of the prompt tokens that the engine has cached.
    std::string path;
    std::string body;
    MSGPACK_DEFINE(request, attempt, sequence, priority, budget, promptTokens, cachedTokens, path, body)
};

/// Uses a granted slot. Without a grant it is admitted only if a slot is likely to be free in time.
struct DecodeRequest {
    RequestId request;
    Attempt attempt;
    std::uint64_t sequence = 0;
    Priority priority = Priority::Normal;
    Duration budget {}; ///< The longest wait for the slot: the prefill's result expires after it.
    Duration targetWait {}; ///< The longest wait that still meets the latency target; after it, other requests are served first.
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
    PeerId incarnation; ///< The incarnation of the sidecar that it is addressed to; any other one refuses it.
    Priority priority = Priority::Normal;
    Duration budget {};
    bool repeatable = true;
    std::string key; ///< The idempotency key in the ledger; empty: none.
    std::string method;
    std::string target;
    HeaderList headers;
    std::string body;
    MSGPACK_DEFINE(request, attempt, sequence, incarnation, priority, budget, repeatable, key, method, target, headers, body)
};

/// The caller disconnected or the attempt was abandoned: the sidecar releases all its resources.
struct Cancel {
    RequestId request;
    Attempt attempt;
    MSGPACK_DEFINE(request, attempt)
};

/// Queries the state of (key, attempt) and, if it was never admitted, seals it: the sidecar will not admit it from now on.
struct Seal {
    RequestId request;
    std::string key;
    Attempt attempt;
    MSGPACK_DEFINE(request, key, attempt)
};

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

// --- Replicas that gateways call directly ------------------------------------------------------------------------------

enum class ReplicaState : std::uint8_t { Ready, Draining };
template <> struct WireEnum<ReplicaState> : WireEnumUpTo<ReplicaState::Draining> {
};

/// A replica's announcement of itself. After a restart it announces another id, or its former id with a later start; its address may be
/// the same as before.
struct Announcement {
    std::string id;
    std::string service;
    std::string address;
    std::string zone;
    std::string softwareVersion;
    std::uint32_t slots = 0;
    ReplicaState state = ReplicaState::Ready;
    UpstreamKind kind = UpstreamKind::Plain;
    Duration coldLeft {}; ///< How much longer it is slowed down by its cold start.
    std::uint64_t sequence = 0; ///< Increases with each announcement of a run, so that late ones can be ignored.
    ReplicaStart start {};
    [[nodiscard]] ReplicaRun run() const { return { id, start }; }
    MSGPACK_DEFINE(id, service, address, zone, softwareVersion, slots, state, kind, coldLeft, sequence, start)
};

/// A replica's announcement, relayed by the controller that received it or learned of it.
struct RelayedAnnouncement {
    Announcement announcement;
    Duration age {}; ///< Since it was received from the replica.
    MSGPACK_DEFINE(announcement, age)
};

/// This run of the replica has ended for good, and so have all earlier ones.
struct ReplicaWithdrawn {
    std::string id;
    ReplicaStart start {};
    [[nodiscard]] ReplicaRun run() const { return { id, start }; }
    MSGPACK_DEFINE(id, start)
};

/// Renews the replicas' runs, and states how many gateways share the retry budget. It is sent over every link once a second. To keep it
/// small, a heartbeat to a gateway lists only the runs that were not heard from recently; a gateway whose digest is the same renews all
/// others. Start times are sent as offsets from the earliest one: 5 bytes for each replica instead of 10, as long as they started within
/// 49 days of each other.
struct RegistryHeartbeat {
    std::map<std::string, Duration> ages; ///< Time since each run was last heard from, by id.
    std::uint32_t gateways = 0;
    ReplicaStart earliestStart {};
    std::vector<std::uint64_t> startOffsets {}; ///< Milliseconds from `earliestStart` to each run's start, in the order of `ages`.
    std::uint64_t digest = 0; ///< Of all replicas in the sender's registry; zero from releases without this field.
    std::uint32_t known = 0; ///< The number of replicas in the sender's registry.
    MSGPACK_DEFINE(ages, gateways, earliestStart, startOffsets, digest, known)
};

/// The load that one gateway put on a service's engines, in number of busy replicas of each stage, on average since its last report.
struct StageLoad {
    double prefill = 0;
    double decode = 0;
    Duration stageChange {}; ///< How long a replica is unavailable while it changes its stage.
    MSGPACK_DEFINE(prefill, decode, stageChange)
};

/// From a gateway to controllers, once a second while there is work for engines. By service.
struct EngineLoadReport {
    std::map<std::string, StageLoad> services;
    MSGPACK_DEFINE(services)
};

/// A replica was ordered to change its stage. It accepts no work until it announces the new one.
struct StageChange {
    std::string id;
    UpstreamKind to = UpstreamKind::Decode;
    Duration lasts {}; ///< The longest time that the change can still take.
    ReplicaStart start {}; ///< Of the run that received the order.
    MSGPACK_DEFINE(id, to, lasts, start)
};

/// Asks a controller for its whole replica registry, since the digests differ.
struct RegistryRequest {
    std::uint64_t digest = 0; ///< Of the sender's registry.
    MSGPACK_DEFINE(digest)
};

/// A controller's whole replica registry.
struct RegistryList {
    std::vector<RelayedAnnouncement> known;
    std::vector<StageChange> changing;
    std::vector<ReplicaWithdrawn> ended;
    MSGPACK_DEFINE(known, changing, ended)
};

/// A controller has this version of the routing document; a gateway requests it from one of those that offer it.
struct DocumentOffer {
    std::uint64_t version = 0;
    bool isCurrent = false; ///< The controller is in contact with a leader and has applied everything that the leader has committed.
    MSGPACK_DEFINE(version, isCurrent)
};

/// The peer addresses of all controllers known to the sender.
struct ControllerRoster {
    std::vector<std::string> addresses;
    MSGPACK_DEFINE(addresses)
};

/// Asks the leader for the log index that must be applied before a linearizable read.
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

/// Asks a controller for the changes from the version that the gateway has to `version`.
struct DocumentRequest {
    std::uint64_t version = 0;
    std::uint64_t held = 0; ///< The version that the gateway has; zero: none.
    std::uint64_t offset = 0; ///< Bytes received so far.
    MSGPACK_DEFINE(version, held, offset)
};

/// A chunk of the serialized changes (DocumentStep) from `base` to `version`.
struct DocumentPart {
    std::uint64_t version = 0;
    std::uint64_t base = 0;
    std::uint64_t offset = 0;
    std::uint64_t total = 0; ///< Bytes of all chunks together.
    std::string bytes;
    MSGPACK_DEFINE(version, base, offset, total, bytes)
};

// --- Admission to the KV memory of engines that gateways call directly -------------------------------------------------

/// From a gateway to a sidecar: requests a slot and KV memory of its engine.
struct ReservationRequest {
    RequestId request;
    Attempt attempt;
    std::string run; ///< The engine's id for the request.
    std::uint32_t promptTokens = 0;
    std::uint32_t expectedTokens = 0; ///< Answer length that the caller expects.
    std::uint32_t maxTokens = 0; ///< Upper limit of the answer length.
    std::uint32_t slots = 0; ///< The engine's limit of concurrent requests.
    MSGPACK_DEFINE(request, attempt, run, promptTokens, expectedTokens, maxTokens, slots)
};

struct ReservationReply {
    RequestId request;
    Attempt attempt;
    bool isGranted = false;
    std::uint64_t headroom = 0; ///< As in EngineHeadroom, after this reservation.
    MSGPACK_DEFINE(request, attempt, isGranted, headroom)
};

/// From a gateway to a sidecar: the request has ended at the engine, or will not be sent there.
struct ReservationEnd {
    RequestId request;
    bool isComplete = false; ///< Its answer was received in full.
    bool hasFailed = false; ///< It was sent to the engine and failed there.
    MSGPACK_DEFINE(request, isComplete, hasFailed)
};

/// From a gateway to a sidecar: a prefill was sent to the engine, or has ended there.
struct PrefillNotice {
    RequestId request;
    std::uint32_t promptTokens = 0;
    bool hasEnded = false;
    MSGPACK_DEFINE(request, promptTokens, hasEnded)
};

/// From a sidecar to all gateways: how much work its engine can still take.
struct EngineHeadroom {
    std::string address; ///< The engine's.
    std::uint64_t tokens = 0; ///< Free KV memory beyond the forecast need of running answers; zero: it takes no request.
    std::uint64_t prefillBacklog = 0; ///< Prompt tokens that were sent to the engine and are not prefilled yet.
    MSGPACK_DEFINE(address, tokens, prefillBacklog)
};

// --- Requests that crash replicas --------------------------------------------------------------------------------------

/// According to the sender, the replica crashed while it was processing the request.
struct ReplicaCrash {
    RequestFingerprint request;
    std::string replica;
    ReplicaStart start {}; ///< Of the replica's run.
    Duration age {}; ///< Since the crash.
    Duration ranFor {}; ///< From the sending of the request to the crash.
    [[nodiscard]] ReplicaRun run() const { return { replica, start }; }
    MSGPACK_DEFINE(request, replica, start, age, ranFor)
};

/// The request was answered in full, so it did not cause the earlier crashes.
struct ServedAfterCrash {
    RequestFingerprint request;
    Duration age {}; ///< Since the answer.
    MSGPACK_DEFINE(request, age)
};

/// From gateways to controllers, between controllers, and from controllers to gateways.
struct CrashReport {
    std::vector<ReplicaCrash> crashes;
    std::vector<ServedAfterCrash> served;
    [[nodiscard]] bool isEmpty() const { return crashes.empty() && served.empty(); }
    MSGPACK_DEFINE(crashes, served)
};

// --- Quotas of client accounts -----------------------------------------------------------------------------------------

/// What one gateway has admitted for an account since its last report; `amount` is negative if more was refunded than admitted.
struct AccountUsage {
    AccountId account;
    double amount = 0;
    double perSecond = 0; ///< The account's limit.
    bool asksForTotal = false; ///< The gateway uses more than it may without knowing the other gateways' usage.
    double reservedPerSecond = 0; ///< Part of the limit reserved for unreachable gateways, as last received.
    MSGPACK_DEFINE(account, amount, perSecond, asksForTotal, reservedPerSecond)
};

/// The gateways that share the limits, as seen by one controller.
struct GatewayCounts {
    std::uint32_t all = 0;
    std::uint32_t unreachable = 0; ///< Of these, the ones that don't report to the controller; part of each limit is reserved for them.
    MSGPACK_DEFINE(all, unreachable)
};

/// From a gateway to all controllers, twice a second and soon after heavy use.
struct QuotaReport {
    std::vector<AccountUsage> uses;
    bool wantsTotals = false; ///< The gateway uses this controller's totals.
    bool asksForAll = false; ///< The gateway doesn't know which accounts are near their limits.
    GatewayCounts knownGateways; ///< From the totals that the gateway used last, for a controller that has just started.
    MSGPACK_DEFINE(uses, wantsTotals, asksForAll, knownGateways)
};

/// What all other gateways have used of an account's limit.
struct AccountTotal {
    AccountId account;
    double othersUsage = 0; ///< Since the last total sent to this gateway, or over a short recent period if that is longer ago.
    double othersPerSecond = 0;
    double reservedPerSecond = 0; ///< Part of the limit reserved for gateways that are unreachable for the sender.
    bool isBusy = false; ///< The account is near its limit; further totals follow soon.
    MSGPACK_DEFINE(account, othersUsage, othersPerSecond, reservedPerSecond, isBusy)
};

/// From a controller to the gateways that use its totals, while accounts are near their limits.
struct QuotaTotals {
    std::vector<AccountTotal> totals;
    bool isComplete = false; ///< No account outside `totals` is near its limit.
    GatewayCounts gateways;
    MSGPACK_DEFINE(totals, isComplete, gateways)
};

// --- Request rate limits that replicas state -----------------------------------------------------------------------------

/// What a run of a replica states of the requests that it takes from all gateways together.
struct ReplicaRateLimit {
    std::string replica;
    ReplicaStart start;
    std::optional<double> perSecond; ///< Unset: it states no limit any more.
    std::uint64_t revision = 0; ///< How many changes of this limit the gateways had observed one after the other.
    [[nodiscard]] ReplicaRun run() const { return { replica, start }; }
    MSGPACK_DEFINE(replica, start, perSecond, revision)
};

/// Changes of limits, or all of them at the start of a link: from gateways to controllers, between controllers, and from controllers to
/// gateways.
struct ReplicaRateLimits {
    std::vector<ReplicaRateLimit> limits;
    MSGPACK_DEFINE(limits)
};

/// What a gateway needs of the permits for one limit.
struct PermitDemand {
    LimitId limit;
    double held = 0; ///< Permits that it has and has not used yet.
    double returned = 0; ///< Permits that it gives back: it can't use them any more.
    std::uint32_t wanted = 0;
    std::uint32_t rank = 0; ///< Of the most urgent call that waits for a permit; lower ones are more urgent.
    MSGPACK_DEFINE(limit, held, returned, wanted, rank)
};

/// From a gateway to the controller that issues its permits. Clock readings are only compared by the process that they come from.
struct PermitRequest {
    std::int64_t sentAt = 0; ///< By the gateway's clock, in microseconds.
    std::int64_t grantSentAt = 0; ///< `sentAt` of the last grant that has arrived; zero: none.
    double lentShare = 0; ///< The part of each limit that the gateway lends to the controller for `permits::lendTerm`.
    std::vector<PermitDemand> demands; ///< Limits that are left out need nothing.
    MSGPACK_DEFINE(sentAt, grantSentAt, lentShare, demands)
};

/// Permits for one limit.
struct IssuedPermits {
    LimitId limit;
    std::uint32_t count = 0;
    MSGPACK_DEFINE(limit, count)
};

/// From a controller to a gateway: the answer to its last request.
struct PermitGrant {
    std::int64_t sentAt = 0; ///< By the controller's clock, in microseconds.
    std::int64_t requestSentAt = 0; ///< `sentAt` of that request.
    std::vector<IssuedPermits> permits;
    MSGPACK_DEFINE(sentAt, requestSentAt, permits)
};

/// From a gateway to a controller while limits are in force.
struct ReplicaUsageReport {
    QuotaReport report; ///< Used by an earlier release, which counted the calls instead; empty.
    PermitRequest permits;
    MSGPACK_DEFINE(report, permits)
};

/// From a controller to a gateway.
struct ReplicaUsageTotals {
    QuotaTotals totals; ///< Used by an earlier release; empty.
    PermitGrant grant;
    MSGPACK_DEFINE(totals, grant)
};

using Message = std::variant<Hello, UpstreamAnnouncement, SlotGrant, Refused, PrefillDone, ResponseHead, ResponseData, ResponseEnd, Failed,
    SealReply, SlotRequest, PrefillRequest, DecodeRequest, Dispatch, Cancel, Seal, Propose, ProposeReply, Watch, ConfigDelta, ConfigApplied,
    VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotChunk, SnapshotReply, RelayedAnnouncement, ReplicaWithdrawn,
    RegistryHeartbeat, DocumentOffer, ControllerRoster, ReadIndex, ReadIndexReply, EngineLoadReport, StageChange, DocumentRequest,
    DocumentPart, ReservationRequest, ReservationReply, ReservationEnd, EngineHeadroom, PrefillNotice, RegistryRequest, RegistryList,
    CrashReport, QuotaReport, QuotaTotals, ReplicaRateLimits, ReplicaUsageReport, ReplicaUsageTotals>;

} // namespace wrenhinge
