#include "request/forward/LoadShedder.h"

#include <algorithm>

namespace wrenhinge {

namespace {

    /// Answers that take more than the first part of the target are late, since the ways to the caller come on top; those that take less
    /// than the second are early.
    constexpr double latePart = 0.8;
    constexpr double earlyPart = 0.5;
    /// A service whose answers can't be as fast as that is not late by queueing: these many times its fastest ones, at least.
    constexpr double lateTimes = 3;
    constexpr double earlyTimes = 2;
    /// How much one answer counts: some ten in a row decide.
    constexpr double step = 0.04;
    /// Pressure below this refuses nothing: a few late answers among many are the service's own spread.
    constexpr double ignored = 0.15;
    /// Some requests go on to the replicas always, as only their answers show that there is room again.
    constexpr double mostRefused = 0.9;
    /// For how long a replica's refusal shows that replicas are full. At the settled share a gateway sees one every second or two.
    constexpr Duration fullFor = 5s;
    /// The fastest answer is forgotten by this part with each answer.
    constexpr double forgetFastest = 0.002;

    Duration scaled(Duration d, double by) { return fromSeconds(toSeconds(d) * by); }

} // namespace

void LoadShedder::noteAnswer(const std::string& name, Duration took, Duration target, Instant now)
{
    auto& service = m_services[name];
    bool isFirst = service.fastest == Duration::zero();
    service.fastest = isFirst ? took : std::min(took, scaled(service.fastest, 1 + forgetFastest));
    bool isLate = took > std::max(scaled(target, latePart), scaled(service.fastest, lateTimes));
    bool isEarly = took < std::max(scaled(target, earlyPart), scaled(service.fastest, earlyTimes));
    bool isFull = service.fullAt != Instant() && now - service.fullAt < fullFor;
    if (isLate && isFull)
        press(service, step);
    else if (isEarly || !isFull)
        press(service, -step);
}

void LoadShedder::noteFull(const std::string& name, Instant now)
{
    auto& service = m_services[name];
    service.fullAt = now;
    press(service, step);
}

void LoadShedder::press(Service& service, double by) { service.pressure = std::clamp(service.pressure + by, 0.0, ignored + mostRefused); }

double LoadShedder::refusedShare(const std::string& name) const
{
    auto it = m_services.find(name);
    return it == m_services.end() ? 0 : std::max(0.0, it->second.pressure - ignored);
}

} // namespace wrenhinge
