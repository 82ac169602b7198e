/** \file
 * Approximate index of the prompt blocks in the prefix caches of prefill replicas.
 *
 * Engines cache the leading blocks of prompts that they computed. The index records where this gateway sent each block;
 * entries can be removed when a reply shows that less was cached. It may list blocks that are not cached and miss others;
 * a wrong entry costs some milliseconds of prefill, never correctness. Its size is bounded: the oldest blocks are evicted
 * first.
 */
#pragma once

#include "base/Ids.h"

#include <cstdint>
#include <deque>
#include <span>
#include <unordered_map>
#include <vector>

namespace wrenhinge {

class PrefixIndex {
public:
    static constexpr std::uint32_t tokensPerBlock = 64;

    explicit PrefixIndex(std::size_t blockLimit = 200000);

    /// Records that `replica` computes a prompt of these blocks and will have them cached.
    void recordBlocks(std::span<const std::uint64_t> blocks, PeerId replica);
    /// Removes the replica's entries for all blocks after the first `cachedBlocks`.
    void truncate(std::span<const std::uint64_t> blocks, PeerId replica, std::size_t cachedBlocks);
    void removeReplica(PeerId replica);
    /// The replicas that are believed to have a block cached.
    [[nodiscard]] std::span<const PeerId> holders(std::uint64_t block) const;
    /// How many leading tokens of the prompt the replica probably has cached.
    [[nodiscard]] std::uint32_t cachedTokens(std::span<const std::uint64_t> blocks, PeerId replica) const;

private:
    void evictOldest();

    std::size_t m_blockLimit;
    std::unordered_map<std::uint64_t, std::vector<PeerId>> m_holders;
    std::deque<std::uint64_t> m_insertionOrder;
};

} // namespace wrenhinge
