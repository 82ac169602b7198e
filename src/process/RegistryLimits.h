/** \file
 * Limits how many replicas the announcements to one controller may add to the registry.
 *
 * Any client that can connect to the controller can announce replicas, also of services without configuration: the services are known only
 * after the first configuration, and replicas announce themselves before it. Each entry is kept for a minute after its last renewal and is
 * sent to every process, so a client that uses a new id for each call would exhaust the memory of all of them. Announcements of known ids
 * are always accepted; only new ids are limited. No entry is evicted for a new one, and one service can't use the whole capacity.
 */
#pragma once

#include "request/fleet/ReplicaRegistry.h"

#include <map>
#include <optional>
#include <string>

namespace wrenhinge {

class RegistryLimits {
public:
    /// Limit of ids that are known or recorded as withdrawn: 10,000 replicas that are all replaced within five minutes, plus 20%.
    static constexpr std::size_t maxIds = 24'000;
    /// All replicas of the largest site in one service, plus 20%.
    static constexpr std::size_t maxReplicasPerService = 12'000;
    static constexpr Duration recountInterval = 1s;

    /// \returns an error if a limit currently prevents adding the replica.
    std::optional<Error> checkCapacity(const ReplicaRegistry&, const Announcement&, Instant now);
    /// The same for a withdrawal, which is recorded under the id of the replica.
    static std::optional<Error> checkCapacity(const ReplicaRegistry&, const std::string& withdrawn);

private:
    void count(const ReplicaRegistry&, Instant now);

    std::map<std::string, std::size_t> m_replicasPerService; ///< The last count plus the replicas accepted since.
    std::optional<Instant> m_countedAt;
};

} // namespace wrenhinge
