/** \file
 * What a controller does with the gateways' reports of what client accounts use: adds them up, and tells each gateway of the others.
 *
 * Every gateway reports to every controller, so each controller knows all that reaches its side of a cut, and any of them can take over the
 * telling. It keeps no limits of its own: which account is near its limit it learns from the reports. Accounts far below cost one
 * report now and then from the gateways that they use, and no telling at all, but to a gateway that asks since it has much of an account.
 *
 * A gateway that is no longer heard may go on by itself (AccountQuota). The part that it may use is told as set aside, until it is
 * heard again, another run of it comes, or it has been away for so long that it is taken to have ended. A controller that starts during a
 * cut learns from its gateways what was set aside before (InheritedReserve).
 */
#pragma once

#include "request/fleet/AccountQuota.h"
#include "request/fleet/InheritedReserve.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace wrenhinge {

class QuotaExchange {
public:
    /// A gateway that was not heard of for this long is taken to have ended. Cuts between regions last minutes, but a part of 1 in so many
    /// gateways that is missing is less harm than one that nobody gets.
    static constexpr Duration reserveFor = 60s;
    /// A gateway reports twice a second at least; one that has missed two of them is not heard.
    static constexpr Duration silentAfter = 1100ms;

    void linked(PeerId gateway, const std::string& name);
    void gone(PeerId gateway, Instant now);
    void take(PeerId gateway, const QuotaReport&, Instant now);
    /// What to tell whom; call it every `quota::tellEvery`.
    std::vector<std::pair<PeerId, QuotaTotals>> tell(Instant now);

private:
    /// Sooner after its start a controller's rates are those of a few requests.
    static constexpr Duration ratesShowAfter = 500ms;
    /// Use is kept apart from this time on, so that a gateway that was not told lately can be told of the last moments alone.
    static constexpr Duration markEvery = 250ms;
    static constexpr Duration busyMemory = 500ms;
    /// An account that uses less than this part of its limit is shared out alike to all gateways.
    static constexpr double idlePart = 0.01;
    /// An account that was busy, or that a gateway asked for, is told of for this long: it would change with every request else.
    static constexpr Duration busyLasts = 1s;

    struct Account {
        double total = 0;
        double totalAtMark = 0;
        double limit = 0;
        /// What all used a second at the last marks, and what was set aside for others; newest first. When a gateway is found to be lost,
        /// those that are heard have gone on without it for a while.
        struct Mark {
            double rate = 0;
            double reserved = 0;
        };
        std::array<Mark, 8> marks {};
        UseRate recent { busyMemory };
        UseRate rate { quota::shareMemory };
        double reserved = 0; ///< As of this telling, the same for all who are told.
        Instant busyUntil;
        enum class News : std::uint8_t { None, Busy, BusyNoMore };
        News news = News::None; ///< Of this telling.
    };
    struct Share {
        double used = 0;
        double usedAtMark = 0;
        std::uint64_t mark = 0; ///< To which `usedAtMark` belongs.
        UseRate rate { quota::shareMemory };
        double toldTotal = 0;
        double toldUsed = 0;
        Instant toldAt;
        Instant askedAt;
    };
    struct Gateway {
        std::string name;
        Instant heardAt;
        bool wantsTotals = false;
        bool asksForAll = false;
        std::unordered_map<AccountId, Share> shares;
        std::set<AccountId> asked; ///< Accounts that it may have asked for of late.
    };
    /// A gateway that is not heard, and what it may use a second.
    struct Lost {
        Instant at;
        bool isLinked = false; ///< The link is mute.
        std::unordered_map<AccountId, double> parts;
    };

    void lose(const Gateway&, bool isLinked, Instant now);
    void dropSilent(Instant now);
    void setMark(Instant now);
    [[nodiscard]] double reserved(AccountId, const Account&, Instant now) const;
    [[nodiscard]] std::uint32_t gateways() const;
    [[nodiscard]] GatewayCounts gatewaysSeen() const;
    void noteBusy(Instant now);
    [[nodiscard]] bool knowsBusy(Instant now) const;
    [[nodiscard]] QuotaTotals totalsFor(Gateway&, Instant now);
    AccountTotal tellOf(AccountId, const Account&, Share&, Instant now);

    std::unordered_map<AccountId, Account> m_accounts;
    std::map<PeerId, Gateway> m_gateways;
    std::map<std::string, Lost> m_lost; ///< By the gateway's name, which stays over its restarts.
    std::optional<Instant> m_startedAt; ///< With the first report.
    InheritedReserve m_inherited { reserveFor };
    std::vector<AccountId> m_news; ///< Accounts that this telling is of, whoever is told.
    std::uint64_t m_mark = 0;
    Instant m_markedAt;
};

} // namespace wrenhinge
