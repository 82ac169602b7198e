#include "request/forward/LoadShedder.h"

#include <algorithm>

namespace wrenhinge {

namespace {

    /// An answer that takes more than the first share of the target is late, since the transfer to the caller comes on top; one that
    /// takes less than the second share is early.
    constexpr double lateTargetShare = 0.8;
    constexpr double earlyTargetShare = 0.5;
    /// An answer is late or early by at least this multiple of the service's fastest ones: a service that is always slower than the
    /// thresholds above is not late because of queueing.
    constexpr double lateFastestMultiple = 3;
    constexpr double earlyFastestMultiple = 2;
    /// Change of the pressure per answer: about ten in a row have a clear effect.
    constexpr double pressureStep = 0.04;
    /// Below this pressure no request is refused: a few late answers among many are normal variation.
    constexpr double pressureThreshold = 0.15;
    /// Some requests are always sent to the replicas, since only their answers show that there is capacity again.
    constexpr double maxRefusedShare = 0.9;
    /// For how long replicas count as full after one refused a call. In the steady state a gateway sees a refusal every second or two.
    constexpr Duration fullSignalLifetime = 5s;
    /// The fastest latency grows by this share with each answer, so that it adapts to a service that becomes slower.
    constexpr double fastestDecay = 0.002;

    Duration scaled(Duration d, double by) { return fromSeconds(toSeconds(d) * by); }

} // namespace

void LoadShedder::noteAnswer(const std::string& name, Duration took, Duration target, Instant now)
{
    auto& service = m_services[name];
    bool isFirst = service.fastest == Duration::zero();
    service.fastest = isFirst ? took : std::min(took, scaled(service.fastest, 1 + fastestDecay));
    bool isLate = took > std::max(scaled(target, lateTargetShare), scaled(service.fastest, lateFastestMultiple));
    bool isEarly = took < std::max(scaled(target, earlyTargetShare), scaled(service.fastest, earlyFastestMultiple));
    bool isFull = service.fullAt != Instant() && now - service.fullAt < fullSignalLifetime;
    if (isLate && isFull)
        adjustPressure(service, pressureStep);
    else if (isEarly || !isFull)
        adjustPressure(service, -pressureStep);
}

void LoadShedder::noteFull(const std::string& name, Instant now)
{
    auto& service = m_services[name];
    service.fullAt = now;
    adjustPressure(service, pressureStep);
}

void LoadShedder::adjustPressure(Service& service, double by)
{
    service.pressure = std::clamp(service.pressure + by, 0.0, pressureThreshold + maxRefusedShare);
}

double LoadShedder::refusedShare(const std::string& name) const
{
    auto it = m_services.find(name);
    return it == m_services.end() ? 0 : std::max(0.0, it->second.pressure - pressureThreshold);
}

} // namespace wrenhinge
