/** \file
 * The times that follow from how often replicas announce themselves.
 *
 * Example: with an announcement each 3 s, a replica that is not heard from for 4.2 s is overdue, and after 6.3 s it is silent.
 */
#pragma once

#include "base/Time.h"

namespace wrenhinge {

class AnnouncementTimes {
public:
    static constexpr Duration defaultInterval = 1200ms;
    /// Heartbeats pass renewals on once a second, so a shorter interval tells nothing sooner.
    static constexpr Duration shortestInterval = 100ms;
    /// An entry expires after a minute. With a longer interval a few announcements that are lost would remove a running replica.
    static constexpr Duration longestInterval = 15s;

    /// \param interval in which each replica announces itself.
    constexpr explicit AnnouncementTimes(Duration interval = defaultInterval)
        : m_interval(interval)
    {
    }

    [[nodiscard]] constexpr Duration interval() const { return m_interval; }
    /// The next announcement of a running replica arrives within this time, unless it is one of the few that are seconds late.
    [[nodiscard]] constexpr Duration nextWithin() const { return m_interval + 800ms; }
    /// A run that was heard from within this time is left out of heartbeats to gateways that know it too.
    [[nodiscard]] constexpr Duration freshFor() const { return m_interval + 400ms; }
    /// The age that the recipient of a heartbeat assumes for a run that was left out. It is wrong by at most this much.
    [[nodiscard]] constexpr Duration assumedAge() const { return freshFor() / 2; }
    /// Something is received from a running replica within this time: an announcement, through a heartbeat.
    [[nodiscard]] constexpr Duration overdueAfter() const { return m_interval + heartbeatInterval + 200ms; }
    /// The same for announcements that are late. A replica that is silent for longer is considered unreachable.
    [[nodiscard]] constexpr Duration silentAfter() const { return m_interval + longestDelay + heartbeatInterval + 300ms; }
    /// The initial age of a replica that is restored from disk: it is used until its next announcement should have arrived.
    [[nodiscard]] constexpr Duration restoredAge() const { return silentAfter() - nextWithin(); }

private:
    /// Of the heartbeats that pass renewals on.
    static constexpr Duration heartbeatInterval = 1s;
    /// The longest delay of an announcement, except beside failures of the network.
    static constexpr Duration longestDelay = 2s;

    Duration m_interval;
};

} // namespace wrenhinge
