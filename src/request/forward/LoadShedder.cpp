#include "request/forward/LoadShedder.h"

#include <algorithm>

namespace wrenhinge {

namespace {

    /// Answers that take more than the first part of the target are late, since the ways to the caller come on top; those that take less
    /// than the second are early.
    constexpr double lateTargetShare = 0.8;
    constexpr double earlyTargetShare = 0.5;
    /// A service whose answers can't be as fast as that is not late by queueing: these many times its fastest ones, at least.
    constexpr double lateFastestMultiple = 3;
    constexpr double earlyFastestMultiple = 2;
    /// How much one answer counts: some ten in a row decide.
    constexpr double pressureStep = 0.04;
    /// Pressure below this refuses nothing: a few late answers among many are the service's own spread.
    constexpr double pressureThreshold = 0.15;
    /// Some requests go on to the replicas always, as only their answers show that there is room again.
    constexpr double maxRefusedShare = 0.9;
    /// For how long a replica's refusal shows that replicas are full. At the settled share a gateway sees one every second or two.
    constexpr Duration fullSignalLifetime = 5s;
    /// The fastest answer is forgotten by this part with each answer.
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
