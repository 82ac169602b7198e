#include "request/fleet/QuotaAggregator.h"

#include <algorithm>

namespace wrenhinge {

void QuotaAggregator::connected(PeerId gateway, const std::string& name)
{
    m_gateways[gateway].name = name;
    m_unreachableGateways.erase(name);
}

void QuotaAggregator::disconnected(PeerId gateway, Instant now)
{
    auto it = m_gateways.find(gateway);
    if (it == m_gateways.end())
        return;
    auto former = std::move(it->second);
    m_gateways.erase(it);
    // A newer run may have connected before this controller noticed the end of the former one.
    bool isReplaced = std::any_of(m_gateways.begin(), m_gateways.end(), [&](const auto& item) { return item.second.name == former.name; });
    if (auto unreachable = m_unreachableGateways.find(former.name); unreachable != m_unreachableGateways.end())
        unreachable->second.isConnected = false;
    else if (!isReplaced)
        m_unreachableGateways[former.name] = { now, false };
}

std::uint32_t QuotaAggregator::gatewayCount() const
{
    auto unconnected = std::count_if(
        m_unreachableGateways.begin(), m_unreachableGateways.end(), [](const auto& item) { return !item.second.isConnected; });
    return static_cast<std::uint32_t>(m_gateways.size()) + static_cast<std::uint32_t>(unconnected);
}

GatewayCounts QuotaAggregator::knownGateways() const
{
    return { gatewayCount(), static_cast<std::uint32_t>(m_unreachableGateways.size()) };
}

void QuotaAggregator::take(PeerId from, const QuotaReport& report, Instant now)
{
    auto it = m_gateways.find(from);
    if (it == m_gateways.end())
        return;
    auto& gateway = it->second;
    gateway.lastHeardAt = now;
    if (!m_startedAt)
        m_startedAt = now;
    gateway.wantsTotals = report.wantsTotals;
    gateway.asksForAll = report.wantsTotals && report.asksForAll;
    m_inherited.take(report, now);
    m_unreachableGateways.erase(gateway.name);
    takeSnapshot(now);
    for (const auto& use : report.uses) {
        auto& account = m_accounts[use.account];
        account.limit = use.perSecond;
        account.total += use.amount;
        account.recent.add(use.amount, now);
        account.rate.add(use.amount, now);
        auto& usage = gateway.usages[use.account];
        if (std::exchange(usage.snapshot, m_snapshotNumber) != m_snapshotNumber)
            usage.usedAtSnapshot = usage.used;
        usage.used += use.amount;
        if (use.asksForTotal) {
            usage.requestedAt = now;
            gateway.requested.insert(use.account);
        }
        usage.rate.add(use.amount, now);
    }
}

void QuotaAggregator::takeSnapshot(Instant now)
{
    if (now - m_snapshotAt < snapshotInterval)
        return;
    m_snapshotAt = now;
    ++m_snapshotNumber;
    for (auto& [id, account] : m_accounts)
        account.totalAtSnapshot = account.total;
}

/// A connection may stay open while nothing arrives on it.
void QuotaAggregator::detectSilentGateways(Instant now)
{
    for (const auto& [id, gateway] : m_gateways) {
        bool isSilent = gateway.lastHeardAt != Instant() && now - gateway.lastHeardAt > silentAfter;
        if (isSilent && !m_unreachableGateways.contains(gateway.name))
            m_unreachableGateways[gateway.name] = { now, true };
    }
    std::erase_if(m_unreachableGateways, [now](const auto& item) { return now - item.second.at > reservationPeriod; });
}

/// The part of each limit that is reserved for gateways without contact to this controller.
double QuotaAggregator::reservedShare(Instant now) const
{
    auto n = gatewayCount();
    auto unreachable = n ? static_cast<double>(m_unreachableGateways.size()) / n : 0;
    return std::min(1.0, unreachable + m_inherited.share(n, now));
}

std::vector<std::pair<PeerId, QuotaTotals>> QuotaAggregator::totalsToSend(Instant now)
{
    takeSnapshot(now);
    detectSilentGateways(now);
    updateBusyState(now);
    if (!knowsBusyAccounts(now))
        return {};
    std::vector<std::pair<PeerId, QuotaTotals>> all;
    for (auto& [peer, gateway] : m_gateways) {
        if (!gateway.wantsTotals)
            continue;
        if (auto totals = totalsFor(gateway, now); totals.isComplete || !totals.totals.empty())
            all.emplace_back(peer, std::move(totals));
    }
    return all;
}

void QuotaAggregator::updateBusyState(Instant now)
{
    m_broadcastAccounts.clear();
    auto share = reservedShare(now);
    for (auto& [id, account] : m_accounts) {
        account.reserved = account.limit * share;
        if (account.limit > 0 && account.recent.perSecond(now) + account.reserved > quota::busyFraction * account.limit)
            account.busyUntil = now + busyHoldTime;
        using BusyState = Account::BusyState;
        auto notBusy = account.busyState == BusyState::Busy ? BusyState::NoLongerBusy : BusyState::NotBusy;
        account.busyState = account.busyUntil > now ? BusyState::Busy : notBusy;
        if (account.busyState != BusyState::NotBusy)
            m_broadcastAccounts.push_back(id);
    }
}

/// A controller that has just started does not know which accounts are busy, and sends nothing. If it reported that none is, gateways would
/// discard the usage of the others.
bool QuotaAggregator::knowsBusyAccounts(Instant now) const { return m_startedAt && now - *m_startedAt >= warmUpPeriod; }

QuotaTotals QuotaAggregator::totalsFor(Gateway& gateway, Instant now)
{
    QuotaTotals totals { {}, std::exchange(gateway.asksForAll, false), knownGateways() };
    std::erase_if(gateway.requested, [&](AccountId id) { return now - gateway.usages[id].requestedAt > busyHoldTime; });
    for (auto id : m_broadcastAccounts)
        totals.totals.push_back(totalFor(id, m_accounts[id], gateway.usages[id], now));
    for (auto id : gateway.requested) {
        if (const auto& account = m_accounts[id]; account.busyState == Account::BusyState::NotBusy)
            totals.totals.push_back(totalFor(id, account, gateway.usages[id], now));
    }
    return totals;
}

AccountTotal QuotaAggregator::totalFor(AccountId id, const Account& account, Usage& usage, Instant now)
{
    bool wasSentRecently = now - usage.sentAt <= 3 * quota::broadcastInterval;
    // Soon after the start the averages are still too low. They are scaled up, since gateways deduct the usage of the others by them.
    auto convergence = account.rate.convergenceAfter(now - *m_startedAt);
    auto ownSinceSnapshot = usage.snapshot == m_snapshotNumber ? usage.used - usage.usedAtSnapshot : 0;
    auto others = wasSentRecently ? (account.total - usage.sentTotal) - (usage.used - usage.sentUsed)
                                  : (account.total - account.totalAtSnapshot) - ownSinceSnapshot;
    usage.sentTotal = account.total;
    usage.sentUsed = usage.used;
    usage.sentAt = now;
    auto othersPerSecond = std::max(0.0, account.rate.perSecond(now) - usage.rate.perSecond(now)) / convergence;
    return { id, others, othersPerSecond, account.reserved, account.busyState == Account::BusyState::Busy };
}

} // namespace wrenhinge
