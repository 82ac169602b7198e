#include "request/sidecar/PrefixIndex.h"

#include <algorithm>

namespace wrenhinge {

namespace {

    constexpr std::size_t holdersPerBlock = 4;

} // namespace

PrefixIndex::PrefixIndex(std::size_t blockLimit)
    : m_blockLimit(blockLimit)
{
}

void PrefixIndex::recordBlocks(std::span<const std::uint64_t> blocks, PeerId replica)
{
    for (auto block : blocks) {
        auto [it, isNew] = m_holders.try_emplace(block);
        auto& holders = it->second;
        if (std::find(holders.begin(), holders.end(), replica) != holders.end())
            continue;
        if (holders.size() == holdersPerBlock)
            holders.erase(holders.begin());
        holders.push_back(replica);
        if (isNew)
            m_insertionOrder.push_back(block);
    }
    evictOldest();
}

void PrefixIndex::truncate(std::span<const std::uint64_t> blocks, PeerId replica, std::size_t cachedBlocks)
{
    for (auto block : blocks.subspan(std::min(cachedBlocks, blocks.size()))) {
        if (auto it = m_holders.find(block); it != m_holders.end())
            std::erase(it->second, replica);
    }
}

void PrefixIndex::removeReplica(PeerId replica)
{
    for (auto& [block, holders] : m_holders)
        std::erase(holders, replica);
}

std::span<const PeerId> PrefixIndex::holders(std::uint64_t block) const
{
    auto it = m_holders.find(block);
    return it == m_holders.end() ? std::span<const PeerId>() : std::span<const PeerId>(it->second);
}

std::uint32_t PrefixIndex::cachedTokens(std::span<const std::uint64_t> blocks, PeerId replica) const
{
    std::uint32_t n = 0;
    for (auto block : blocks) {
        auto it = m_holders.find(block);
        if (it == m_holders.end() || std::find(it->second.begin(), it->second.end(), replica) == it->second.end())
            break;
        ++n;
    }
    return n * tokensPerBlock;
}

void PrefixIndex::evictOldest()
{
    while (m_insertionOrder.size() > m_blockLimit) {
        m_holders.erase(m_insertionOrder.front());
        m_insertionOrder.pop_front();
    }
}

} // namespace wrenhinge
