/** \file
 * Chooses replicas for a request: the better of two random replicas for decode and plain work; for prefill, by cached
 * prefix and queue.
 *
 * If every gateway chose the best of all replicas from the same stale reports, all would choose the same one. The better of
 * two random replicas spreads the load and is nearly as good. For prefill the candidates are the replicas that are believed
 * to hold the prefix, the one that the prefix hashes to (so that gateways without cache information choose the same replica
 * for a prefix), and two random ones.
 */
#pragma once

#include "request/sidecar/PrefixIndex.h"
#include "request/sidecar/UpstreamTable.h"

#include <random>
#include <set>
#include <span>

namespace wrenhinge {

/// The chosen prefill replica and its predictions.
struct PrefillChoice {
    PeerId replica;
    Duration end {}; ///< Predicted time from now to the end of the prefill.
    Duration cost {}; ///< The part of `end` in which the engine computes the prompt, without queueing.
    std::uint32_t cachedTokens = 0;
};

/// What a prefill needs of its replica.
struct PrefillRequirements {
    std::uint32_t promptTokens = 0;
    std::span<const std::uint64_t> prefixBlocks;
    Priority priority = Priority::Normal;
};

/// What decode or plain work needs of its replica.
struct SlotRequirements {
    Priority priority = Priority::Normal;
    Duration neededIn {}; ///< Time until the slot is needed, for decode the end of the prefill.
    std::uint32_t promptTokens = 0; ///< Decode: tokens whose prefill result must be transferred.
};

class Placement {
public:
    Placement(const UpstreamTable&, std::uint64_t seed);

    using Excluded = std::set<PeerId>;

    /// Chooses a decode or plain replica by the predicted start of the work.
    std::optional<PeerId> chooseReplica(const std::string& service, UpstreamKind, const SlotRequirements&, const Excluded&, Instant now);
    /// Chooses a prefill replica by the predicted end of the prefill.
    std::optional<PrefillChoice> choosePrefillReplica(const std::string& service, const PrefillRequirements&, const Excluded&, Instant now);

    PrefixIndex& prefixIndex() { return m_prefixes; }
    /// A random factor in [1 - spread, 1 + spread], which keeps refused callers from retrying at the same time.
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
