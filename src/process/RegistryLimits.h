/** \file
 * How many replicas the announcements at one door may bring into the registry.
 *
 * Anyone who reaches the door can announce replicas, of services that no configuration names too: which these are is known only once
 * the first configuration has come, and replicas come before it. Each entry is kept for a minute after its last renewal and is
 * told to every process, so that a writer that draws a new id for each call would fill the memory of all of them. A known
 * id is always taken: what is bounded is new ones. Nobody is put out for a newcomer, and one service can't take the room of all.
 */
#pragma once

#include "request/fleet/ReplicaRegistry.h"

#include <map>
#include <optional>
#include <string>

namespace wrenhinge {

class RegistryLimits {
public:
    /// Ids that are known or remembered as withdrawn: 10,000 replicas that are all replaced within five minutes, and a fifth.
    static constexpr std::size_t maxIds = 24'000;
    /// All replicas of the largest site in one service, and a fifth.
    static constexpr std::size_t maxReplicasPerService = 12'000;
    static constexpr Duration recountInterval = 1s;

    /// \returns why the registry can't take it, for now.
    std::optional<Error> checkCapacity(const ReplicaRegistry&, const Announcement&, Instant now);
    /// The same for the end of a replica, which is remembered under its id.
    static std::optional<Error> checkCapacity(const ReplicaRegistry&, const std::string& withdrawn);

private:
    void count(const ReplicaRegistry&, Instant now);

    std::map<std::string, std::size_t> m_replicasPerService; ///< As counted last, and those that were let in since.
    std::optional<Instant> m_countedAt;
};

} // namespace wrenhinge
