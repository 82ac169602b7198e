/** \file
 * What is known of the replicas from their own announcements: soft state that controllers and gateways keep alike.
 *
 * Announcements may come late, twice and out of order, over several controllers. Of one id the highest sequence counts, and
 * an id that was withdrawn never comes back: a restarted replica has another id. Two ids may name the same address for a
 * while, since an announcement that a cut delayed arrives after its sender has ended; both stay known, and the one that is
 * no longer renewed ages out. Whoever sends to a replica names the id it means, so a wrong guess runs nothing.
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

    struct Entry {
        Announcement announcement;
        Instant heardAt;
        std::optional<UpstreamKind> changesTo; ///< It was ordered to change its stage and has not announced the new one.
        Instant changeEndsAt; ///< It is taken for what it announces then, whatever became of the order.

        [[nodiscard]] bool isChanging(Instant now) const { return changesTo && changeEndsAt > now; }
        /// It may be gone: neither remembered nor counted, and sent to only if there is no other.
        [[nodiscard]] bool isSilent(Instant now) const { return now - heardAt > silentAfter; }
    };
    enum class Change : std::uint8_t { None, Renewed, Changed };

    /// An entry that nobody renewed for this long is dropped. Far above the seconds by which announcements are late.
    static constexpr Duration forgetAfter = 60s;
    /// Withdrawn ids are remembered for this long, so that no late announcement revives one.
    static constexpr Duration rememberWithdrawn = 300s;

    Change announce(const Announcement&, Duration age, Instant now);
    /// \returns whether the id was not known as withdrawn before.
    bool withdraw(const std::string& id, Instant now);
    /// Somebody heard of the replica `age` ago.
    void renew(const std::string& id, Duration age, Instant now);
    /// \returns whether this was news.
    bool changeStage(const StageChange&, Instant now);
    void forgetOld(Instant now);

    [[nodiscard]] const std::map<std::string, Entry>& entries() const { return m_entries; }
    [[nodiscard]] const std::map<std::string, Instant>& withdrawn() const { return m_withdrawn; }

private:
    std::map<std::string, Entry> m_entries;
    std::map<std::string, Instant> m_withdrawn;
};

} // namespace wrenhinge
