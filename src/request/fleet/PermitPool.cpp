#include "request/fleet/PermitPool.h"

#include "request/fleet/PermitTerms.h"

#include <algorithm>
#include <tuple>

namespace wrenhinge {

void PermitPool::setLimits(const std::map<LimitId, double>& limits, Instant now)
{
    create(now);
    std::erase_if(m_pools, [&limits](const auto& item) { return !limits.contains(item.first); });
    for (auto [id, limit] : limits)
        m_pools[id].limit = limit;
}

/// A loan goes on without a connection: the gateway itself creates nothing before its end.
void PermitPool::disconnected(PeerId gateway)
{
    if (auto it = m_gateways.find(gateway); it != m_gateways.end())
        it->second.isGone = true;
}

/// Creates the permits of the lent rights for the time since the last call.
void PermitPool::create(Instant now)
{
    double lentSeconds = 0;
    for (const auto& [peer, gateway] : m_gateways)
        lentSeconds += gateway.lentShare * std::max(0.0, toSeconds(std::min(now, gateway.lentUntil) - m_createdUntil));
    m_createdUntil = now;
    for (auto& [id, pool] : m_pools)
        pool.permits += pool.limit * lentSeconds;
}

void PermitPool::take(PeerId from, const PermitRequest& request, Instant now)
{
    create(now);
    auto& gateway = m_gateways[from];
    gateway.isGone = false;
    gateway.heardAt = now;
    gateway.awaitsReply = true;
    gateway.requestSentAt = request.sentAt;
    // The request was sent after that grant. Counted from its arrival, the loan could outlast the gateway's own count.
    auto grantSentAt = Instant(Duration(request.grantSentAt));
    bool isLent = request.grantSentAt != 0 && grantSentAt <= now;
    gateway.lentShare = isLent ? request.lentShare : 0;
    gateway.lentUntil = isLent ? grantSentAt + permits::lendTerm : now;
    for (auto& [id, demand] : gateway.demands) {
        demand.held = 0;
        demand.waited = std::exchange(demand.wanted, 0) > 0;
        while (!demand.unconfirmed.empty() && demand.unconfirmed.front().at <= grantSentAt)
            demand.unconfirmed.pop_front();
    }
    for (const auto& reported : request.demands) {
        auto& demand = gateway.demands[reported.limit];
        demand.held = reported.held;
        demand.wanted = reported.wanted;
        demand.rank = reported.rank;
        if (!demand.waited)
            demand.askedAt = now;
        if (auto pool = m_pools.find(reported.limit); pool != m_pools.end())
            pool->second.permits += reported.returned;
    }
    std::erase_if(gateway.demands, [](const auto& item) { return item.second.isEmpty(); });
}

double PermitPool::lentShare(Instant now) const
{
    double sum = 0;
    for (const auto& [peer, gateway] : m_gateways)
        sum += gateway.lentUntil > now ? gateway.lentShare : 0;
    return std::min(1.0, sum);
}

/// The permits that gateways may hold unused.
double PermitPool::issued(LimitId id, Instant now) const
{
    double sum = 0;
    for (const auto& [peer, gateway] : m_gateways) {
        auto it = gateway.demands.find(id);
        if (it == gateway.demands.end())
            continue;
        if (now - gateway.heardAt <= permits::lifetime)
            sum += it->second.held;
        for (const auto& grant : it->second.unconfirmed)
            sum += now - grant.at <= permits::lifetime ? grant.count : 0;
    }
    return sum;
}

void PermitPool::dropGone(Instant now)
{
    std::erase_if(
        m_gateways, [now](const auto& item) { return now - item.second.heardAt > std::max(permits::lifetime, permits::lendTerm); });
}

std::vector<std::pair<PeerId, PermitGrant>> PermitPool::grants(Instant now)
{
    create(now);
    dropGone(now);
    Grants grants;
    for (auto& [id, pool] : m_pools)
        issue(id, pool, grants, now);
    std::vector<std::pair<PeerId, PermitGrant>> all;
    for (auto& [peer, gateway] : m_gateways) {
        auto it = grants.find(peer);
        bool isDue = std::exchange(gateway.awaitsReply, false) || it != grants.end();
        if (!isDue)
            continue;
        all.emplace_back(peer, it != grants.end() ? std::move(it->second) : PermitGrant());
        all.back().second.sentAt = now.time_since_epoch().count();
        all.back().second.requestSentAt = gateway.requestSentAt;
    }
    return all;
}

/// Issues whole permits in turn, first to the gateways with the most urgent calls.
void PermitPool::issue(LimitId id, Pool& pool, Grants& grants, Instant now)
{
    auto share = lentShare(now);
    // One permit at least, or a small side of a network partition could never issue one.
    auto most = share > 0 ? std::max(1.0, permits::capacity(pool.limit) * share) : 0;
    pool.permits = std::clamp(pool.permits, 0.0, std::max(0.0, most - issued(id, now)));
    struct Waiting {
        PeerId peer;
        Demand* demand;
    };
    std::vector<Waiting> waiting;
    for (auto& [peer, gateway] : m_gateways) {
        if (auto it = gateway.demands.find(id); it != gateway.demands.end() && it->second.wanted && !gateway.isGone)
            waiting.push_back({ peer, &it->second });
    }
    auto isFirst = [](const Waiting& l, const Waiting& r) {
        return std::tie(l.demand->rank, l.demand->askedAt) > std::tie(r.demand->rank, r.demand->askedAt);
    };
    std::make_heap(waiting.begin(), waiting.end(), isFirst);
    while (pool.permits >= 1 && !waiting.empty()) {
        std::pop_heap(waiting.begin(), waiting.end(), isFirst);
        auto& [peer, demand] = waiting.back();
        pool.permits -= 1;
        --demand->wanted;
        // Each one that was served goes behind the others of its rank.
        demand->askedAt = std::max(demand->askedAt, now) + 1us;
        auto& permits = grants[peer].permits;
        if (permits.empty() || permits.back().limit != id)
            permits.push_back({ id });
        ++permits.back().count;
        if (demand->unconfirmed.empty() || demand->unconfirmed.back().at != now)
            demand->unconfirmed.push_back({ now });
        ++demand->unconfirmed.back().count;
        if (demand->wanted)
            std::push_heap(waiting.begin(), waiting.end(), isFirst);
        else
            waiting.pop_back();
    }
}

} // namespace wrenhinge
