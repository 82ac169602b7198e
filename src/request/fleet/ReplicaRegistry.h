/** \file
 * The replicas known from their own announcements: soft state that both controllers and gateways keep.
 *
 * Announcements may arrive late, more than once and out of order, through several controllers, and a replica may restart under the same id.
 * So entries belong to a run: among the runs of an id the one with the latest start counts, and within a run the announcement with the
 * highest sequence number. By sequence number alone, a replica that restarts and counts from the beginning would be taken for its former
 * run until it has passed that run's number: requests would go to an address and a stage that it no longer has, and a replica that had
 * withdrawn would never be used again. Comparing the starts first also makes any two processes that have received announcements of the same
 * runs agree, in whatever order these arrived.
 *
 * A run that was withdrawn, or superseded by a newer one, never returns. Two ids may have the same address for a while, since an
 * announcement that a network partition delayed may arrive after its sender has ended. Both entries are kept, and the one that is no longer
 * renewed expires. Until then, the one that was heard from last is taken to be at the address (`isDisplaced`). Requests to a replica carry
 * the id of their target, so one that reaches the wrong replica is not run there.
 *
 * The start is read from the replica's own clock. If that was set back before a restart, the new run looks like a former one and is ignored
 * until the entry of the run with the later start expires. If the latest arrival counted instead, each announcement that a partition
 * delayed would bring an ended run back.
 */
#pragma once

#include "message/Messages.h"
#include "request/fleet/AnnouncementTimes.h"

#include <concepts>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace wrenhinge {

class ReplicaRegistry {
public:
    /// An entry that was not renewed for this long is removed. Announcements are late by seconds, far less than this.
    static constexpr Duration expiredAfter = 60s;
    /// Withdrawn runs are kept for this long, so that no late announcement revives one.
    static constexpr Duration withdrawnRetention = 300s;

    struct Entry {
        Announcement announcement;
        Instant lastHeardAt;
        std::optional<UpstreamKind> pendingStage; ///< The stage that the replica was ordered to change to and has not announced yet.
        Instant changeExpiresAt; ///< From then on the announced stage counts, whether or not the order was carried out.
        AnnouncementTimes times {};
        std::uint64_t digest = 0; ///< This entry's part of the registry's digest.
        std::uint64_t runDigest = 0; ///< This entry's part of the digest of the runs.

        [[nodiscard]] bool isChanging(Instant now) const { return pendingStage && changeExpiresAt > now; }
        /// An announcement is missing, so the replica may have crashed.
        [[nodiscard]] bool isOverdue(Instant now) const { return now - lastHeardAt > times.overdueAfter(); }
        /// The replica is considered unreachable: it is neither persisted nor counted, and requests go to it only if there is no other.
        [[nodiscard]] bool isSilent(Instant now) const { return now - lastHeardAt > times.silentAfter(); }
        [[nodiscard]] bool isExpired(Instant now) const { return now - lastHeardAt > expiredAfter; }
    };
    /// The newest run of an id that is known to have ended.
    struct EndedRun {
        ReplicaStart start;
        Instant at; ///< When this process learned that it ended.

        [[nodiscard]] bool isExpired(Instant now) const { return now - at > withdrawnRetention; }
    };
    enum class Change : std::uint8_t {
        None,
        Renewed,
        Changed,
        Restarted, ///< This run supersedes the one that was known or withdrawn; state about that one must be discarded.
    };

    explicit ReplicaRegistry(AnnouncementTimes times = AnnouncementTimes())
        : m_times(times)
    {
    }

    [[nodiscard]] const AnnouncementTimes& times() const { return m_times; }
    /// Applies an announcement that was sent `age` ago.
    Change announce(const Announcement&, Duration age, Instant now);
    /// Marks the run and those before it as ended. \returns whether that was new.
    bool withdraw(const ReplicaRun&, Instant now);
    /// Renews a run from which some process received something `age` ago.
    void renew(const ReplicaRun&, Duration age, Instant now);
    /// Renews runs by another process's heartbeat.
    void renew(const RegistryHeartbeat&, Instant now);
    /// Which runs a heartbeat lists. A process that renews a run that is not listed may take it to be fresher than it is, and must not pass
    /// that on: two controllers that did so to each other renewed a run that had ended forever, and requests were sent to its address,
    /// which another replica had by then.
    enum class HeartbeatScope : std::uint8_t {
        All, ///< For controllers, which pass ages on.
        Stale, ///< Only runs not heard from within `AnnouncementTimes::freshFor`; for gateways, which pass nothing on.
    };
    /// A heartbeat that renews all entries at a process with the same digest.
    [[nodiscard]] RegistryHeartbeat heartbeat(HeartbeatScope, Instant now) const;
    /// The unit of the ages that controllers send each other.
    static constexpr Duration ageUnit = 50ms;
    /// The same for controllers. Ages are rounded up. Two controllers make a run look fresher to each other by no more than the latency of
    /// a message for each, so that one that has ended still becomes silent.
    [[nodiscard]] RegistryAges ages(Instant now) const;
    void renew(const RegistryAges&, Instant now);
    /// All entries and ended runs, from which another process reaches the same state.
    [[nodiscard]] RegistryList list(Instant now) const;
    /// A request for what another process knows and this one does not.
    [[nodiscard]] RegistryRequest request() const;
    /// Those parts of the list whose digests differ from the ones in the request.
    [[nodiscard]] RegistryList listFor(const RegistryRequest&, Instant now) const;
    /// Equal at any two processes that know the same runs, addresses, states and pending stage changes; never zero.
    [[nodiscard]] std::uint64_t digest() const { return m_digestSum ? m_digestSum : 1; }
    /// Records that the replica was ordered to change its stage. \returns whether this was new.
    bool changeStage(const StageChange&, Instant now);
    void removeExpired(Instant now);

    /// The newest known run of the id, whether it still runs or has ended.
    [[nodiscard]] std::optional<ReplicaRun> newestRun(const std::string& id) const;
    /// The entry of exactly this run; nullptr if it is not known, has ended or was superseded by a newer run.
    [[nodiscard]] const Entry* find(const ReplicaRun&) const;
    /// Whether another replica was heard from later at the address of this one, which has probably ended.
    [[nodiscard]] bool isDisplaced(const Entry&) const;
    [[nodiscard]] const std::map<std::string, Entry>& entries() const { return m_entries; }
    [[nodiscard]] const std::map<std::string, EndedRun>& withdrawn() const { return m_withdrawn; }

private:
    [[nodiscard]] bool hasEnded(const ReplicaRun&) const;
    void updateDigest(Entry&);
    /// \param includes tells by the id whether to list a replica.
    template <std::predicate<const std::string&> F> [[nodiscard]] RegistryList listOf(F includes, Instant now) const;
    [[nodiscard]] std::vector<std::uint64_t> partDigests(std::size_t parts) const;
    void removeIfExpired(const std::string& id, Instant now);
    void insert(Entry);
    void erase(std::map<std::string, Entry>::iterator);
    void removeFromAddress(const Announcement&);

    AnnouncementTimes m_times;
    std::map<std::string, Entry> m_entries;
    std::unordered_map<std::string, std::vector<std::string>> m_idsAt; ///< The ids of the entries by address.
    std::uint64_t m_digestSum = 0; ///< Of the digests of all entries, so that their order does not matter.
    std::uint64_t m_runDigestSum = 0;
    std::map<std::string, EndedRun> m_withdrawn;
};

} // namespace wrenhinge
