#include "request/sidecar/UpstreamTable.h"

#include <algorithm>

namespace wrenhinge {

namespace {

    constexpr int failuresToEject = 3;
    constexpr Duration initialEjection = 500ms;
    constexpr Duration maxEjection = 30s;
    constexpr std::size_t maxKnownRuns = 4096;

    std::string indexKey(const std::string& service, UpstreamKind kind) { return service + "/" + std::to_string(static_cast<int>(kind)); }

    /// Spreads the bits of an identity or a prefix's hash (the finaliser of MurmurHash3).
    std::uint64_t mix(std::uint64_t x)
    {
        x ^= x >> 33;
        x *= 0xff51afd7ed558ccdULL;
        x ^= x >> 33;
        x *= 0xc4ceb9fe1a85ec53ULL;
        return x ^ (x >> 33);
    }

} // namespace

void UpstreamTable::onLinkUp(PeerId id) { m_sequences[id] = 0; }

void UpstreamTable::onLinkDown(PeerId id)
{
    m_sequences.erase(id);
    remove(id);
}

UpstreamTable::Change UpstreamTable::announce(const Hello& peer, const UpstreamAnnouncement& message, Instant now)
{
    auto [it, isNew] = m_upstreams.try_emplace(peer.id);
    auto& upstream = it->second;
    if (isNew) {
        upstream.id = peer.id;
        upstream.replica = peer.name;
        upstream.zone = peer.zone;
        upstream.service = message.service;
        upstream.kind = message.kind;
        upstream.model = message.model;
        auto& group = m_groups[indexKey(message.service, message.kind)];
        group.members.push_back(&upstream);
        group.ring[mix(peer.id.value())] = &upstream;
        m_knownRuns[peer.id] = { message.service, peer.name };
        m_knownRunOrder.push_back(peer.id);
        if (m_knownRunOrder.size() > maxKnownRuns) {
            m_knownRuns.erase(m_knownRunOrder.front());
            m_knownRunOrder.pop_front();
        }
    }
    upstream.leaseEnds = now + message.lease;
    bool wasDraining = upstream.load.draining;
    updateLoad(peer.id, message.load, now);
    if (isNew)
        return Change::Announced;
    return message.load.draining && !wasDraining ? Change::Draining : Change::None;
}

void UpstreamTable::remove(PeerId id)
{
    auto it = m_upstreams.find(id);
    if (it == m_upstreams.end())
        return;
    auto& group = m_groups[indexKey(it->second.service, it->second.kind)];
    std::erase(group.members, &it->second);
    group.ring.erase(mix(id.value()));
    m_upstreams.erase(it);
}

void UpstreamTable::updateLoad(PeerId id, const LoadReport& load, Instant now)
{
    auto it = m_upstreams.find(id);
    if (it == m_upstreams.end() || load.covered < it->second.load.covered)
        return;
    auto& upstream = it->second;
    upstream.load = load;
    upstream.reportedAt = now;
    while (!upstream.uncovered.empty() && upstream.uncovered.front().sequence <= load.covered)
        upstream.uncovered.pop_front();
}

std::uint64_t UpstreamTable::recordSent(PeerId id, Duration cost)
{
    auto it = m_upstreams.find(id);
    if (it == m_upstreams.end())
        return 0;
    auto sequence = ++m_sequences[id];
    it->second.uncovered.push_back({ sequence, cost });
    return sequence;
}

/// A replica that fails is left alone for a while, longer each time; it returns with one chance before the next ejection.
UpstreamTable::Change UpstreamTable::recordFailure(PeerId id, Instant now)
{
    auto it = m_upstreams.find(id);
    if (it == m_upstreams.end())
        return Change::None;
    auto& upstream = it->second;
    if (++upstream.failures < failuresToEject)
        return Change::None;
    auto ejectionTime = std::min(maxEjection, initialEjection * (1 << std::min(upstream.ejections, 10)));
    ++upstream.ejections;
    upstream.failures = failuresToEject - 1;
    upstream.ejectedUntil = now + ejectionTime;
    return Change::Ejected;
}

UpstreamTable::Change UpstreamTable::recordSuccess(PeerId id)
{
    auto it = m_upstreams.find(id);
    if (it == m_upstreams.end())
        return Change::None;
    bool wasEjected = it->second.ejections > 0;
    it->second.failures = 0;
    it->second.ejections = 0;
    return wasEjected ? Change::Returned : Change::None;
}

std::vector<PeerId> UpstreamTable::removeExpired(Instant now)
{
    std::vector<PeerId> expired;
    for (const auto& [id, upstream] : m_upstreams) {
        if (upstream.leaseEnds <= now)
            expired.push_back(id);
    }
    for (auto id : expired)
        remove(id);
    return expired;
}

const UpstreamTable::Upstream* UpstreamTable::find(PeerId id) const
{
    auto it = m_upstreams.find(id);
    return it == m_upstreams.end() ? nullptr : &it->second;
}

bool UpstreamTable::isEligible(const Upstream& upstream, Instant now) { return !upstream.load.draining && upstream.ejectedUntil <= now; }

const UpstreamTable::Group* UpstreamTable::groupOf(const std::string& service, UpstreamKind kind) const
{
    auto it = m_groups.find(indexKey(service, kind));
    return it == m_groups.end() ? nullptr : &it->second;
}

std::vector<const UpstreamTable::Upstream*> UpstreamTable::candidates(
    const std::string& service, UpstreamKind kind, Instant now, std::mt19937_64& random) const
{
    std::vector<const Upstream*> list;
    const auto* group = groupOf(service, kind);
    if (!group)
        return list;
    auto n = group->members.size();
    list.reserve(std::min(n, maxSampled));
    for (std::size_t i = 0; i < std::min(n, maxSampled); ++i) {
        const auto* upstream = group->members[n <= maxSampled ? i : random() % n];
        if (isEligible(*upstream, now))
            list.push_back(upstream);
    }
    return list;
}

const UpstreamTable::Upstream* UpstreamTable::prefixOwner(
    const std::string& service, UpstreamKind kind, std::uint64_t prefix, Instant now) const
{
    const auto* group = groupOf(service, kind);
    if (!group || group->ring.empty())
        return nullptr;
    auto it = group->ring.lower_bound(mix(prefix));
    const auto* upstream = it == group->ring.end() ? group->ring.begin()->second : it->second;
    return isEligible(*upstream, now) ? upstream : nullptr;
}

bool UpstreamTable::isReplaced(PeerId old, const std::string& service) const
{
    auto former = m_knownRuns.find(old);
    if (former == m_knownRuns.end() || m_upstreams.contains(old))
        return false;
    return std::any_of(m_upstreams.begin(), m_upstreams.end(),
        [&](const auto& item) { return item.second.service == service && item.second.replica == former->second.replica; });
}

Duration predictedSlotWait(const UpstreamTable::Upstream& upstream, Priority priority)
{
    const auto& load = upstream.load;
    auto wait = priority == Priority::Urgent ? load.urgentBacklog : load.backlog;
    auto uncovered = static_cast<std::int64_t>(upstream.uncovered.size());
    auto free = std::max<std::int64_t>(0, static_cast<std::int64_t>(load.slots) - load.occupied);
    if (uncovered > free && load.slots)
        wait += load.meanHold * (uncovered - free) / load.slots;
    return wait;
}

Duration predictedTransferTime(const UpstreamTable::Upstream& upstream, std::uint32_t promptTokens)
{
    return upstream.load.fixedCost + Duration(static_cast<std::int64_t>(upstream.load.microsPerToken * promptTokens));
}

Duration predictedCompletion(const UpstreamTable::Upstream& upstream, Priority priority, Duration cost)
{
    auto wait = priority == Priority::Urgent ? upstream.load.urgentBacklog : upstream.load.backlog;
    Duration ahead {};
    for (const auto& item : upstream.uncovered)
        ahead += item.cost;
    return wait + ahead / std::max(1u, upstream.load.slots) + cost;
}

} // namespace wrenhinge
