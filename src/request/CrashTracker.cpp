#include "request/CrashTracker.h"

#include <algorithm>

namespace wrenhinge {

namespace {

    /// Ends of one request that are kept: more than it takes to refuse it, and those of runs that were in progress meanwhile.
    constexpr std::size_t mostEnds = 16;
    /// How many are forgotten at once when there are too many requests, so that the oldest need not be looked for at each new one.
    constexpr std::size_t forgottenAtOnce = CrashTracker::mostRequests / 8;

} // namespace

// --- What is known ----------------------------------------------------------------------------------------------

bool CrashTracker::noteEnd(RequestFingerprint request, const ReplicaRun& run, Duration ranFor, Instant now)
{
    return add(request, { run, now - ranFor, now });
}

bool CrashTracker::add(RequestFingerprint fingerprint, End end)
{
    auto& request = m_requests[fingerprint];
    bool isKnown = std::any_of(request.ends.begin(), request.ends.end(), [&end](const End& other) { return other.run == end.run; });
    if (isKnown || end.at <= request.servedAt)
        return false;
    auto after
        = std::upper_bound(request.ends.begin(), request.ends.end(), end.at, [](Instant at, const End& other) { return at < other.at; });
    request.ends.insert(after, std::move(end));
    if (request.ends.size() > mostEnds)
        request.ends.erase(request.ends.begin());
    if (m_requests.size() > mostRequests)
        forgetOldest();
    return true;
}

bool CrashTracker::noteServed(RequestFingerprint fingerprint, Instant now) { return clear(fingerprint, now); }

/// \returns whether this took ends away. Only that is news: the instant itself differs a little at each process, and would be passed on
/// for ever.
bool CrashTracker::clear(RequestFingerprint fingerprint, Instant servedAt)
{
    auto it = m_requests.find(fingerprint);
    if (it == m_requests.end())
        return false;
    auto& request = it->second;
    request.servedAt = std::max(request.servedAt, servedAt);
    return std::erase_if(request.ends, [&request](const End& end) { return end.at <= request.servedAt; }) > 0;
}

CrashReport CrashTracker::take(const CrashReport& report, Instant now)
{
    CrashReport news;
    for (const auto& crash : report.crashes) {
        auto at = now - crash.age;
        if (crash.age <= rememberFor + longestRefusal && add(crash.request, { crash.run(), at - crash.ranFor, at }))
            news.crashes.push_back(crash);
    }
    for (const auto& served : report.served) {
        if (clear(served.request, now - served.age))
            news.served.push_back(served);
    }
    return news;
}

void CrashTracker::dropRefuted(const ReplicaRegistry& registry, Instant now)
{
    auto isRefuted = [&registry](const End& end) {
        const auto* entry = registry.find(end.run);
        return entry && entry->heardAt - end.at > heardAfterEnd;
    };
    for (auto& [fingerprint, request] : m_requests)
        std::erase_if(request.ends, isRefuted);
    forgetOld(now);
}

void CrashTracker::forgetOld(Instant now)
{
    std::erase_if(m_requests, [now](const auto& item) { return now - lastOf(item.second) > rememberFor; });
}

Instant CrashTracker::lastOf(const Request& request)
{
    auto last = std::max(request.servedAt, judge(request).refusedUntil);
    return request.ends.empty() ? last : std::max(last, request.ends.back().at);
}

/// A request that was refused goes by the end of its refusal: those that a few engines leave with one end each must not displace it.
void CrashTracker::forgetOldest()
{
    std::vector<std::pair<Instant, RequestFingerprint>> byAge;
    for (const auto& [fingerprint, request] : m_requests)
        byAge.emplace_back(lastOf(request), fingerprint);
    std::nth_element(byAge.begin(), byAge.begin() + forgottenAtOnce, byAge.end());
    for (std::size_t i = 0; i < forgottenAtOnce; ++i)
        m_requests.erase(byAge[i].second);
}

// --- What follows from it ---------------------------------------------------------------------------------------

CrashTracker::Judgement CrashTracker::judge(const Request& request)
{
    Judgement judgement;
    Instant lastCounted;
    auto refusal = firstRefusal;
    for (const auto& end : request.ends) {
        // It was in progress when the request was refused, or when another replica ended under it.
        bool isAside = end.at < judgement.refusedUntil || (judgement.counted && end.began + wayOfMessage < lastCounted);
        if (isAside)
            continue;
        lastCounted = end.at;
        if (++judgement.counted < endsUntilRefused)
            continue;
        judgement.refusedUntil = end.at + refusal;
        refusal = std::min(2 * refusal, longestRefusal);
    }
    return judgement;
}

CrashTracker::Standing CrashTracker::standing(RequestFingerprint fingerprint, Instant now) const
{
    auto it = m_requests.find(fingerprint);
    if (it == m_requests.end())
        return Standing::Unknown;
    auto judgement = judge(it->second);
    if (now < judgement.refusedUntil)
        return Standing::Refused;
    return judgement.counted >= endsUntilWatched ? Standing::Watched : Standing::Unknown;
}

std::string CrashTracker::text(RequestFingerprint fingerprint) const
{
    auto text = "fingerprint " + toString(fingerprint) + " has ended";
    if (auto it = m_requests.find(fingerprint); it != m_requests.end()) {
        for (const auto& end : it->second.ends)
            text += " " + toString(end.run);
    }
    return text;
}

void CrashTracker::describe(RequestFingerprint fingerprint, CrashReport& report, Instant now) const
{
    auto it = m_requests.find(fingerprint);
    if (it == m_requests.end())
        return;
    for (const auto& end : it->second.ends)
        report.crashes.push_back({ fingerprint, end.run.id, end.run.start, now - end.at, end.at - end.began });
}

CrashReport CrashTracker::describeAll(Standing atLeast, Instant now) const
{
    CrashReport report;
    for (const auto& [fingerprint, request] : m_requests) {
        if (standing(fingerprint, now) >= atLeast)
            describe(fingerprint, report, now);
    }
    return report;
}

} // namespace wrenhinge
