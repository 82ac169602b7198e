#include "request/fleet/AccountQuota.h"

#include <algorithm>

namespace wrenhinge {

namespace quota {

    double partAlone(double limit, double reserved, double own, double all, std::uint32_t gateways)
    {
        if (gateways <= 1)
            return limit;
        auto shared = std::max(0.0, limit - reserved);
        auto byUse = std::min(shared, all > 0 ? shared * own / all : own / busyPart);
        return partOfUse * byUse + (1 - partOfUse) * limit / gateways;
    }

} // namespace quota

AccountQuota::AccountQuota(const QuotaRule& rule, const QuotaSettings& settings, Instant now)
    : m_rule(rule)
    , m_settings(settings)
    , m_filledAt(now)
    , m_promisedAt(now)
{
    m_level = std::min(depth(), settings.slack * startPart);
}

double AccountQuota::tolerance() const
{
    auto inWindow = m_rule.perSecond * toSeconds(m_settings.window) + m_rule.burst;
    return m_settings.excess * inWindow + m_settings.slack;
}

double AccountQuota::depth() const { return m_rule.burst + depthPart * tolerance(); }

void AccountQuota::setRule(const QuotaRule& rule)
{
    auto former = depth();
    m_rule = rule;
    m_level = std::min(depth(), m_level + std::max(0.0, depth() - former));
}

/// What this gateway may use a second without hearing of the others.
double AccountQuota::part(Instant now) const
{
    auto own = m_own.perSecond(now);
    return quota::partAlone(m_rule.perSecond, m_reservedPerSecond, own, m_isBusy ? own + m_othersPerSecond : 0, m_gateways);
}

AccountQuota::Allowance AccountQuota::allowance(Instant now) const
{
    auto limit = m_rule.perSecond;
    auto spare = sparePart * tolerance() / toSeconds(m_settings.window);
    auto perSecond = isAlone(now) ? m_partAlone.value_or(part(now)) : limit - std::max(0.0, m_reservedPerSecond - spare);
    return { perSecond, depth() * perSecond / limit };
}

/// Fills the bucket up to now: while others are heard, by what the limit leaves of their use.
void AccountQuota::fill(Instant now)
{
    if (!isLimited())
        return;
    if (isAlone(now))
        becomeAlone(now);
    else
        m_partAlone.reset();
    auto allowed = allowance(now);
    auto elapsed = toSeconds(std::max(Duration::zero(), now - m_filledAt));
    auto others = !isAlone(now) && m_isBusy ? m_othersPerSecond : 0;
    m_level = std::min(allowed.depth, m_level + (allowed.perSecond - others) * elapsed);
    auto alone = part(now);
    m_withinPart = std::min(depth() * alone / m_rule.perSecond, m_withinPart + alone * elapsed);
    m_filledAt = std::max(m_filledAt, now);
}

/// The part stays as it is from then on: by its own use it would grow, and with it what all use together.
void AccountQuota::becomeAlone(Instant now)
{
    if (!m_partAlone)
        m_partAlone = part(now);
}

AccountQuota::Verdict AccountQuota::admit(double amount, Instant now)
{
    if (isLimited()) {
        fill(now);
        // A request may be larger than the bucket, or than a gateway's part of it: it goes when that is full, and the next ones wait for
        // it.
        auto needed = isAlone(now) ? 0 : std::min(amount, allowance(now).depth);
        if (m_level < needed || m_level <= 0)
            return { false, noteRefusal(amount, now) };
        noteUse(amount, now);
    }
    ++m_admitted;
    return {};
}

void AccountQuota::noteUse(double amount, Instant now)
{
    m_level -= amount;
    m_withinPart -= amount;
    m_unreported += amount;
    m_own.add(amount, now);
    m_isPressing = m_withinPart < -mostUnheardPart * tolerance() / m_gateways;
    bool isTold = now - m_toldAt <= totalsLate;
    if (m_isPressing && !isTold && !m_askedAt)
        m_askedAt = now;
}

Duration AccountQuota::noteRefusal(double amount, Instant now)
{
    ++m_refused;
    auto own = m_own.perSecond(now);
    auto ownPart = std::clamp(own / std::max(1.0, own + m_othersPerSecond), 1.0 / m_gateways, 1.0);
    auto perSecond = allowance(now).perSecond;
    m_promised = std::max(0.0, m_promised - perSecond * ownPart * toSeconds(now - m_promisedAt));
    m_promisedAt = now;
    // The other gateways refuse as many for each one here as their callers are more.
    auto awaited = std::max(0.0, std::min(amount, depth()) - m_level) + m_promised / ownPart;
    m_promised += amount;
    auto after = fromSeconds(awaited / std::max(1.0, perSecond));
    return m_isNew && m_isHearing ? std::min(after, untilTold) : after;
}

void AccountQuota::giveBack(double amount, Instant now)
{
    if (!isLimited())
        return;
    fill(now);
    m_level = std::min(depth(), m_level + amount);
    m_withinPart += amount;
    m_unreported -= amount;
}

void AccountQuota::take(const AccountTotal& total, Instant now)
{
    fill(now);
    // What the others were taken to use since the last telling has left the bucket already, but while this gateway was alone.
    auto forecast = m_isBusy ? m_othersPerSecond * toSeconds(std::min(now - m_toldAt, totalsLate)) : 0;
    m_level += forecast - total.othersUsage;
    m_othersPerSecond = total.othersPerSecond;
    m_reservedPerSecond = total.reservedPerSecond;
    m_isBusy = total.isBusy;
    m_toldAt = now;
    m_askedAt.reset();
    m_isNew = false;
    m_partAlone.reset();
    if (!m_isBusy)
        m_othersPerSecond = 0;
}

void AccountQuota::takeCalm()
{
    m_isNew = false;
    m_isBusy = false;
    m_othersPerSecond = 0;
}

void AccountQuota::setContact(bool isHearing, std::uint32_t gateways, Instant now)
{
    if (isHearing == m_isHearing && gateways == m_gateways)
        return;
    fill(now);
    m_isNew = m_isNew || !isHearing;
    m_isHearing = isHearing;
    m_gateways = std::max(1u, gateways);
    fill(now);
}

double AccountQuota::takeUnreported() { return std::exchange(m_unreported, 0); }

void AccountQuota::keepUnreported(Instant now)
{
    setContact(false, m_gateways, now);
    m_unreported = std::min(m_unreported, depth() / m_gateways);
}

double AccountQuota::reportBeyond() const
{
    constexpr double partUnreported = 1.0 / 8;
    return depth() * partUnreported / m_gateways;
}

AccountQuota::Use AccountQuota::use(Instant now)
{
    return { m_own.perSecond(now), m_othersPerSecond, isLimited() ? left(now) : 0, isAlone(now) };
}

double AccountQuota::left(Instant now)
{
    fill(now);
    return m_level;
}

} // namespace wrenhinge
