/** \file
 * The pieces of work that a sidecar holds for gateways, and the order in which the waiting ones are served.
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
    Granted, ///< Decode: a slot is promised; the prefill runs.
    Ready, ///< Decode: the prefill's result is there; waits for the slot.
    Running, ///< The upstream works on it.
    HoldsResult, ///< Prefill: ended; the engine keeps the result until it is fetched, released or expires.
};

struct Work {
    WorkKey key;
    PeerId gateway;
    Priority priority = Priority::Normal;
    WorkStage stage = WorkStage::Queued;
    std::uint64_t arrivalOrder = 0; ///< Arrival count, which breaks ties in queues.
    Instant arrived;
    Instant deadline; ///< Queued or Ready work that can't start by then is refused.
    Instant stageExpiresAt; ///< Granted, Ready, HoldsResult: when the promise or the result lapses.
    Instant started;
    Duration leadTime {};
    double cost = 0; ///< Units of LinearCost: prompt tokens to compute; 0 for a plain call.
    std::uint32_t promptTokens = 0;
    std::uint32_t maxTokens = 0;
    std::uint32_t producedTokens = 0;
    Instant firstToken;
    Instant lastToken;
    std::uint64_t sentBytes = 0;
    bool repeatable = true;
    bool detached = false; ///< The gateway has gone, but the call can't be taken back: it runs on for its outcome.
    std::string ledgerKey;
    StoredResponse answer; ///< Keyed calls: gathered for the ledger.
    std::string kvParams;
    UpstreamCall call;
};

using WorkTable = std::unordered_map<WorkKey, Work, WorkKeyHash>;

/// Waiting work in order of service: by deadline, urgent ahead by a head start.
///
/// The head start is finite on purpose: normal work whose deadline is that much older goes before new urgent work, so a
/// stream of urgent requests can't starve it.
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
        Instant rank;
        std::uint64_t arrivalOrder = 0;
        WorkKey key;
        auto operator<=>(const Entry&) const = default;
    };
    static Entry entryOf(const Work&);
    std::set<Entry> m_keys;
};

} // namespace wrenhinge
