/** \file
 * Which engines a gateway uses, where there are more of them than it can follow.
 *
 * What goes wrong without it: each gateway keeps a link to the sidecar of each engine, and each sidecar tells all gateways of its engine's
 * room. Links and messages grow with the product of both: 105 gateways and 180 engines are 18,900 links, and a gateway with 0.09 of a core
 * hears 1,800 messages a second in a surge to place two requests. One notices by gateways that are late at everything while engines are
 * idle. With a bounded subset, what a gateway hears does not grow with the number of engines, and what a sidecar tells grows only with
 * gateways per engine.
 *
 * The subset is chosen by rendezvous hashing: each gateway ranks all engines by a hash of both names and takes the first ones. No process
 * has to agree with another; each engine is chosen by about equally many gateways; and when an engine comes or goes, a gateway changes one
 * of its choices at most, if any. Engines for prefill and for decode are ranked apart, so that a subset always has both.
 *
 * Most of a subset is in the gateway's own availability zone, as the KV caches of prompts cross zones at twice the time and a price; the
 * rest is elsewhere, so that the surge of one zone finds room in the others.
 *
 * Example: 63 prefill and 117 decode engines in five zones of equal size. A gateway uses 8 prefill and 16 decode engines of its own zone,
 * and 4 and 8 of the other four zones. If its own zone had only 5 prefill engines, 7 others would fill up.
 */
#pragma once

#include "message/Messages.h"

#include <cstddef>
#include <map>
#include <string>
#include <unordered_set>
#include <vector>

namespace wrenhinge {

class ReplicaRegistry;

class EngineSubset {
public:
    /// The engines of one stage that a gateway uses. The best of so many random ones is hardly worse than the best of all: where one
    /// decode engine in five has room, a gateway finds none in 24 once in 200 times; a prefill is sent to the idlest of 12.
    static constexpr std::size_t prefillEngines = 12;
    static constexpr std::size_t decodeEngines = 24;
    /// Of these, the part in the gateway's own availability zone, as long as there are so many.
    static constexpr double ownZonePart = 2.0 / 3;

    /// \param gateway its name, which stays over restarts, so that the same engines are found again.
    EngineSubset(std::string gateway, std::string zone)
        : m_gateway(std::move(gateway))
        , m_zone(std::move(zone))
    {
    }

    /// Chooses anew among the engines that take work. Those that drain, were withdrawn or are silent make room for others.
    void choose(const ReplicaRegistry&, Instant now);

    /// Whether this replica may be used. Plain services are not bounded, and nothing is before the first choice.
    [[nodiscard]] bool contains(const Announcement& replica) const
    {
        return !m_hasChosen || replica.kind == UpstreamKind::Plain || m_ids.contains(replica.id);
    }
    /// Whether an engine that comes can only take the room of another one.
    [[nodiscard]] bool isFull(const std::string& service, UpstreamKind) const;
    [[nodiscard]] const std::unordered_set<std::string>& ids() const { return m_ids; }

private:
    using Stage = std::pair<std::string, UpstreamKind>; ///< Of a service.

    struct Ranked {
        std::uint64_t rank = 0;
        const Announcement* engine = nullptr;
    };

    [[nodiscard]] std::uint64_t rankOf(const Announcement&) const;
    void take(std::vector<Ranked> engines, std::size_t most);

    std::string m_gateway;
    std::string m_zone;
    bool m_hasChosen = false;
    std::unordered_set<std::string> m_ids;
    std::map<Stage, std::size_t> m_sizes;
};

} // namespace wrenhinge
