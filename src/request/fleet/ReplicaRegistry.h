/** \file
 * What is known of the replicas from their own announcements: soft state that controllers and gateways keep alike.
 *
 * Announcements may come late, twice and out of order, over several controllers, and a replica may start again under its id. So
 * what is known belongs to a run: of one id the run with the latest start counts, and of one run the highest sequence. By the
 * sequence alone a replica that starts again, and counts anew, would be taken for its former run until its count has passed that
 * one's: callers are sent to an address and a stage that it no longer has, and a replica that had withdrawn itself is never used
 * again. Comparing the starts first also makes any two processes that have heard of the same runs agree, in whatever order they
 * heard of them.
 *
 * A run that was withdrawn, or was followed by a newer one, never comes back. Two ids may name the same address for a while, since
 * an announcement that a cut delayed arrives after its sender has ended; both stay known, and the one that is no longer renewed
 * ages out. Whoever sends to a replica names the id it means, so a wrong guess runs nothing at another replica.
 *
 * The start is told by the replica's own clock. If that was set back before a restart, the new run looks like a former one and is
 * not believed until the entry of the run that has the later start is forgotten. The other way round, by believing whoever spoke
 * last, each announcement that a cut delayed would bring an ended run back.
 */
#pragma once

#include "message/Messages.h"

#include <map>
#include <optional>
#include <string>

namespace wrenhinge {

class ReplicaRegistry {
public:
    /// Replicas announce themselves every 1.2 s and some announcements come seconds late; one that has been silent for three of
    /// them is taken for gone.
    static constexpr Duration silentAfter = 4500ms;
    /// A replica that runs was heard of within this time: two announcements of 1.2 s.
    static constexpr Duration overdueAfter = 2400ms;
    /// A run that was heard of within this time need not be named to a gateway that knows it too: announcements come every 1.2 s, and some
    /// hundred ms late. It takes it to have been heard of `assumedAge` ago, which is wrong by 0.8 s at most, of the 4.5 s to silence.
    static constexpr Duration freshFor = 1600ms;
    static constexpr Duration assumedAge = freshFor / 2;
    /// An entry that nobody renewed for this long is dropped. Far above the seconds by which announcements are late.
    static constexpr Duration expiredAfter = 60s;
    /// Withdrawn runs are remembered for this long, so that no late announcement revives one.
    static constexpr Duration withdrawnRetention = 300s;

    struct Entry {
        Announcement announcement;
        Instant lastHeardAt;
        std::optional<UpstreamKind> pendingStage; ///< It was ordered to change its stage and has not announced the new one.
        Instant changeExpiresAt; ///< It is taken for what it announces then, whatever became of the order.

        [[nodiscard]] bool isChanging(Instant now) const { return pendingStage && changeExpiresAt > now; }
        /// It missed an announcement, so that it may have crashed.
        [[nodiscard]] bool isOverdue(Instant now) const { return now - lastHeardAt > overdueAfter; }
        /// It may be gone: neither remembered nor counted, and sent to only if there is no other.
        [[nodiscard]] bool isSilent(Instant now) const { return now - lastHeardAt > silentAfter; }
        [[nodiscard]] bool isExpired(Instant now) const { return now - lastHeardAt > expiredAfter; }
    };
    /// The newest run of an id that is known to have ended.
    struct EndedRun {
        ReplicaStart start;
        Instant at; ///< When this process heard of it.

        [[nodiscard]] bool isExpired(Instant now) const { return now - at > withdrawnRetention; }
    };
    enum class Change : std::uint8_t {
        None,
        Renewed,
        Changed,
        Restarted, ///< This run is newer than the one that was known or withdrawn: nothing that was believed of that one holds.
    };

    Change announce(const Announcement&, Duration age, Instant now);
    /// The run has ended, and those before it. \returns whether that was not known.
    bool withdraw(const ReplicaRun&, Instant now);
    /// Somebody heard of the run `age` ago.
    void renew(const ReplicaRun&, Duration age, Instant now);
    /// Renews the runs that another process has heard of.
    void renew(const RegistryHeartbeat&, Instant now);
    /// Which runs a heartbeat names. Whoever renews a run that is not named believes it to be fresher than it may be, and must pass that on
    /// to nobody: two controllers that did so to each other renewed a run that had ended for ever, and callers were sent to its address,
    /// which another replica had by then.
    enum class HeartbeatScope : std::uint8_t {
        All, ///< For controllers, which tell others in turn.
        Stale, ///< For gateways, which tell nobody.
    };
    /// What renews all that is known here at a process with the same digest.
    [[nodiscard]] RegistryHeartbeat heartbeat(HeartbeatScope, Instant now) const;
    /// All that another process needs to know the same.
    [[nodiscard]] RegistryList list(Instant now) const;
    /// The same at any two processes that know the same runs, addresses, states and changes of stage; never zero.
    [[nodiscard]] std::uint64_t digest() const;
    /// \returns whether this was news.
    bool changeStage(const StageChange&, Instant now);
    void removeExpired(Instant now);

    /// The newest run of the id that is known, whether it goes on or has ended.
    [[nodiscard]] std::optional<ReplicaRun> newestRun(const std::string& id) const;
    /// The entry of this very run; nullptr if it is not known, has ended, or has started again.
    [[nodiscard]] const Entry* find(const ReplicaRun&) const;
    [[nodiscard]] const std::map<std::string, Entry>& entries() const { return m_entries; }
    [[nodiscard]] const std::map<std::string, EndedRun>& withdrawn() const { return m_withdrawn; }

private:
    [[nodiscard]] bool hasEnded(const ReplicaRun&) const;
    void invalidateDigest() { m_digest = 0; }
    void removeIfExpired(const std::string& id, Instant now);

    std::map<std::string, Entry> m_entries;
    mutable std::uint64_t m_digest = 0; ///< Zero: to be worked out anew.
    std::map<std::string, EndedRun> m_withdrawn;
};

} // namespace wrenhinge
