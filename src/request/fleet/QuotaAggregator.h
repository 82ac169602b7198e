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

class QuotaAggregator {
public:
    /// A gateway that was not heard of for this long is taken to have ended. Cuts between regions last minutes, but a part of 1 in so many
    /// gateways that is missing is less harm than one that nobody gets.
    static constexpr Duration reservationPeriod = 60s;
    /// A gateway reports twice a second at least; one that has missed two of them is not heard.
    static constexpr Duration silentAfter = 1100ms;

    void connected(PeerId gateway, const std::string& name);
    void disconnected(PeerId gateway, Instant now);
    void take(PeerId gateway, const QuotaReport&, Instant now);
    /// What to tell whom; call it every `quota::broadcastInterval`.
    std::vector<std::pair<PeerId, QuotaTotals>> tell(Instant now);

private:
    /// Sooner after its start a controller's rates are those of a few requests.
    static constexpr Duration warmUpPeriod = 500ms;
    /// Use is kept apart from this time on, so that a gateway that was not told lately can be told of the last moments alone.
    static constexpr Duration snapshotInterval = 250ms;
    static constexpr Duration busyTimeConstant = 500ms;
    /// An account that uses less than this part of its limit is shared out alike to all gateways.
    static constexpr double idleFraction = 0.01;
    /// An account that was busy, or that a gateway asked for, is told of for this long: it would change with every request else.
    static constexpr Duration busyHoldTime = 1s;

    struct Account {
        double total = 0;
        double totalAtSnapshot = 0;
        double limit = 0;
        /// What all used a second at the last marks, and what was set aside for others; newest first. When a gateway is found to be lost,
        /// those that are heard have gone on without it for a while.
        struct Snapshot {
            double rate = 0;
            double reserved = 0;
        };
        std::array<Snapshot, 8> snapshots {};
        DecayingRate recent { busyTimeConstant };
        DecayingRate rate { quota::usageTimeConstant };
        double reserved = 0; ///< As of this telling, the same for all who are told.
        Instant busyUntil;
        enum class BusyState : std::uint8_t { NotBusy, Busy, NoLongerBusy };
        BusyState busyState = BusyState::NotBusy; ///< Of this telling.
    };
    struct Usage {
        double used = 0;
        double usedAtSnapshot = 0;
        std::uint64_t snapshot = 0; ///< To which `usedAtSnapshot` belongs.
        DecayingRate rate { quota::usageTimeConstant };
        double sentTotal = 0;
        double sentUsed = 0;
        Instant sentAt;
        Instant requestedAt;
    };
    struct Gateway {
        std::string name;
        Instant lastHeardAt;
        bool wantsTotals = false;
        bool asksForAll = false;
        std::unordered_map<AccountId, Usage> usages;
        std::set<AccountId> requested; ///< Accounts that it may have asked for of late.
    };
    /// A gateway that is not heard, and what it may use a second.
    struct LostGateway {
        Instant at;
        bool isConnected = false; ///< The link is mute.
        std::unordered_map<AccountId, double> reservations;
    };

    void markLost(const Gateway&, bool isConnected, Instant now);
    void detectSilentGateways(Instant now);
    void takeSnapshot(Instant now);
    [[nodiscard]] double reserved(AccountId, const Account&, Instant now) const;
    [[nodiscard]] std::uint32_t gatewayCount() const;
    [[nodiscard]] GatewayCounts gatewaysSeen() const;
    void updateBusyState(Instant now);
    [[nodiscard]] bool knowsBusyAccounts(Instant now) const;
    [[nodiscard]] QuotaTotals totalsFor(Gateway&, Instant now);
    AccountTotal totalFor(AccountId, const Account&, Usage&, Instant now);

    std::unordered_map<AccountId, Account> m_accounts;
    std::map<PeerId, Gateway> m_gateways;
    std::map<std::string, LostGateway> m_lostGateways; ///< By the gateway's name, which stays over its restarts.
    std::optional<Instant> m_startedAt; ///< With the first report.
    InheritedReserve m_inherited { reservationPeriod };
    std::vector<AccountId> m_broadcastAccounts; ///< Accounts that this telling is of, whoever is told.
    std::uint64_t m_snapshotNumber = 0;
    Instant m_snapshotAt;
};

} // namespace wrenhinge
