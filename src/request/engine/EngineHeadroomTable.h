/** \file
 * How much room the KV memories of engines have, as their sidecars tell a gateway.
 *
 * Soft state: what a sidecar told counts until it tells anew or its link ends. Between two tellings a gateway takes off what it has
 * asked for itself, so that the requests of a surge don't all go to the engine that had most room a moment ago.
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
        std::uint64_t prefillBacklog = 0; ///< Tokens of prompts that wait to be read.
    };

    /// \param address the engine's. \returns whether there is more room than before.
    bool update(const std::string& address, const Headroom& headroom)
    {
        auto former = std::exchange(m_rooms[address], headroom);
        return headroom.tokens > former.tokens;
    }
    void setTokens(const std::string& address, std::uint64_t tokens)
    {
        if (auto it = m_rooms.find(address); it != m_rooms.end())
            it->second.tokens = tokens;
    }
    void take(const std::string& address, std::uint64_t tokens)
    {
        if (auto it = m_rooms.find(address); it != m_rooms.end())
            it->second.tokens -= std::min(it->second.tokens, tokens);
    }
    void addPrefill(const std::string& address, std::uint64_t tokens)
    {
        if (auto it = m_rooms.find(address); it != m_rooms.end())
            it->second.prefillBacklog += tokens;
    }
    /// The sidecar's link has ended.
    void forget(PeerId sidecar)
    {
        std::erase_if(m_rooms, [sidecar](const auto& item) { return item.second.sidecar == sidecar; });
    }
    /// \returns nullptr if no sidecar tells of the engine.
    [[nodiscard]] const Headroom* find(const std::string& address) const
    {
        auto it = m_rooms.find(address);
        return it == m_rooms.end() ? nullptr : &it->second;
    }

private:
    std::map<std::string, Headroom> m_rooms; ///< By the engine's address.
};

} // namespace wrenhinge
