#include "request/fleet/CrashTracker.h"

#include <algorithm>

namespace wrenhinge {

namespace {

    /// The most crashes that are kept per request. Only a request that many callers send while connections to replicas are reset all the
    /// time has so many more than it takes to refuse it. Further ones are ignored; if old ones were evicted instead, they would be taken
    /// for new when they are reported again.
    constexpr std::size_t maxCrashes = 64;
    /// How many requests are evicted at a time, so that the oldest need not be searched for with each new request.
    constexpr std::size_t evictionBatch = CrashTracker::maxRequests / 8;

} // namespace

// --- Recording crashes and responses ----------------------------------------------------------------------------

CrashReport CrashTracker::noteCrash(ContentFingerprint request, const ReplicaRun& run, Duration ranFor, Instant now)
{
    return take({ { { request, run.id, run.start, Duration::zero(), ranFor } }, {} }, now);
}

CrashReport CrashTracker::noteServed(ContentFingerprint request, Instant now)
{
    return take({ {}, { { request, Duration::zero() } } }, now);
}

bool CrashTracker::add(ContentFingerprint fingerprint, Crash crash)
{
    auto& request = m_requests[fingerprint];
    bool isKnown
        = std::any_of(request.crashes.begin(), request.crashes.end(), [&crash](const Crash& other) { return other.run == crash.run; });
    if (isKnown || request.crashes.size() >= maxCrashes)
        return false;
    crash.isCleared = crash.at <= request.servedAt;
    bool isNews = !crash.isCleared;
    auto position = std::upper_bound(
        request.crashes.begin(), request.crashes.end(), crash.at, [](Instant at, const Crash& other) { return at < other.at; });
    request.crashes.insert(position, std::move(crash));
    if (m_requests.size() > maxRequests)
        evictOldest();
    return isNews;
}

/// \returns whether this cleared any crash; only then is it reported to other processes.
bool CrashTracker::clear(ContentFingerprint fingerprint, Instant servedAt)
{
    auto it = m_requests.find(fingerprint);
    if (it == m_requests.end())
        return false;
    auto& request = it->second;
    request.servedAt = std::max(request.servedAt, servedAt);
    bool isNews = false;
    for (auto& crash : request.crashes)
        isNews |= crash.at <= request.servedAt && !std::exchange(crash.isCleared, true);
    return isNews;
}

CrashReport CrashTracker::take(const CrashReport& report, Instant now)
{
    CrashReport added;
    for (const auto& crash : report.crashes) {
        auto at = now - crash.age;
        if (crash.age <= retentionPeriod + longestRefusal && add(crash.request, { crash.run(), at - crash.ranFor, at }))
            added.crashes.push_back(crash);
    }
    for (const auto& served : report.served) {
        if (clear(served.request, now - served.age))
            added.served.push_back(served);
    }
    return added;
}

void CrashTracker::dropRefuted(const ReplicaRegistry& registry, Instant now)
{
    auto isRefuted = [&registry](const Crash& crash) {
        const auto* entry = registry.find(crash.run);
        return entry && entry->lastHeardAt - crash.at > refutationDelay;
    };
    for (auto& [fingerprint, request] : m_requests) {
        for (auto& crash : request.crashes)
            crash.isCleared = crash.isCleared || isRefuted(crash);
    }
    removeExpired(now);
}

void CrashTracker::removeExpired(Instant now)
{
    for (auto& [fingerprint, request] : m_requests)
        std::erase_if(request.crashes, [now](const Crash& crash) { return crash.isCleared && now - crash.at > retentionPeriod; });
    std::erase_if(m_requests, [now](const auto& item) { return now - lastActivity(item.second) > retentionPeriod; });
}

Instant CrashTracker::lastActivity(const Request& request)
{
    auto last = std::max(request.servedAt, evaluate(request).refusedUntil);
    return request.crashes.empty() ? last : std::max(last, request.crashes.back().at);
}

/// The age of a refused request counts from the end of its refusal, so that the many requests with one crash each that a few engines leave
/// don't displace it.
void CrashTracker::evictOldest()
{
    std::vector<std::pair<Instant, ContentFingerprint>> byAge;
    for (const auto& [fingerprint, request] : m_requests)
        byAge.emplace_back(lastActivity(request), fingerprint);
    std::nth_element(byAge.begin(), byAge.begin() + evictionBatch, byAge.end());
    for (std::size_t i = 0; i < evictionBatch; ++i)
        m_requests.erase(byAge[i].second);
}

// --- Evaluating them --------------------------------------------------------------------------------------------

CrashTracker::Evaluation CrashTracker::evaluate(const Request& request)
{
    Evaluation evaluation;
    Instant lastCounted;
    auto refusal = firstRefusal;
    for (const auto& crash : request.crashes) {
        // Ignores runs that were in progress when the request was refused, or when another replica crashed while running it.
        bool isIgnored = crash.isCleared || crash.at < evaluation.refusedUntil
            || (evaluation.counted && crash.began + messageDelayTolerance < lastCounted);
        if (isIgnored)
            continue;
        lastCounted = crash.at;
        if (++evaluation.counted < crashesUntilRefused)
            continue;
        evaluation.refusedUntil = crash.at + refusal;
        refusal = std::min(2 * refusal, longestRefusal);
    }
    return evaluation;
}

CrashTracker::Status CrashTracker::statusOf(ContentFingerprint fingerprint, Instant now) const
{
    auto it = m_requests.find(fingerprint);
    if (it == m_requests.end())
        return Status::Unknown;
    auto evaluation = evaluate(it->second);
    if (now < evaluation.refusedUntil)
        return Status::Refused;
    return evaluation.counted >= crashesUntilWatched ? Status::Watched : Status::Unknown;
}

std::string CrashTracker::text(ContentFingerprint fingerprint) const
{
    auto text = "fingerprint " + toString(fingerprint) + " has crashed";
    if (auto it = m_requests.find(fingerprint); it != m_requests.end()) {
        for (const auto& crash : it->second.crashes)
            text += crash.isCleared ? "" : " " + toString(crash.run);
    }
    return text;
}

void CrashTracker::describe(ContentFingerprint fingerprint, CrashReport& report, Instant now) const
{
    auto it = m_requests.find(fingerprint);
    if (it == m_requests.end())
        return;
    for (const auto& crash : it->second.crashes) {
        if (!crash.isCleared)
            report.crashes.push_back({ fingerprint, crash.run.id, crash.run.start, now - crash.at, crash.at - crash.began });
    }
}

CrashReport CrashTracker::describeAll(Status atLeast, Instant now) const
{
    CrashReport report;
    for (const auto& [fingerprint, request] : m_requests) {
        if (statusOf(fingerprint, now) >= atLeast)
            describe(fingerprint, report, now);
    }
    return report;
}

} // namespace wrenhinge
