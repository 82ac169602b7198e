/** \file
 * Keeps one process's configuration up to date from the controllers, and never lets it step back.
 *
 * Versions are log indexes, so the highest is the newest, and a lower one is ignored whoever sends it. What a long-isolated
 * controller still believes can therefore delay a process but never take it back.
 *
 * A process that has just started knows no version and may have known a newer one before its restart than whoever answers
 * first. Its first version is therefore one that the leader gives after a majority confirmed its leadership. Where no
 * leader answers within `firstVersionTimeout`, the highest version among all peers is taken instead, and counts as unconfirmed until
 * a leader has confirmed it or a newer one: a site that is cut off must serve by some rules.
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

    /// A controller was linked: ask it for what is newer than ours.
    Sends onControllerUp(PeerId, Instant now);
    void onControllerDown(PeerId);
    /// A gateway or sidecar was linked: each tells the other what it has, and the newer one passes its own on.
    Sends onPeerUp(PeerId, Instant now);
    /// A peer asks for what is newer than its own.
    [[nodiscard]] Sends onWatch(PeerId from, const Watch&) const;
    /// Applies a delta; a gap is answered by asking for a snapshot. \returns what to send.
    Sends onDelta(PeerId from, const ConfigDelta&);
    /// Takes the best unconfirmed version once no leader has answered in time.
    Sends tick(Instant now);

    [[nodiscard]] const Configuration& configuration() const { return m_configuration; }
    /// Whether a majority vouched that nothing newer had been accepted when this process first learnt a version.
    [[nodiscard]] bool isConfirmed() const { return m_isConfirmed; }

private:
    void recordStart(Instant now);
    Sends reportInForce() const;

    bool m_neverStepsBack;
    Configuration m_configuration;
    bool m_isConfirmed = false;
    std::optional<ConfigDelta> m_candidate; ///< The highest unconfirmed snapshot, while no version is in force.
    std::optional<Instant> m_startedAt;
    std::set<PeerId> m_controllers;
};

} // namespace wrenhinge
