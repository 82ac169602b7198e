/** \file
 * An approximate picture of which prefill replica has which prompt blocks in its cache.
 *
 * Engines keep the leading blocks of prompts that they computed. The index remembers where this gateway sent each block
 * and unlearns when a reply shows that less was cached. It may be wrong either way; a wrong guess costs some
 * milliseconds of prefill, never correctness. Bounded: the oldest blocks are forgotten first.
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

    /// Remembers that `replica` now computes a prompt of these blocks.
    void recordBlocks(std::span<const std::uint64_t> blocks, PeerId replica);
    /// Takes back what was believed beyond the first `cachedBlocks` blocks.
    void truncate(std::span<const std::uint64_t> blocks, PeerId replica, std::size_t cachedBlocks);
    void removeReplica(PeerId replica);
    /// Who is believed to hold a block.
    [[nodiscard]] std::span<const PeerId> holders(std::uint64_t block) const;
    /// How many leading tokens of the prompt the replica probably has.
    [[nodiscard]] std::uint32_t cachedTokens(std::span<const std::uint64_t> blocks, PeerId replica) const;

private:
    void evictOldest();

    std::size_t m_blockLimit;
    std::unordered_map<std::uint64_t, std::vector<PeerId>> m_holders;
    std::deque<std::uint64_t> m_insertionOrder;
};

} // namespace wrenhinge
