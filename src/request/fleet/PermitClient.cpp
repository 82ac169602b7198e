#include "request/fleet/PermitClient.h"

#include "request/fleet/PermitTerms.h"

#include <algorithm>

namespace wrenhinge {

namespace {

    std::int64_t clockReading(Instant now) { return now.time_since_epoch().count(); }

} // namespace

void PermitClient::setLimits(const std::map<LimitId, double>& limits, Instant now)
{
    // A former run of this gateway may have lent its right until this process started.
    if (!std::exchange(m_hasStarted, true))
        m_lentUntil = now + permits::lendTerm;
    createOwn(now);
    std::erase_if(m_buckets, [&limits](const auto& item) { return !limits.contains(item.first); });
    for (auto [id, limit] : limits) {
        auto [it, isNew] = m_buckets.try_emplace(id, limit, now);
        it->second.setLimit(limit);
    }
    m_requestAt = m_buckets.empty() ? Instant::max() : std::min(m_requestAt, now);
}

/// Creates the permits of this gateway's own right, which it has while it isn't lent.
void PermitClient::createOwn(Instant now)
{
    for (auto& [id, bucket] : m_buckets)
        bucket.create(share(), m_lentUntil, now);
}

PermitBucket* PermitClient::find(LimitId id, Instant now)
{
    auto it = m_buckets.find(id);
    if (it == m_buckets.end())
        return nullptr;
    it->second.create(share(), m_lentUntil, now);
    return &it->second;
}

bool PermitClient::tryTake(LimitId id, std::uint32_t rank, Instant now)
{
    auto* bucket = find(id, now);
    if (!bucket)
        return true;
    bool isTaken = bucket->tryTake(rank, now, std::uniform_real_distribution<double>()(m_random));
    if (bucket->hasNewDemand())
        m_requestAt = std::min(m_requestAt, now + promptRequestDelay);
    return isTaken;
}

void PermitClient::charge(LimitId id, Instant now)
{
    if (auto* bucket = find(id, now))
        bucket->charge();
}

void PermitClient::putBack(LimitId id, Instant now)
{
    if (auto* bucket = find(id, now))
        bucket->putBack();
}

void PermitClient::setGateways(std::uint32_t n, Instant now)
{
    createOwn(now);
    m_gateways = std::max(1u, n);
}

void PermitClient::disconnected(PeerId controller)
{
    m_lastHeardAt.erase(controller);
    m_avoidedUntil.erase(controller);
    if (m_controller == controller)
        m_controller.reset();
}

void PermitClient::take(PeerId controller, const PermitGrant& grant, Instant now)
{
    noteContact(controller, now);
    auto requestSentAt = Instant(Duration(grant.requestSentAt));
    for (const auto& [id, count] : grant.permits) {
        if (auto* bucket = find(id, now))
            bucket->add(count, requestSentAt + permits::lifetime, now);
    }
    if (controller != m_controller)
        return;
    m_grantSentAt = grant.sentAt;
    if (m_unansweredSince && requestSentAt >= *m_unansweredSince)
        m_unansweredSince.reset();
}

bool PermitClient::isReachable(PeerId controller, Instant now) const
{
    auto it = m_lastHeardAt.find(controller);
    return it != m_lastHeardAt.end() && now - it->second <= contactTimeout;
}

void PermitClient::chooseController(Instant now)
{
    if (m_controller && m_unansweredSince && now - *m_unansweredSince > replyTimeout)
        m_avoidedUntil[*m_controller] = now + avoidance;
    std::erase_if(m_avoidedUntil, [now](const auto& item) { return item.second <= now; });
    std::optional<PeerId> best;
    for (const auto& [controller, at] : m_lastHeardAt) {
        if (!isReachable(controller, now) || m_avoidedUntil.contains(controller))
            continue;
        best = controller;
        break;
    }
    // An avoided one is better than none.
    if (!best && m_controller && isReachable(*m_controller, now))
        best = m_controller;
    if (best == m_controller && best)
        return;
    m_controller = best;
    m_grantSentAt = 0;
    m_unansweredSince.reset();
}

/// Whether the controller can tell how long a loan lasts, and no other one has this gateway's right.
bool PermitClient::mayLend(Instant now) const { return m_grantSentAt != 0 && (m_borrower == m_controller || now >= m_lentUntil); }

std::optional<std::pair<PeerId, PermitRequest>> PermitClient::request(Instant now)
{
    if (m_buckets.empty() || m_requestAt > now)
        return std::nullopt;
    m_requestAt = now + requestInterval;
    chooseController(now);
    if (!m_controller)
        return std::nullopt;
    createOwn(now);
    PermitRequest request { clockReading(now), m_grantSentAt, 0, {} };
    bool lends = mayLend(now);
    if (lends) {
        m_borrower = m_controller;
        m_lentUntil = now + permits::lendTerm;
        request.lentShare = share();
    }
    for (auto& [id, bucket] : m_buckets) {
        auto demand = bucket.demand(id, share(), lends, now);
        if (demand.wanted || demand.held > 0 || demand.returned > 0)
            request.demands.push_back(demand);
    }
    if (!m_unansweredSince)
        m_unansweredSince = now;
    return std::pair(*m_controller, std::move(request));
}

} // namespace wrenhinge
