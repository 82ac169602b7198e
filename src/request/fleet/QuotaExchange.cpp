#include "request/fleet/QuotaExchange.h"

#include <algorithm>

namespace wrenhinge {

void QuotaExchange::linked(PeerId gateway, const std::string& name)
{
    m_gateways[gateway].name = name;
    m_lost.erase(name);
}

void QuotaExchange::gone(PeerId gateway, Instant now)
{
    auto it = m_gateways.find(gateway);
    if (it == m_gateways.end())
        return;
    auto former = std::move(it->second);
    m_gateways.erase(it);
    // A newer run may have linked before the end of the former one was seen.
    bool isReplaced = std::any_of(m_gateways.begin(), m_gateways.end(), [&](const auto& item) { return item.second.name == former.name; });
    if (auto lost = m_lost.find(former.name); lost != m_lost.end())
        lost->second.isLinked = false;
    else if (!isReplaced)
        lose(former, false, now);
}

void QuotaExchange::lose(const Gateway& gateway, bool isLinked, Instant now)
{
    auto n = gateways() + (isLinked ? 0 : 1);
    auto marksAgo = std::min<std::size_t>((now - gateway.heardAt) / markEvery, Account().marks.size() - 1);
    Lost lost { now, isLinked, {} };
    for (const auto& [id, account] : m_accounts) {
        auto share = gateway.shares.find(id);
        auto own = share != gateway.shares.end() ? share->second.rate.perSecond(gateway.heardAt) : 0;
        auto [rate, reserved] = account.marks[marksAgo];
        auto all = std::max(own, rate);
        // By next to no use, the first request after a pause would decide who has the whole limit.
        bool isIdle = all < idlePart * account.limit;
        lost.parts[id] = isIdle ? account.limit / n : quota::partAlone(account.limit, reserved, own, all, n);
    }
    m_lost[gateway.name] = std::move(lost);
}

std::uint32_t QuotaExchange::gateways() const
{
    auto unlinked = std::count_if(m_lost.begin(), m_lost.end(), [](const auto& item) { return !item.second.isLinked; });
    return static_cast<std::uint32_t>(m_gateways.size()) + static_cast<std::uint32_t>(unlinked);
}

GatewayCounts QuotaExchange::gatewaysSeen() const { return { gateways(), static_cast<std::uint32_t>(m_lost.size()) }; }

void QuotaExchange::take(PeerId from, const QuotaReport& report, Instant now)
{
    auto it = m_gateways.find(from);
    if (it == m_gateways.end())
        return;
    auto& gateway = it->second;
    gateway.heardAt = now;
    if (!m_startedAt)
        m_startedAt = now;
    gateway.wantsTotals = report.wantsTotals;
    gateway.asksForAll = report.wantsTotals && report.asksForAll;
    m_inherited.take(report, now);
    m_lost.erase(gateway.name);
    setMark(now);
    for (const auto& use : report.uses) {
        auto& account = m_accounts[use.account];
        account.limit = use.perSecond;
        account.total += use.amount;
        account.recent.add(use.amount, now);
        account.rate.add(use.amount, now);
        auto& share = gateway.shares[use.account];
        if (std::exchange(share.mark, m_mark) != m_mark)
            share.usedAtMark = share.used;
        share.used += use.amount;
        if (use.asksForTotal) {
            share.askedAt = now;
            gateway.asked.insert(use.account);
        }
        share.rate.add(use.amount, now);
    }
}

void QuotaExchange::setMark(Instant now)
{
    if (now - m_markedAt < markEvery)
        return;
    m_markedAt = now;
    ++m_mark;
    for (auto& [id, account] : m_accounts) {
        account.totalAtMark = account.total;
        std::shift_right(account.marks.begin(), account.marks.end(), 1);
        account.marks.front() = { account.rate.perSecond(now), reserved(id, account, now) };
    }
}

/// Links may be mute without having ended.
void QuotaExchange::dropSilent(Instant now)
{
    for (const auto& [id, gateway] : m_gateways) {
        bool isSilent = gateway.heardAt != Instant() && now - gateway.heardAt > silentAfter;
        if (isSilent && !m_lost.contains(gateway.name))
            lose(gateway, true, now);
    }
    std::erase_if(m_lost, [now](const auto& item) { return now - item.second.at > reserveFor; });
}

double QuotaExchange::reserved(AccountId id, const Account& account, Instant now) const
{
    double sum = m_inherited.perSecond(id, account.limit, gateways(), now);
    for (const auto& [name, lost] : m_lost) {
        // Nobody used an account that was not known then.
        auto it = lost.parts.find(id);
        sum += it != lost.parts.end() ? it->second : account.limit / gateways();
    }
    return std::min(sum, account.limit);
}

std::vector<std::pair<PeerId, QuotaTotals>> QuotaExchange::tell(Instant now)
{
    setMark(now);
    dropSilent(now);
    noteBusy(now);
    if (!knowsBusy(now))
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

void QuotaExchange::noteBusy(Instant now)
{
    m_news.clear();
    for (auto& [id, account] : m_accounts) {
        account.reserved = reserved(id, account, now);
        if (account.limit > 0 && account.recent.perSecond(now) + account.reserved > quota::busyPart * account.limit)
            account.busyUntil = now + busyLasts;
        using News = Account::News;
        auto notBusy = account.news == News::Busy ? News::BusyNoMore : News::None;
        account.news = account.busyUntil > now ? News::Busy : notBusy;
        if (account.news != News::None)
            m_news.push_back(id);
    }
}

/// A controller that has just started does not know which accounts are busy, and says nothing. Gateways that it told that none is would
/// forget what the others use, and those that are cut off then take too large a part.
bool QuotaExchange::knowsBusy(Instant now) const { return m_startedAt && now - *m_startedAt >= ratesShowAfter; }

QuotaTotals QuotaExchange::totalsFor(Gateway& gateway, Instant now)
{
    QuotaTotals totals { {}, std::exchange(gateway.asksForAll, false), gatewaysSeen() };
    std::erase_if(gateway.asked, [&](AccountId id) { return now - gateway.shares[id].askedAt > busyLasts; });
    for (auto id : m_news)
        totals.totals.push_back(tellOf(id, m_accounts[id], gateway.shares[id], now));
    for (auto id : gateway.asked) {
        if (const auto& account = m_accounts[id]; account.news == Account::News::None)
            totals.totals.push_back(tellOf(id, account, gateway.shares[id], now));
    }
    return totals;
}

AccountTotal QuotaExchange::tellOf(AccountId id, const Account& account, Share& share, Instant now)
{
    bool wasTold = now - share.toldAt <= 3 * quota::tellEvery;
    // Soon after the start the rates show little of what goes on; by less of the others' use, gateways that are cut off then would take
    // their own parts for larger than they are.
    auto shown = account.rate.shownAfter(now - *m_startedAt);
    auto ownSinceMark = share.mark == m_mark ? share.used - share.usedAtMark : 0;
    auto others = wasTold ? (account.total - share.toldTotal) - (share.used - share.toldUsed)
                          : (account.total - account.totalAtMark) - ownSinceMark;
    share.toldTotal = account.total;
    share.toldUsed = share.used;
    share.toldAt = now;
    auto othersPerSecond = std::max(0.0, account.rate.perSecond(now) - share.rate.perSecond(now)) / shown;
    return { id, others, othersPerSecond, account.reserved, account.news == Account::News::Busy };
}

} // namespace wrenhinge
