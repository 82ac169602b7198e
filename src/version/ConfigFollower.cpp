#include "version/ConfigFollower.h"

namespace wrenhinge {

ConfigFollower::Sends ConfigFollower::onControllerUp(PeerId controller, Instant now)
{
    recordStart(now);
    m_controllers.insert(controller);
    return { { controller, Watch { m_configuration.version() } } };
}

void ConfigFollower::onControllerDown(PeerId controller) { m_controllers.erase(controller); }

ConfigFollower::Sends ConfigFollower::onPeerUp(PeerId peer, Instant now)
{
    recordStart(now);
    return { { peer, Watch { m_configuration.version() } } };
}

ConfigFollower::Sends ConfigFollower::onWatch(PeerId from, const Watch& watch) const
{
    if (watch.version >= m_configuration.version())
        return {};
    return { { from, m_configuration.snapshot() } };
}

ConfigFollower::Sends ConfigFollower::onDelta(PeerId from, const ConfigDelta& delta)
{
    bool isSnapshot = delta.from == ConfigVersion();
    if (!m_neverStepsBack && isSnapshot)
        m_configuration.restore(delta.to, delta.number, delta.puts);
    auto before = m_configuration.version();
    if (before == ConfigVersion() && !delta.confirmed && !m_isConfirmed) {
        if (isSnapshot && (!m_candidate || m_candidate->to < delta.to))
            m_candidate = delta;
        return {};
    }
    m_isConfirmed = m_isConfirmed || (delta.confirmed && delta.to >= before);
    if (!m_configuration.applyDelta(delta)) {
        // A newer one that doesn't follow on ours: something in between was missed.
        return delta.to > before ? Sends { { from, Watch { ConfigVersion() } } } : Sends();
    }
    return reportInForce();
}

ConfigFollower::Sends ConfigFollower::tick(Instant now)
{
    bool isOverdue = m_startedAt && now - *m_startedAt >= firstVersionTimeout;
    if (!isOverdue || !m_candidate || m_configuration.version() != ConfigVersion())
        return {};
    m_configuration.applyDelta(*std::exchange(m_candidate, std::nullopt));
    auto sends = reportInForce();
    // Deltas that came while the candidate waited could not be followed: ask for what they held.
    for (auto controller : m_controllers)
        sends.emplace_back(controller, Watch { m_configuration.version() });
    return sends;
}

ConfigFollower::Sends ConfigFollower::reportInForce() const
{
    Sends sends;
    for (auto controller : m_controllers)
        sends.emplace_back(controller, ConfigApplied { m_configuration.version() });
    return sends;
}

void ConfigFollower::recordStart(Instant now)
{
    if (!m_startedAt)
        m_startedAt = now;
}

} // namespace wrenhinge
