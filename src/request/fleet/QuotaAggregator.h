/** \file
 * A controller's aggregation of the account usage that gateways report: adds it up and sends each gateway the usage of the others.
 *
 * Every gateway reports to every controller, so each controller knows all usage on its side of a network partition, and any of them can
 * take over the broadcasts. It has no configuration of limits: the reports say which account is near its limit. Accounts far below their
 * limits cost occasional reports from the gateways that their callers use, and no broadcasts, except to a gateway that requests a total
 * because it handles a large part of an account.
 *
 * A gateway that is no longer reachable may continue in isolation (AccountQuota). Its share is broadcast as reserved until it reports
 * again, another run of it connects, or it has been unreachable for so long that it is assumed to have ended. A controller that starts
 * during a partition learns from its gateways how many are missing (InheritedReserve).
 */
#pragma once

#include "request/fleet/AccountQuota.h"
#include "request/fleet/InheritedReserve.h"

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
    /// A gateway that has been unreachable for this long is assumed to have ended. Partitions between regions last minutes, but exceeding
    /// the limit by the share of one among many gateways does less harm than withholding that share from all of them.
    static constexpr Duration reservationPeriod = 60s;
    /// Gateways report at least twice a second; one whose report is overdue is unreachable. Until then both it and the others use its
    /// share.
    static constexpr Duration silentAfter = 800ms;

    void connected(PeerId gateway, const std::string& name);
    void disconnected(PeerId gateway, Instant now);
    /// Adds a gateway's report.
    void take(PeerId gateway, const QuotaReport&, Instant now);
    /// Returns the totals to send, with their recipients. Call it every `quota::broadcastInterval`.
    std::vector<std::pair<PeerId, QuotaTotals>> totalsToSend(Instant now);

private:
    /// Earlier after its start a controller's rates come from a few requests only.
    static constexpr Duration warmUpPeriod = 500ms;
    /// Interval of the usage snapshots. A gateway that has received no total lately is sent only the usage since the last snapshot.
    static constexpr Duration snapshotInterval = 250ms;
    /// Time constant of the average usage by which an account is busy or not.
    static constexpr Duration busyTimeConstant = 500ms;
    /// An account that was busy, or requested by a gateway, is broadcast for this long. Without it the state would change with every
    /// request.
    static constexpr Duration busyHoldTime = 1s;

    struct Account {
        double total = 0;
        double totalAtSnapshot = 0;
        double limit = 0;
        DecayingRate recent { busyTimeConstant };
        DecayingRate rate { quota::usageTimeConstant };
        double reserved = 0; ///< Computed once per broadcast, for all recipients.
        Instant busyUntil;
        enum class BusyState : std::uint8_t { NotBusy, Busy, NoLongerBusy };
        BusyState busyState = BusyState::NotBusy; ///< For the current broadcast.
    };
    struct Usage {
        double used = 0;
        double usedAtSnapshot = 0;
        std::uint64_t snapshot = 0; ///< The number of the snapshot of `usedAtSnapshot`.
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
        std::set<AccountId> requested; ///< Accounts that it may have requested within `busyHoldTime`.
    };
    struct UnreachableGateway {
        Instant at;
        bool isConnected = false; ///< Its connection is open, but nothing arrives.
    };

    void detectSilentGateways(Instant now);
    void takeSnapshot(Instant now);
    [[nodiscard]] double reservedShare(Instant now) const;
    [[nodiscard]] std::uint32_t gatewayCount() const;
    [[nodiscard]] GatewayCounts knownGateways() const;
    void updateBusyState(Instant now);
    [[nodiscard]] bool knowsBusyAccounts(Instant now) const;
    [[nodiscard]] QuotaTotals totalsFor(Gateway&, Instant now);
    AccountTotal totalFor(AccountId, const Account&, Usage&, Instant now);

    std::unordered_map<AccountId, Account> m_accounts;
    std::map<PeerId, Gateway> m_gateways;
    std::map<std::string, UnreachableGateway> m_unreachableGateways; ///< By the gateway's name, which it keeps when it restarts.
    std::optional<Instant> m_startedAt; ///< When the first report arrived.
    InheritedReserve m_inherited { reservationPeriod };
    std::vector<AccountId> m_broadcastAccounts; ///< Accounts that the current broadcast contains for every recipient.
    std::uint64_t m_snapshotNumber = 0;
    Instant m_snapshotAt;
};

} // namespace wrenhinge
