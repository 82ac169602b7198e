#include "request/fleet/StreamDirectoryClient.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <xxhash.h>

namespace wrenhinge {

namespace {

    std::uint64_t rankOf(StreamId stream, PeerId holder)
    {
        auto peer = holder.value();
        return XXH3_64bits_withSeed(&peer, sizeof peer, stream.value());
    }

} // namespace

void StreamDirectoryClient::connected(PeerId peer, Role role, std::string zone, Instant now)
{
    m_holders.insert_or_assign(peer, Holder { role, std::move(zone) });
    if (!m_firstContactAt)
        m_firstContactAt = now;
}

void StreamDirectoryClient::disconnected(PeerId peer) { m_holders.erase(peer); }

std::vector<PeerId> StreamDirectoryClient::record(const StreamRecord& record, Instant now)
{
    m_own.add(record, now);
    return choose(record.stream, now);
}

/// Rendezvous hashing: gateways that are connected to the same holders choose the same ones.
std::vector<PeerId> StreamDirectoryClient::choose(StreamId stream, Instant now) const
{
    std::vector<PeerId> chosen;
    std::set<std::string> zones;
    while (chosen.size() < std::min(copies, m_holders.size())) {
        auto rank = [&](const auto& item) {
            const auto& [peer, holder] = item;
            return std::tuple(
                holder.unresponsiveUntil > now, holder.role != Role::Controller, zones.contains(holder.zone), rankOf(stream, peer));
        };
        auto best = m_holders.end();
        for (auto it = m_holders.begin(); it != m_holders.end(); ++it) {
            bool isChosen = std::find(chosen.begin(), chosen.end(), it->first) != chosen.end();
            if (!isChosen && (best == m_holders.end() || rank(*it) < rank(*best)))
                best = it;
        }
        chosen.push_back(best->first);
        zones.insert(best->second.zone);
    }
    return chosen;
}

bool StreamDirectoryClient::isAnyResponsive(const std::vector<PeerId>& holders, Instant now) const
{
    return std::any_of(holders.begin(), holders.end(), [this, now](PeerId peer) {
        auto it = m_holders.find(peer);
        return it != m_holders.end() && it->second.unresponsiveUntil <= now;
    });
}

void StreamDirectoryClient::replied(PeerId peer)
{
    if (auto it = m_holders.find(peer); it != m_holders.end())
        it->second.unresponsiveUntil = {};
}

void StreamDirectoryClient::notReplied(StreamId stream, Instant now)
{
    for (auto peer : choose(stream, now))
        m_holders.at(peer).unresponsiveUntil = now + unresponsivePeriod;
}

std::vector<PeerId> StreamDirectoryClient::holders() const
{
    std::vector<PeerId> list;
    for (const auto& [peer, holder] : m_holders)
        list.push_back(peer);
    return list;
}

} // namespace wrenhinge
