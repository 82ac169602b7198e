/** \file
 * The part of ForwardLogic that chooses which engines this gateway uses, and keeps links to the sidecars beside these.
 */
#include "request/forward/ForwardLogic.h"

namespace wrenhinge {

using namespace forward;

// --- What controllers know of replicas --------------------------------------------------------------------------

void ForwardLogic::on(const RegistryHeartbeatReceived& event, Instant now)
{
    m_quotas.noteContact(event.controller, now);
    on(event.heartbeat, now);
    m_follower.digestReceived(event.controller, event.heartbeat.digest, event.heartbeat.known);
    askForRegistry(now);
}

void ForwardLogic::on(const RegistryListReceived& event, Instant now)
{
    m_follower.listReceived(event.controller);
    for (const auto& announced : event.list.known)
        take(announced, now);
    for (const auto& withdrawn : event.list.ended)
        take(withdrawn, now);
    for (const auto& change : event.list.changing)
        on(change, now);
    chooseEngines(now);
    askForRegistry(now);
}

void ForwardLogic::askForRegistry(Instant now)
{
    auto digest = m_replicas.registry().digest();
    if (auto controller = m_follower.nextPeerToQuery(digest, now))
        m_effects.push_back(FetchRegistry { *controller, { digest } });
}

void ForwardLogic::on(const PeerDisconnected& event, Instant)
{
    m_replicas.rooms().forget(event.peer);
    m_follower.disconnected(event.peer);
    m_quotas.disconnected(event.peer);
}

// --- Which engines are used -------------------------------------------------------------------------------------

void ForwardLogic::chooseEnginesIfDue(Instant now)
{
    if (now - m_enginesChosenAt >= engineSelectionInterval)
        chooseEngines(now);
}

/// Only on news from controllers: while none is heard, all engines look silent, and those that were chosen stay.
void ForwardLogic::chooseEngines(Instant now)
{
    m_enginesChosenAt = now;
    m_replicas.subset().choose(m_replicas.registry(), now);
    linkSidecars(now);
}

void ForwardLogic::linkSidecars(Instant now)
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
