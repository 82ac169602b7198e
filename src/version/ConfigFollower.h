/** \file
 * Keeps a process's configuration up to date from the controllers, with a version that never decreases.
 *
 * Versions are log indexes, so the highest is the newest, and a lower one is ignored from any sender. Outdated state of a
 * partitioned controller can therefore delay a process, but never revert it.
 *
 * A process that has just started has no version, and may have had a newer one before its restart than the first controller
 * that answers. Its first version is therefore one that the leader sends after a majority has confirmed its leadership. If no
 * leader answers within `firstVersionTimeout`, the highest version of all peers is used instead, and is unconfirmed until a
 * leader has confirmed it or a newer one: a partitioned site must have some rules to serve with.
 */
#pragma once

#include "version/Configuration.h"

#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace wrenhinge {

class ConfigFollower {
public:
    using Sends = std::vector<std::pair<PeerId, Message>>;

    static constexpr Duration firstVersionTimeout = 2s;

    explicit ConfigFollower(bool neverStepsBack = true)
        : m_neverStepsBack(neverStepsBack)
    {
    }

    /// A controller has connected: asks it for newer versions.
    Sends onControllerUp(PeerId, Instant now);
    void onControllerDown(PeerId);
    /// A gateway or sidecar has connected: both send their version, and the one with the newer version sends its configuration.
    Sends onPeerUp(PeerId, Instant now);
    /// A peer asks for versions newer than its own.
    [[nodiscard]] Sends onWatch(PeerId from, const Watch&) const;
    /// Applies a delta, or asks for a snapshot if changes in between are missing. \returns the messages to send.
    Sends onDelta(PeerId from, const ConfigDelta&);
    /// Uses the highest unconfirmed version if no leader has answered in time.
    Sends tick(Instant now);

    [[nodiscard]] const Configuration& configuration() const { return m_configuration; }
    /// Whether a leader, confirmed by a majority, has sent a version at least as new as the one held. Until then a version newer than the
    /// first one used may have been accepted before.
    [[nodiscard]] bool isConfirmed() const { return m_isConfirmed; }

private:
    void recordStart(Instant now);
    Sends reportInForce() const;

    bool m_neverStepsBack;
    Configuration m_configuration;
    bool m_isConfirmed = false;
    std::optional<ConfigDelta> m_candidate; ///< The highest unconfirmed snapshot, as long as no version is in force.
    std::optional<Instant> m_startedAt;
    std::set<PeerId> m_controllers;
};

} // namespace wrenhinge
