#include "request/CrashTracker.h"

#include <algorithm>

namespace wrenhinge {

namespace {

    /// Ends of one request that are kept. Many more than it takes to refuse it come only of a request that many callers send, while
    /// replicas are reset all the time; further ones then are passed over, rather than old ones forgotten and taken for new when they are
    /// told again.
    constexpr std::size_t mostEnds = 64;
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
    if (isKnown || request.ends.size() >= mostEnds)
        return false;
    end.isCleared = end.at <= request.servedAt;
    bool isNews = !end.isCleared;
    auto after
        = std::upper_bound(request.ends.begin(), request.ends.end(), end.at, [](Instant at, const End& other) { return at < other.at; });
    request.ends.insert(after, std::move(end));
    if (m_requests.size() > mostRequests)
        forgetOldest();
    return isNews;
}

bool CrashTracker::noteServed(RequestFingerprint fingerprint, Instant now) { return clear(fingerprint, now); }

/// \returns whether this cleared any end, which alone is news.
bool CrashTracker::clear(RequestFingerprint fingerprint, Instant servedAt)
{
    auto it = m_requests.find(fingerprint);
    if (it == m_requests.end())
        return false;
    auto& request = it->second;
    request.servedAt = std::max(request.servedAt, servedAt);
    bool isNews = false;
    for (auto& end : request.ends)
        isNews |= end.at <= request.servedAt && !std::exchange(end.isCleared, true);
    return isNews;
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
    for (auto& [fingerprint, request] : m_requests) {
        for (auto& end : request.ends)
            end.isCleared = end.isCleared || isRefuted(end);
    }
    forgetOld(now);
}

void CrashTracker::forgetOld(Instant now)
{
    for (auto& [fingerprint, request] : m_requests)
        std::erase_if(request.ends, [now](const End& end) { return end.isCleared && now - end.at > rememberFor; });
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
        bool isAside = end.isCleared || end.at < judgement.refusedUntil || (judgement.counted && end.began + wayOfMessage < lastCounted);
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
            text += end.isCleared ? "" : " " + toString(end.run);
    }
    return text;
}

void CrashTracker::describe(RequestFingerprint fingerprint, CrashReport& report, Instant now) const
{
    auto it = m_requests.find(fingerprint);
    if (it == m_requests.end())
        return;
    for (const auto& end : it->second.ends) {
        if (!end.isCleared)
            report.crashes.push_back({ fingerprint, end.run.id, end.run.start, now - end.at, end.at - end.began });
    }
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
