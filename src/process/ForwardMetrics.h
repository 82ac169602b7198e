/** \file
 * Metrics of a gateway that calls upstreams itself, and their Prometheus text format.
 */
#pragma once

#include "connection/HttpServer.h"
#include "process/TimeHistogram.h"
#include "request/forward/ForwardEffects.h"

#include <map>
#include <mutex>
#include <string>

namespace wrenhinge {

class ForwardMetrics {
public:
    void record(const forward::Finished&);
    void setGauge(const std::string& name, double value);
    /// The Prometheus text format. Times are in seconds.
    [[nodiscard]] std::string text() const;

private:
    mutable std::mutex m_mutex; ///< Guards the members below; no other lock is acquired while it is held.
    std::map<std::pair<std::string, ResultCode>, std::uint64_t> m_requests;
    std::uint64_t m_resends = 0;
    TimeHistogram m_timeToFirstByte { 1e-3, 60 };
    TimeHistogram m_reservationWait { 1e-3, 60 };
    std::map<std::string, double> m_gauges;
};

/// What callers were refused, or lost a connection, for.
template <typename AnyMetrics> void setGauges(AnyMetrics& metrics, const HttpServer::Counters& counters)
{
    auto set = [&metrics](const char* name, std::uint64_t value) { metrics.setGauge(name, static_cast<double>(value)); };
    set("wrenhinge_callers_answered_at_head_total", counters.answeredAtHead);
    set("wrenhinge_callers_refused_while_received_total", counters.refusedWhileReceived);
    set("wrenhinge_callers_refused_when_received_total", counters.refusedWhenReceived);
    set("wrenhinge_callers_closed_for_room_total", counters.closedForRoom);
    set("wrenhinge_callers_closed_unread_total", counters.closedUnread);
    set("wrenhinge_callers_sent_too_far_ahead_total", counters.sentTooFarAhead);
}

} // namespace wrenhinge
