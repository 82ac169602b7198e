/** \file
 * The bounded subset of engines that a gateway uses at a large site.
 *
 * Without it, each gateway has a link to the sidecar of each engine, and each sidecar sends its engine's headroom to all gateways, so that
 * links and messages grow with the product of both: 105 gateways and 180 engines need 18,900 links, and in a surge a gateway with 0.09 of
 * a core receives 1,800 messages a second to place two requests. The symptom is gateways that are late with everything while engines are
 * idle. With a bounded subset, the messages that a gateway receives don't depend on the number of engines, and the messages that a sidecar
 * sends depend only on the number of gateways per engine.
 *
 * The subset is chosen by rendezvous hashing: each gateway ranks all engines by a hash of both names and uses the first ones. This needs
 * no coordination, spreads the gateways about evenly over the engines, and changes at most one engine of a gateway's subset when an engine
 * joins or leaves. Prefill and decode engines are ranked separately, so that a subset always has both.
 *
 * Most of a subset is in the gateway's own availability zone, since transferring a prompt's KV cache between zones takes twice the time and
 * costs money. The rest is in other zones, so that a surge in one zone can use capacity of the others.
 *
 * Example: 63 prefill and 117 decode engines in five zones of equal size. A gateway uses 8 prefill and 16 decode engines of its own zone,
 * and 4 and 8 of the other four zones. If its own zone had only 5 prefill engines, it would use 7 from the others.
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
    /// The number of engines of each stage that a gateway uses. The best of that many random engines is almost as good as the best of all:
    /// if one decode engine in five has headroom, there is none among 24 once in 200 times; a prefill is sent to the least busy of 12.
    static constexpr std::size_t prefillEngines = 12;
    static constexpr std::size_t decodeEngines = 24;
    /// The share of these in the gateway's own availability zone, if it has enough engines.
    static constexpr double ownZoneShare = 2.0 / 3;

    /// \param gateway its name, which doesn't change over restarts, so that it selects the same engines again.
    EngineSubset(std::string gateway, std::string zone)
        : m_gateway(std::move(gateway))
        , m_zone(std::move(zone))
    {
    }

    /// Selects the subset again from the engines that accept work: not from those that are draining, withdrawn or silent.
    void choose(const ReplicaRegistry&, Instant now);

    /// Whether the gateway may use this replica. Always true for plain services, and before the first call of `choose`.
    [[nodiscard]] bool contains(const Announcement& replica) const
    {
        return !m_hasChosen || replica.kind == UpstreamKind::Plain || m_ids.contains(replica.id);
    }
    /// Whether a new engine can only replace another one.
    [[nodiscard]] bool isFull(const std::string& service, UpstreamKind) const;
    [[nodiscard]] const std::unordered_set<std::string>& ids() const { return m_ids; }

private:
    using Stage = std::pair<std::string, UpstreamKind>; ///< Service and stage.

    struct Ranked {
        std::uint64_t rank = 0;
        const Announcement* engine = nullptr;
    };

    [[nodiscard]] std::uint64_t rankOf(const Announcement&) const;
    void select(std::vector<Ranked> engines, std::size_t limit);

    std::string m_gateway;
    std::string m_zone;
    bool m_hasChosen = false;
    std::unordered_set<std::string> m_ids;
    std::map<Stage, std::size_t> m_subsetSizes;
};

} // namespace wrenhinge
