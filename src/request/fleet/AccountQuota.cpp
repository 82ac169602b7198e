#include "request/fleet/AccountQuota.h"

#include <algorithm>

namespace wrenhinge {

AccountQuota::AccountQuota(const QuotaRule& rule, const QuotaSettings& settings, Instant now)
    : m_rule(rule)
    , m_settings(settings)
    , m_filledAt(now)
    , m_retryDemandAt(now)
{
    m_level = std::min(depth(), settings.slack * initialFillFraction);
}

double AccountQuota::tolerance() const
{
    auto inWindow = m_rule.perSecond * toSeconds(m_settings.window) + m_rule.burst;
    return m_settings.excess * inWindow + m_settings.slack;
}

double AccountQuota::depth() const { return m_rule.burst + depthFraction * tolerance(); }

void AccountQuota::setRule(const QuotaRule& rule)
{
    auto former = depth();
    m_rule = rule;
    m_level = std::min(depth(), m_level + std::max(0.0, depth() - former));
}

AccountQuota::Allowance AccountQuota::allowance(Instant now) const
{
    auto limit = m_rule.perSecond;
    auto spare = unreservedFraction * tolerance() / toSeconds(m_settings.window);
    auto perSecond = isIsolated(now) ? share() : limit - std::max(0.0, m_reservedPerSecond - spare);
    return { perSecond, depth() * perSecond / limit };
}

/// Refills the bucket for the time since the last call. While totals arrive, the rate of the other gateways is deducted from the limit.
void AccountQuota::fill(Instant now)
{
    if (!isLimited())
        return;
    auto allowed = allowance(now);
    auto elapsed = toSeconds(std::max(Duration::zero(), now - m_filledAt));
    auto others = !isIsolated(now) && m_isBusy ? m_othersPerSecond : 0;
    m_level = std::min(allowed.depth, m_level + (allowed.perSecond - others) * elapsed);
    m_shareLevel = std::min(shareDepth(), m_shareLevel + share() * elapsed);
    m_filledAt = std::max(m_filledAt, now);
}

/// The share bounds only what this gateway uses without knowing the usage of the others, so it starts again with each total.
void AccountQuota::refillShare()
{
    m_shareLevel = std::max(m_shareLevel, shareDepth());
    m_exceedsShare = false;
}

AccountQuota::Verdict AccountQuota::admit(double amount, Instant now)
{
    if (isLimited()) {
        fill(now);
        // A request may be larger than the bucket, or than this gateway's share of it. It is admitted when the bucket is full, and later
        // requests wait until the debt is filled up.
        auto needed = isIsolated(now) ? 0 : std::min(amount, allowance(now).depth);
        if (m_level < needed || m_level <= 0 || mustAwaitTotal(now))
            return { false, recordRefusal(amount, now) };
        recordUsage(amount, now);
    }
    ++m_admitted;
    return {};
}

/// The part of all gateways' usage that is this gateway's own.
double AccountQuota::usageFraction(Instant now) const
{
    auto own = m_ownRate.perSecond(now);
    return std::clamp(own / std::max(1e-9, own + m_othersPerSecond), 1.0 / m_gateways, 1.0);
}

void AccountQuota::recordUsage(double amount, Instant now)
{
    m_level -= amount;
    m_shareLevel -= amount;
    m_unreported += amount;
    m_ownRate.add(amount, now);
    m_exceedsShare = m_shareLevel < -maxOverdraft();
    if (m_exceedsShare && !hasRecentTotal(now) && !m_requestedAt)
        m_requestedAt = now;
}

/// Whether this gateway has used so much beyond its share that it has to know the usage of the others first. Otherwise, after a pause, each
/// gateway would use the whole bucket before it hears of the others.
bool AccountQuota::mustAwaitTotal(Instant now)
{
    if (isIsolated(now) || hasRecentTotal(now) || m_shareLevel > -maxOverdraft())
        return false;
    if (!m_requestedAt)
        m_requestedAt = now;
    return true;
}

Duration AccountQuota::recordRefusal(double amount, Instant now)
{
    ++m_refused;
    auto delay = timeUntil(amount, now);
    m_retryDemand += amount;
    bool isTotalDue = m_hasContact && (m_isNew || m_requestedAt);
    if (isTotalDue)
        return delay > Duration::zero() ? std::min(delay, firstTotalDelay) : firstTotalDelay;
    return delay;
}

void AccountQuota::decayRetryDemand(Instant now)
{
    auto retried = allowance(now).perSecond * usageFraction(now) * toSeconds(now - m_retryDemandAt);
    m_retryDemand = std::max(0.0, m_retryDemand - retried);
    m_retryDemandAt = now;
}

Duration AccountQuota::timeUntil(double amount, Instant now)
{
    fill(now);
    decayRetryDemand(now);
    // The other gateways are assumed to refuse in proportion to their usage, so the demand of the whole account is this gateway's demand
    // divided by its part of the usage.
    auto deficit = std::max(0.0, std::min(amount, depth()) - m_level) + m_retryDemand / usageFraction(now);
    return fromSeconds(deficit / std::max(minRetryPerSecond, allowance(now).perSecond));
}

void AccountQuota::refund(double amount, Instant now)
{
    if (!isLimited())
        return;
    fill(now);
    m_level = std::min(depth(), m_level + amount);
    m_shareLevel += amount;
    m_unreported -= amount;
}

void AccountQuota::take(const AccountTotal& total, Instant now)
{
    fill(now);
    // fill() has already deducted the assumed usage of the others since the last broadcast, except while this gateway was isolated.
    auto forecast = m_isBusy ? m_othersPerSecond * toSeconds(std::min(now - m_lastTotalAt, totalTimeout)) : 0;
    m_level += forecast - total.othersUsage;
    m_othersPerSecond = total.othersPerSecond;
    m_reservedPerSecond = total.reservedPerSecond;
    m_isBusy = total.isBusy;
    m_lastTotalAt = now;
    m_requestedAt.reset();
    m_isNew = false;
    if (!m_isBusy) {
        m_othersPerSecond = 0;
        refillShare();
    }
}

void AccountQuota::markNotBusy(Instant now)
{
    m_knownCalmAt = now;
    refillShare();
    m_isNew = false;
    m_isBusy = false;
    m_othersPerSecond = 0;
}

void AccountQuota::setContact(bool hasContact, std::uint32_t gateways, Instant now)
{
    if (hasContact == m_hasContact && gateways == m_gateways)
        return;
    fill(now);
    m_isNew = m_isNew || !hasContact;
    m_hasContact = hasContact;
    m_gateways = std::max(1u, gateways);
    fill(now);
}

double AccountQuota::takeUnreported() { return std::exchange(m_unreported, 0); }

void AccountQuota::capUnreported(Instant now)
{
    setContact(false, m_gateways, now);
    m_unreported = std::min(m_unreported, depth() / m_gateways);
}

double AccountQuota::reportThreshold() const
{
    constexpr double partUnreported = 1.0 / 8;
    return depth() * partUnreported / m_gateways;
}

AccountQuota::Usage AccountQuota::usage(Instant now)
{
    return { m_ownRate.perSecond(now), m_othersPerSecond, isLimited() ? remaining(now) : 0, isIsolated(now) };
}

double AccountQuota::remaining(Instant now)
{
    fill(now);
    return m_level;
}

} // namespace wrenhinge
