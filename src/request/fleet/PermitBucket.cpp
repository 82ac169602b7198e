#include "request/fleet/PermitBucket.h"

#include "request/fleet/PermitTerms.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace wrenhinge {

namespace {

    /// The rank of permits that no call waits for.
    constexpr auto spareRank = std::numeric_limits<std::uint32_t>::max();

} // namespace

void PermitBucket::create(double share, Instant from, Instant now)
{
    auto elapsed = toSeconds(now - std::max(m_createdUntil, from));
    m_createdUntil = std::max(m_createdUntil, now);
    if (elapsed <= 0)
        return;
    auto capacity = permits::capacity(m_limit) * share;
    m_isDrawn = capacity < 1;
    auto most = (m_isDrawn ? drawnCapacityFraction * capacity : capacity) - issued();
    auto created = m_limit * share * elapsed * (m_isDrawn ? drawnCreationFraction : 1);
    if (m_own < most)
        m_own = std::min(most, m_own + created);
}

void PermitBucket::dropLapsed(Instant now)
{
    while (!m_issued.empty() && m_issued.front().until <= now)
        m_issued.pop_front();
}

double PermitBucket::issued() const
{
    double sum = 0;
    for (const auto& batch : m_issued)
        sum += batch.count;
    return sum;
}

bool PermitBucket::takeIssued()
{
    if (m_issued.empty())
        return false;
    if (--m_issued.front().count == 0)
        m_issued.pop_front();
    return true;
}

bool PermitBucket::takeOwn(double draw)
{
    if (m_own >= 1) {
        m_own -= 1;
        return true;
    }
    if (!m_isDrawn || m_own <= 0)
        return false;
    // The fraction is spent whether or not the lot wins.
    return draw < std::exchange(m_own, 0);
}

bool PermitBucket::tryTake(std::uint32_t rank, Instant now, double draw)
{
    dropLapsed(now);
    m_demand.add(1, now);
    m_lastDemandAt = now;
    if (!takeIssued() && !takeOwn(draw)) {
        recordRefused(rank, now);
        return false;
    }
    m_used.add(1, now);
    m_hasNewDemand = m_hasNewDemand || (m_issued.empty() && m_requested == 0);
    return true;
}

void PermitBucket::recordRefused(std::uint32_t rank, Instant now)
{
    m_refusedRank = isRefusing(now) ? std::min(m_refusedRank, rank) : rank;
    m_refusedAt = now;
    m_hasNewDemand = m_hasNewDemand || m_requested == 0 || rank < m_requestedRank;
}

void PermitBucket::add(std::uint32_t count, Instant until, Instant now)
{
    m_requested -= std::min(m_requested, count);
    // Calls without a permit come first.
    for (; m_own < 0 && count; --count)
        m_own += 1;
    if (count && until > now)
        m_issued.push_back({ count, now, until });
}

/// Removes the permits that were not used for a while. \returns how many.
std::uint32_t PermitBucket::removeOld(Instant now)
{
    std::uint32_t count = 0;
    for (; !m_issued.empty() && now - m_issued.front().addedAt >= returnAfter; m_issued.pop_front())
        count += m_issued.front().count;
    return count;
}

/// The permits that calls wait for, or will need before a further request is granted.
double PermitBucket::wanted(Instant now) const
{
    auto ahead = std::floor(m_demand.perSecond(now) * toSeconds(lookahead));
    auto calls = std::clamp(ahead, isRefusing(now) ? 1.0 : 0.0, std::max(1.0, m_limit));
    return calls - m_own - issued();
}

PermitDemand PermitBucket::demand(LimitId id, double share, bool lends, Instant now)
{
    dropLapsed(now);
    PermitDemand demand { id };
    demand.returned = removeOld(now);
    if (lends && m_own > 0)
        demand.returned += std::exchange(m_own, 0);
    demand.held = std::max(0.0, issued() + m_own);
    auto lacking = std::ceil(wanted(now));
    bool keepsSpare = m_lastDemandAt && now - *m_lastDemandAt <= spareTime;
    auto spare = std::floor(std::max(1.0, sparePart * share * permits::capacity(m_limit)) - demand.held);
    if (lacking > 0) {
        demand.wanted = static_cast<std::uint32_t>(lacking);
        demand.rank = m_refusedRank;
    } else if (keepsSpare && spare > 0) {
        demand.wanted = static_cast<std::uint32_t>(spare);
        demand.rank = spareRank;
    }
    m_requested = demand.wanted;
    m_requestedRank = demand.rank;
    m_hasNewDemand = false;
    return demand;
}

double PermitBucket::remaining(Instant now)
{
    dropLapsed(now);
    return issued() + m_own;
}

/// The part of all gateways' calls that is this gateway's own.
double PermitBucket::usageFraction(double share, Instant now) const { return std::clamp(m_used.perSecond(now) / m_limit, share, 1.0); }

Duration PermitBucket::retryAfter(double share, Instant now)
{
    auto fraction = usageFraction(share, now);
    m_retryDemand = std::max(0.0, m_retryDemand - m_limit * fraction * toSeconds(now - m_retryDemandAt));
    m_retryDemandAt = now;
    // The other gateways are assumed to refuse in proportion to their usage.
    return fromSeconds((1 + m_retryDemand / fraction) / m_limit);
}

Duration PermitBucket::recordRefusal(double share, Instant now)
{
    auto delay = retryAfter(share, now);
    m_retryDemand += 1;
    return delay;
}

} // namespace wrenhinge
