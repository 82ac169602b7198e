#include "request/fleet/CrashTracker.h"

#include <algorithm>
#include <tuple>
#include <xxhash.h>

namespace wrenhinge {

namespace {

    /// The most crashes that are kept per content. Only content that many callers send while connections to replicas are reset all the
    /// time has so many more than it takes to convict it. Further ones are ignored; if old ones were evicted instead, they would be taken
    /// for new when they are reported again.
    constexpr std::size_t maxCrashes = 64;
    /// How many entries are evicted at a time, so that the oldest need not be searched for with each new one.
    constexpr std::size_t evictionBatch = CrashTracker::maxContent / 8;

    std::uint64_t hashOf(const ReplicaSoftware& software)
    {
        auto hash = XXH3_64bits(software.service.data(), software.service.size());
        return XXH3_64bits_withSeed(software.version.data(), software.version.size(), hash);
    }

    bool isKnown(ContentFingerprint content) { return content != ContentFingerprint(); }

} // namespace

// --- Recording crashes and answers ------------------------------------------------------------------------------

CrashReport CrashTracker::noteCrash(const RequestContent& content, const ReplicaRun& run, const ReplicaSoftware& software, Duration ranFor,
    Duration answeredFor, Instant now)
{
    CrashReport report;
    auto accuse = [&](ContentFingerprint accused) {
        report.crashes.push_back({ accused, run.id, run.start, Duration::zero(), ranFor, software, m_name });
    };
    if (isKnown(content.request))
        accuse(content.request);
    for (auto part : content.parts) {
        if (answeredFor < survivalTime && !survivedAt(part, software, now))
            accuse(part);
    }
    return take(report, now);
}

CrashReport CrashTracker::noteServed(const RequestContent& content, const ReplicaSoftware& software, Instant now)
{
    remember(content, software, now);
    return clearAll(content, software, now);
}

CrashReport CrashTracker::noteTrialServed(const RequestContent& content, Instant now) { return clearAll(content, std::nullopt, now); }

CrashReport CrashTracker::noteSurvived(const RequestContent& content, const ReplicaSoftware& software, Instant now)
{
    remember(content, software, now);
    return clearAll({ {}, content.parts }, software, now);
}

CrashReport CrashTracker::clearAll(const RequestContent& content, const std::optional<ReplicaSoftware>& software, Instant now)
{
    CrashReport report;
    if (isKnown(content.request))
        report.served.push_back({ content.request, Duration::zero(), software });
    for (auto part : content.parts)
        report.served.push_back({ part, Duration::zero(), software });
    return take(report, now);
}

/// \returns whether other processes should learn of the crash.
bool CrashTracker::add(ContentFingerprint fingerprint, Crash crash)
{
    auto& content = m_content[fingerprint];
    auto known
        = std::find_if(content.crashes.begin(), content.crashes.end(), [&crash](const Crash& other) { return other.run == crash.run; });
    if (known != content.crashes.end()) {
        bool isEarlierName = crash.reporter < known->reporter;
        if (isEarlierName)
            known->reporter = crash.reporter;
        return isEarlierName && !known->isCleared;
    }
    if (content.crashes.size() >= maxCrashes)
        return false;
    crash.isCleared = isCleared(content, crash);
    bool isNews = !crash.isCleared;
    auto position = std::upper_bound(
        content.crashes.begin(), content.crashes.end(), crash.at, [](Instant at, const Crash& other) { return at < other.at; });
    content.crashes.insert(position, std::move(crash));
    updateConvicted(fingerprint);
    if (m_content.size() > maxContent)
        evictOldest();
    return isNews;
}

/// \returns whether this cleared any crash; only then is it reported to other processes.
bool CrashTracker::clear(ContentFingerprint fingerprint, const std::optional<ReplicaSoftware>& software, Instant servedAt)
{
    auto it = m_content.find(fingerprint);
    if (it == m_content.end())
        return false;
    auto& content = it->second;
    auto last
        = std::find_if(content.servedAt.begin(), content.servedAt.end(), [&](const auto& served) { return served.first == software; });
    if (last == content.servedAt.end())
        content.servedAt.emplace_back(software, servedAt);
    else
        last->second = std::max(last->second, servedAt);
    bool isNews = false;
    for (auto& crash : content.crashes)
        isNews |= isCleared(content, crash) && !std::exchange(crash.isCleared, true);
    updateConvicted(fingerprint);
    return isNews;
}

bool CrashTracker::isCleared(const Content& content, const Crash& crash)
{
    return std::any_of(content.servedAt.begin(), content.servedAt.end(), [&crash](const auto& served) {
        const auto& [software, at] = served;
        // Unset after a trial of repaired replicas; gateways of the release before name no software of a crash.
        bool isOfAnySoftware = !software || crash.software == ReplicaSoftware();
        return isOfAnySoftware ? crash.at <= at : *software == crash.software && crash.at <= at + survivalMemory;
    });
}

CrashReport CrashTracker::take(const CrashReport& report, Instant now)
{
    CrashReport added;
    for (const auto& crash : report.crashes) {
        auto at = now - crash.age;
        bool isRecent = crash.age <= retentionPeriod + longestConviction;
        if (isRecent && add(crash.content, { crash.run(), at - crash.ranFor, at, crash.software, crash.reporter }))
            added.crashes.push_back(crash);
    }
    for (const auto& served : report.served) {
        if (clear(served.content, served.software, now - served.age))
            added.served.push_back(served);
    }
    return added;
}

CrashReport CrashTracker::refute(const CrashReport& report, Instant now)
{
    CrashReport refuted;
    for (const auto& crash : report.crashes) {
        auto survived = survivedAt(crash.content, crash.software, now - crash.age);
        if (survived && clear(crash.content, crash.software, *survived))
            refuted.served.push_back({ crash.content, now - *survived, crash.software });
    }
    return refuted;
}

void CrashTracker::dropRefuted(const ReplicaRegistry& registry, Instant now)
{
    // Heartbeats may report a run as fresher than it is by `assumedAge`, and an announcement may have been in flight.
    auto refutationDelay = registry.times().freshFor();
    auto isRefuted = [&registry, refutationDelay](const Crash& crash) {
        const auto* entry = registry.find(crash.run);
        return entry && entry->lastHeardAt - crash.at > refutationDelay;
    };
    for (auto& [fingerprint, content] : m_content) {
        for (auto& crash : content.crashes)
            crash.isCleared = crash.isCleared || isRefuted(crash);
        updateConvicted(fingerprint);
    }
    removeExpired(now);
}

void CrashTracker::removeExpired(Instant now)
{
    for (auto& [fingerprint, content] : m_content)
        std::erase_if(content.crashes, [now](const Crash& crash) { return crash.isCleared && now - crash.at > retentionPeriod; });
    std::erase_if(m_content, [this, now](const auto& item) {
        bool isExpired = now - lastActivity(item.second) > retentionPeriod;
        if (isExpired)
            m_convicted.erase(item.first);
        return isExpired;
    });
    std::erase_if(m_survivals, [now](const auto& item) { return now - item.second > survivalMemory; });
}

Instant CrashTracker::lastActivity(const Content& content)
{
    auto last = evaluate(content).convictedUntil;
    for (const auto& [software, at] : content.servedAt)
        last = std::max(last, at);
    return content.crashes.empty() ? last : std::max(last, content.crashes.back().at);
}

/// Evicts content with one crash first, so that what few engines leave, or callers who make up content, does not displace the convicted.
void CrashTracker::evictOldest()
{
    std::vector<std::tuple<std::size_t, Instant, ContentFingerprint>> byValue;
    for (const auto& [fingerprint, content] : m_content)
        byValue.emplace_back(std::min(evaluate(content).counted, crashesUntilConvicted), lastActivity(content), fingerprint);
    std::nth_element(byValue.begin(), byValue.begin() + evictionBatch, byValue.end());
    for (std::size_t i = 0; i < evictionBatch; ++i) {
        auto fingerprint = std::get<ContentFingerprint>(byValue[i]);
        m_content.erase(fingerprint);
        m_convicted.erase(fingerprint);
    }
}

// --- Answers ----------------------------------------------------------------------------------------------------

void CrashTracker::remember(const RequestContent& content, const ReplicaSoftware& software, Instant now)
{
    for (auto part : content.parts)
        m_survivals[{ part, hashOf(software) }] = now;
    if (m_survivals.size() <= maxSurvivals)
        return;
    std::vector<Instant> times;
    for (const auto& [key, at] : m_survivals)
        times.push_back(at);
    auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    std::erase_if(m_survivals, [oldest = *middle](const auto& item) { return item.second <= oldest; });
}

/// \returns when the content was last answered; nothing if that does not clear a crash at the given time.
std::optional<Instant> CrashTracker::survivedAt(ContentFingerprint content, const ReplicaSoftware& software, Instant crashedAt) const
{
    auto it = m_survivals.find({ content, hashOf(software) });
    return it == m_survivals.end() || crashedAt > it->second + survivalMemory ? std::nullopt : std::optional(it->second);
}

// --- Evaluating them --------------------------------------------------------------------------------------------

/// Two crashes of one replica at the same moment are the same event, also where the processes that saw it can't name the run alike.
bool CrashTracker::isSameEvent(const Crash& one, const Crash& other)
{
    bool isSameMoment = one.at - other.at <= simultaneity && other.at - one.at <= simultaneity;
    return one.run == other.run || (one.run.id == other.run.id && isSameMoment);
}

CrashTracker::Evaluation CrashTracker::evaluate(const Content& content)
{
    Evaluation evaluation;
    const Crash* lastCounted = nullptr;
    auto conviction = firstConviction;
    for (const auto& crash : content.crashes) {
        // Runs that were in progress when the content was convicted don't prolong the conviction.
        if (crash.isCleared || crash.at < evaluation.convictedUntil)
            continue;
        ++evaluation.crashes;
        bool counts = !lastCounted || isSeparate(*lastCounted, crash);
        if (counts) {
            lastCounted = &crash;
            ++evaluation.counted;
        }
        bool isConvicted = counts && evaluation.counted >= crashesUntilConvicted;
        bool isSuspected = evaluation.crashes - evaluation.counted >= simultaneousUntilSuspected;
        if (!isConvicted && !isSuspected)
            continue;
        evaluation.convictedUntil = crash.at + (isConvicted ? conviction : suspicion);
        evaluation.trialAt = crash.reporter;
        if (isConvicted)
            conviction = std::min(2 * conviction, longestConviction);
    }
    return evaluation;
}

/// Whether the crash says more than the former one that the content crashes replicas: the run began after it, or ended by itself some time
/// later. A rack that loses power crashes all its replicas at once; those that just fall silent are noticed later, one by one.
bool CrashTracker::isSeparate(const Crash& former, const Crash& crash)
{
    bool isLater = crash.at - former.at >= messageDelayTolerance;
    bool beganAfter = crash.began >= former.at || (isLater && crash.began + messageDelayTolerance >= former.at);
    bool endedByItself = crash.at - former.at >= simultaneity && crash.at - crash.began <= shortRun;
    return beganAfter || endedByItself;
}

void CrashTracker::updateConvicted(ContentFingerprint fingerprint)
{
    if (evaluate(m_content.at(fingerprint)).convictedUntil != Instant())
        m_convicted.insert(fingerprint);
    else
        m_convicted.erase(fingerprint);
}

/// Whether the other content was there at all crashes of the content, but for one that may have had another cause.
bool CrashTracker::isExplainedBy(const Content& content, const Content& other)
{
    constexpr std::ptrdiff_t mostUnexplained = 1;
    auto unexplained = std::count_if(content.crashes.begin(), content.crashes.end(), [&other](const Crash& crash) {
        return !crash.isCleared && std::none_of(other.crashes.begin(), other.crashes.end(), [&crash](const Crash& explanation) {
            return !explanation.isCleared && isSameEvent(explanation, crash);
        });
    });
    return unexplained <= mostUnexplained;
}

std::vector<CrashTracker::Conviction> CrashTracker::convictionsOf(const RequestContent& content) const
{
    std::vector<Conviction> convictions;
    auto isOfRequest = [&content](ContentFingerprint fingerprint) {
        return fingerprint == content.request || std::find(content.parts.begin(), content.parts.end(), fingerprint) != content.parts.end();
    };
    auto judge = [&](ContentFingerprint fingerprint) {
        if (!m_convicted.contains(fingerprint))
            return;
        const auto& judged = m_content.at(fingerprint);
        bool isExplained = std::any_of(m_convicted.begin(), m_convicted.end(),
            [&](ContentFingerprint other) { return !isOfRequest(other) && isExplainedBy(judged, m_content.at(other)); });
        if (isExplained)
            return;
        auto evaluation = evaluate(judged);
        convictions.push_back({ fingerprint, evaluation.convictedUntil, evaluation.trialAt });
    };
    judge(content.request);
    for (auto part : content.parts)
        judge(part);
    return convictions;
}

const char* CrashTracker::refusalReason(const RequestContent& content, bool mayHaveRun) const
{
    return mayHaveRun || m_convicted.contains(content.request) ? hasRunReason : notRunReason;
}

CrashTracker::Status CrashTracker::statusOf(ContentFingerprint fingerprint, Instant now) const
{
    auto it = m_content.find(fingerprint);
    if (it == m_content.end())
        return Status::Unknown;
    auto evaluation = evaluate(it->second);
    if (now < evaluation.convictedUntil)
        return Status::Convicted;
    bool isWatched = evaluation.counted >= crashesUntilWatched || evaluation.convictedUntil != Instant();
    return isWatched ? Status::Watched : Status::Unknown;
}

std::string CrashTracker::text(ContentFingerprint fingerprint) const
{
    auto text = "fingerprint " + toString(fingerprint) + " has crashed";
    if (auto it = m_content.find(fingerprint); it != m_content.end()) {
        for (const auto& crash : it->second.crashes)
            text += crash.isCleared ? "" : " " + toString(crash.run);
    }
    return text;
}

void CrashTracker::describe(ContentFingerprint fingerprint, CrashReport& report, Instant now) const
{
    auto it = m_content.find(fingerprint);
    if (it == m_content.end())
        return;
    for (const auto& crash : it->second.crashes) {
        if (!crash.isCleared)
            report.crashes.push_back(
                { fingerprint, crash.run.id, crash.run.start, now - crash.at, crash.at - crash.began, crash.software, crash.reporter });
    }
}

CrashReport CrashTracker::describeAll(Status atLeast, Instant now) const
{
    CrashReport report;
    for (const auto& [fingerprint, content] : m_content) {
        if (statusOf(fingerprint, now) >= atLeast)
            describe(fingerprint, report, now);
    }
    return report;
}

} // namespace wrenhinge
