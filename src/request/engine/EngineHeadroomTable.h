/** \file
 * A gateway's table of the headroom in engines' KV memory, as reported by their sidecars.
 *
 * Soft state: an entry is valid until the sidecar reports again or its link is lost. Between two reports a gateway subtracts its own
 * requests, so that the requests of a surge don't all go to the engine that had the most headroom in the last report.
 */
#pragma once

#include "base/Ids.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace wrenhinge {

class EngineHeadroomTable {
public:
    struct Headroom {
        PeerId sidecar;
        std::uint64_t tokens = 0; ///< Zero: the engine takes no request.
        std::uint64_t prefillBacklog = 0; ///< Prompt tokens waiting for prefill.
    };

    /// \param address the engine's. \returns whether the headroom has increased.
    bool update(const std::string& address, const Headroom& headroom)
    {
        auto previous = std::exchange(m_headrooms[address], headroom);
        return headroom.tokens > previous.tokens;
    }
    void setTokens(const std::string& address, std::uint64_t tokens)
    {
        if (auto it = m_headrooms.find(address); it != m_headrooms.end())
            it->second.tokens = tokens;
    }
    void take(const std::string& address, std::uint64_t tokens)
    {
        if (auto it = m_headrooms.find(address); it != m_headrooms.end())
            it->second.tokens -= std::min(it->second.tokens, tokens);
    }
    void addPrefill(const std::string& address, std::uint64_t tokens)
    {
        if (auto it = m_headrooms.find(address); it != m_headrooms.end())
            it->second.prefillBacklog += tokens;
    }
    /// Removes all entries of a sidecar whose link was lost.
    void forget(PeerId sidecar)
    {
        std::erase_if(m_headrooms, [sidecar](const auto& item) { return item.second.sidecar == sidecar; });
    }
    /// \returns nullptr if no sidecar has reported the engine.
    [[nodiscard]] const Headroom* find(const std::string& address) const
    {
        auto it = m_headrooms.find(address);
        return it == m_headrooms.end() ? nullptr : &it->second;
    }

private:
    std::map<std::string, Headroom> m_headrooms; ///< By the engine's address.
};

} // namespace wrenhinge
