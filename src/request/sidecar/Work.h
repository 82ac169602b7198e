/** \file
 * The work that a sidecar holds for gateways, and the priority queue of its waiting work.
 */
#pragma once

#include "request/sidecar/SidecarEvents.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <set>
#include <unordered_map>

namespace wrenhinge {

/// One attempt of one request.
struct WorkKey {
    RequestId request;
    Attempt attempt;
    auto operator<=>(const WorkKey&) const = default;
};

struct WorkKeyHash {
    std::size_t operator()(const WorkKey& key) const noexcept { return std::hash<RequestId>()(key.request) * 31 + key.attempt.value(); }
};

enum class WorkStage : std::uint8_t {
    Queued, ///< Waits for a grant (decode) or a start (prefill, plain).
    Granted, ///< Decode: a slot is reserved; the prefill runs.
    Ready, ///< Decode: the prefill's result is available; waits for a free slot.
    Running, ///< The call to the upstream is in progress.
    HoldsResult, ///< Prefill: done; the engine keeps the result until it is fetched, released or expires.
};

struct Work {
    WorkKey key;
    PeerId gateway;
    Priority priority = Priority::Normal;
    WorkStage stage = WorkStage::Queued;
    std::uint64_t arrivalOrder = 0; ///< Number in order of arrival; breaks ties in the queues.
    Instant arrived;
    Instant deadline; ///< Queued or Ready work that can't start by then is refused.
    Instant stageExpiresAt; ///< Granted, Ready, HoldsResult: when the grant or the result expires.
    Instant started;
    Duration leadTime {}; ///< Decode: predicted time from the grant to the end of prefill and transfer.
    double cost = 0; ///< Units of LinearCost: prompt tokens to compute; 0 for a plain call.
    std::uint32_t promptTokens = 0;
    std::uint32_t maxTokens = 0;
    std::uint32_t producedTokens = 0;
    Instant firstToken;
    Instant lastToken;
    std::uint64_t sentBytes = 0;
    bool repeatable = true; ///< Whether the call may safely be sent again.
    bool detached = false; ///< Cancelled or without a gateway, but not repeatable: it runs to completion and its outcome is recorded.
    std::string ledgerKey;
    StoredResponse answer; ///< Keyed calls: collected for the ledger.
    std::string kvParams;
    UpstreamCall call;
};

using WorkTable = std::unordered_map<WorkKey, Work, WorkKeyHash>;

/// Priority queue of waiting work: earliest deadline first, with the deadline of urgent work moved forward by a head start.
///
/// The head start is finite so that a stream of urgent requests can't starve normal work: normal work whose deadline is
/// earlier by more than the head start is served before urgent work.
class WaitQueue {
public:
    static constexpr Duration urgentHeadStart = 30s;

    void add(const Work&);
    void remove(const Work&);
    [[nodiscard]] bool empty() const { return m_keys.empty(); }
    [[nodiscard]] std::size_t size() const { return m_keys.size(); }
    /// The keys in order of service, as a copy that stays valid while work is removed.
    [[nodiscard]] std::vector<WorkKey> keys() const;
    /// Whether `a` is served before `b`.
    static bool isServedBefore(const Work& a, const Work& b);

private:
    struct Entry {
        Instant rank; ///< The deadline, minus the head start of urgent work.
        std::uint64_t arrivalOrder = 0;
        WorkKey key;
        auto operator<=>(const Entry&) const = default;
    };
    static Entry entryOf(const Work&);
    std::set<Entry> m_keys;
};

} // namespace wrenhinge
