/** \file
 * Chooses the replicas for a request: two random choices for decode and plain work, cache and queue for prefill.
 *
 * Best-of-all on stale reports makes every gateway pick the same replica; two random choices spread them and are nearly
 * as good. For prefill the choice is between the replica that holds the longest cached prefix, the one that the prefix
 * hashes to (so that gateways which know nothing agree where a prefix lives), and two random ones.
 */
#pragma once

#include "request/sidecar/PrefixIndex.h"
#include "request/sidecar/UpstreamTable.h"

#include <random>
#include <set>
#include <span>

namespace wrenhinge {

/// The chosen prefill replica and what is expected of it.
struct PrefillChoice {
    PeerId replica;
    Duration end {}; ///< Predicted time from now to the end of the prefill.
    Duration cost {}; ///< The part of it that the engine computes.
    std::uint32_t cachedTokens = 0;
};

struct PrefillRequirements {
    std::uint32_t promptTokens = 0;
    std::span<const std::uint64_t> prefixBlocks;
    Priority priority = Priority::Normal;
};

struct SlotRequirements {
    Priority priority = Priority::Normal;
    Duration neededIn {}; ///< The slot is of no use before: the prefill runs until then.
    std::uint32_t promptTokens = 0; ///< Decode: what must be transferred.
};

class Placement {
public:
    Placement(const UpstreamTable&, std::uint64_t seed);

    using Excluded = std::set<PeerId>;

    /// Decode or plain: the replica where new work is expected to start first.
    std::optional<PeerId> chooseReplica(const std::string& service, UpstreamKind, const SlotRequirements&, const Excluded&, Instant now);
    /// Prefill: the replica where the prompt is expected to be done first.
    std::optional<PrefillChoice> choosePrefillReplica(const std::string& service, const PrefillRequirements&, const Excluded&, Instant now);

    PrefixIndex& prefixIndex() { return m_prefixes; }
    /// A random factor in [1 - spread, 1 + spread], to keep callers from coming back all at once.
    double jitter(double spread);

private:
    using Candidates = std::vector<const UpstreamTable::Upstream*>;
    Candidates candidates(const std::string& service, UpstreamKind, const Excluded&, Instant now);
    void addByPrefix(Candidates&, const std::string& service, const PrefillRequirements&, const Excluded&, Instant now) const;
    std::size_t randomIndex(std::size_t n);
    PrefillChoice evaluate(const UpstreamTable::Upstream&, const PrefillRequirements&) const;

    const UpstreamTable& m_table;
    PrefixIndex m_prefixes;
    std::mt19937_64 m_random;
};

} // namespace wrenhinge
