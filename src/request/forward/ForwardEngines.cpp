/** \file
 * The part of ForwardLogic that selects the subset of engines that this gateway uses, and keeps connections to their sidecars.
 */
#include "request/forward/ForwardLogic.h"

namespace wrenhinge {

using namespace forward;

// --- The replica registry of the controllers --------------------------------------------------------------------

void ForwardLogic::on(const RegistryHeartbeatReceived& event, Instant now)
{
    m_quotas.noteContact(event.controller, now);
    m_limits.permits().noteContact(event.controller, now);
    on(event.heartbeat, now);
    m_registryFollower.digestReceived(event.controller, event.heartbeat.digest, event.heartbeat.known, m_replicas.registry().digest());
    fetchRegistry(now);
}

void ForwardLogic::on(const RegistryListReceived& event, Instant now)
{
    m_registryFollower.listReceived(event.controller);
    for (const auto& announced : event.list.known)
        apply(announced, now);
    for (const auto& withdrawn : event.list.ended)
        apply(withdrawn, now);
    for (const auto& change : event.list.changing)
        on(change, now);
    selectEngines(now);
    fetchRegistry(now);
}

void ForwardLogic::fetchRegistry(Instant now)
{
    const auto& registry = m_replicas.registry();
    if (auto controller = m_registryFollower.nextPeerToQuery(registry.digest(), now))
        m_effects.push_back(FetchRegistry { *controller, registry.request() });
}

void ForwardLogic::on(const PeerDisconnected& event, Instant now)
{
    loseHolder(event.peer, now);
    m_replicas.engineHeadroom().forget(event.peer);
    m_registryFollower.disconnected(event.peer);
    m_quotas.disconnected(event.peer);
    m_limits.permits().disconnected(event.peer);
}

// --- The subset of engines --------------------------------------------------------------------------------------

void ForwardLogic::selectEnginesIfDue(Instant now)
{
    if (now - m_enginesSelectedAt >= engineSelectionInterval)
        selectEngines(now);
}

/// Called only on messages from controllers: without them all engines seem to have stopped announcing themselves, and the subset stays.
void ForwardLogic::selectEngines(Instant now)
{
    m_enginesSelectedAt = now;
    m_replicas.subset().choose(m_replicas.registry(), now);
    updateSidecarLinks(now);
}

void ForwardLogic::updateSidecarLinks(Instant now)
{
    std::set<std::string> used;
    const auto& entries = m_replicas.registry().entries();
    for (const auto& id : m_replicas.subset().ids())
        used.insert(entries.at(id).announcement.address);
    for (const auto& address : used) {
        if (m_sidecarLinks.insert_or_assign(address, Instant::max()).second)
            m_effects.push_back(ConnectSidecar { address });
    }
    for (auto it = m_sidecarLinks.begin(); it != m_sidecarLinks.end();) {
        auto& [address, until] = *it;
        if (!used.contains(address) && until == Instant::max())
            until = now + linkRetention;
        if (until > now) {
            ++it;
            continue;
        }
        m_effects.push_back(DisconnectSidecar { address });
        it = m_sidecarLinks.erase(it);
    }
}

} // namespace wrenhinge
