#include "request/fleet/ReplicaRegistry.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace wrenhinge {

namespace {

    /// Compares the fields whose changes are sent to all peers immediately.
    bool hasSameState(const Announcement& a, const Announcement& b)
    {
        return a.service == b.service && a.address == b.address && a.zone == b.zone && a.slots == b.slots && a.state == b.state
            && a.kind == b.kind && a.softwareVersion == b.softwareVersion;
    }

    /// The number of parts grows with the square root of the number of replicas, so that digests and the replicas of a part take about as
    /// many bytes.
    constexpr double bytesPerReplica = 72;
    constexpr double bytesPerPart = 9;
    /// Stands for all ages that are too long for a byte.
    constexpr std::uint8_t ageTooLong = 255;
    /// Enough for 100,000 replicas.
    constexpr std::size_t maxParts = 1024;

    /// The part of a registry that contains the replica, the same in all processes.
    std::size_t partOf(const std::string& id, std::size_t parts) { return XXH3_64bits(id.data(), id.size()) % parts; }

    /// Covers the fields that hasSameState compares, and a pending stage change.
    std::uint64_t digestOf(const ReplicaRegistry::Entry& entry)
    {
        const auto& a = entry.announcement;
        auto text = a.id + '\n' + a.service + '\n' + a.address + '\n' + a.zone + '\n';
        auto numbers = { a.start.value(), static_cast<std::uint64_t>(a.slots), static_cast<std::uint64_t>(a.state),
            static_cast<std::uint64_t>(a.kind), entry.pendingStage ? 1 + static_cast<std::uint64_t>(*entry.pendingStage) : 0 };
        for (auto n : numbers)
            text += std::to_string(n) + ' ';
        return XXH3_64bits(text.data(), text.size());
    }

} // namespace

ReplicaRegistry::Change ReplicaRegistry::announce(const Announcement& announcement, Duration age, Instant now)
{
    auto run = announcement.run();
    removeIfExpired(run.id, now);
    auto known = newestRun(run.id);
    if (hasEnded(run) || (known && run.isBefore(*known)))
        return Change::None;
    if (!known || known->isBefore(run)) {
        // If the entry of the new run expires, a late announcement must not bring the former run back.
        if (known)
            m_withdrawn.insert_or_assign(run.id, EndedRun { known->start, now });
        // Replaces the entry, since neither a stage change nor a renewal of the former run applies to the new one.
        insert({ announcement, now - age, {}, {}, m_times });
        return known ? Change::Restarted : Change::Changed;
    }
    auto& entry = m_entries.at(run.id);
    renew(run, age, now);
    if (announcement.sequence <= entry.announcement.sequence)
        return Change::None;
    bool isSame = hasSameState(entry.announcement, announcement);
    if (entry.announcement.address != announcement.address) {
        removeFromAddress(entry.announcement);
        m_idsAt[announcement.address].push_back(announcement.id);
    }
    entry.announcement = announcement;
    bool endsStageChange = entry.pendingStage == announcement.kind;
    if (endsStageChange)
        entry.pendingStage.reset();
    if (!isSame || endsStageChange)
        updateDigest(entry);
    return isSame ? Change::Renewed : Change::Changed;
}

bool ReplicaRegistry::withdraw(const ReplicaRun& run, Instant now)
{
    if (hasEnded(run))
        return false;
    m_withdrawn.insert_or_assign(run.id, EndedRun { run.start, now });
    if (auto it = m_entries.find(run.id); it != m_entries.end() && hasEnded(it->second.announcement.run()))
        erase(it);
    return true;
}

void ReplicaRegistry::insert(Entry entry)
{
    auto id = entry.announcement.id;
    if (auto it = m_entries.find(id); it != m_entries.end())
        erase(it);
    m_idsAt[entry.announcement.address].push_back(id);
    entry.runDigest = XXH3_64bits_withSeed(id.data(), id.size(), entry.announcement.start.value());
    m_runDigestSum += entry.runDigest;
    updateDigest(m_entries.emplace(std::move(id), std::move(entry)).first->second);
}

void ReplicaRegistry::erase(std::map<std::string, Entry>::iterator it)
{
    removeFromAddress(it->second.announcement);
    m_digestSum -= it->second.digest;
    m_runDigestSum -= it->second.runDigest;
    m_entries.erase(it);
}

void ReplicaRegistry::removeFromAddress(const Announcement& announcement)
{
    auto it = m_idsAt.find(announcement.address);
    std::erase(it->second, announcement.id);
    if (it->second.empty())
        m_idsAt.erase(it);
}

bool ReplicaRegistry::isDisplaced(const Entry& entry) const
{
    const auto& ids = m_idsAt.at(entry.announcement.address);
    return std::any_of(ids.begin(), ids.end(), [&](const std::string& id) { return m_entries.at(id).lastHeardAt > entry.lastHeardAt; });
}

bool ReplicaRegistry::hasEnded(const ReplicaRun& run) const
{
    auto it = m_withdrawn.find(run.id);
    return it != m_withdrawn.end() && run.start <= it->second.start;
}

std::optional<ReplicaRun> ReplicaRegistry::newestRun(const std::string& id) const
{
    // An entry is always newer than the ended run of its id.
    if (auto it = m_entries.find(id); it != m_entries.end())
        return it->second.announcement.run();
    if (auto it = m_withdrawn.find(id); it != m_withdrawn.end())
        return ReplicaRun { id, it->second.start };
    return std::nullopt;
}

const ReplicaRegistry::Entry* ReplicaRegistry::find(const ReplicaRun& run) const
{
    auto it = m_entries.find(run.id);
    return it != m_entries.end() && it->second.announcement.start == run.start ? &it->second : nullptr;
}

void ReplicaRegistry::renew(const ReplicaRun& run, Duration age, Instant now)
{
    auto it = m_entries.find(run.id);
    if (it != m_entries.end() && it->second.announcement.start == run.start)
        it->second.lastHeardAt = std::max(it->second.lastHeardAt, now - age);
}

void ReplicaRegistry::renew(const RegistryHeartbeat& heartbeat, Instant now)
{
    if (heartbeat.digest && heartbeat.digest == digest()) {
        for (auto& [id, entry] : m_entries) {
            if (!heartbeat.ages.contains(id))
                entry.lastHeardAt = std::max(entry.lastHeardAt, now - m_times.assumedAge());
        }
    }
    auto distance = heartbeat.startOffsets.begin();
    for (const auto& [id, age] : heartbeat.ages) {
        // A process of a release without run starts sends none, and its entries have none either.
        auto after = distance == heartbeat.startOffsets.end() ? 0 : *distance++;
        renew({ id, ReplicaStart(heartbeat.earliestStart.value() + after) }, age, now);
    }
}

RegistryHeartbeat ReplicaRegistry::heartbeat(HeartbeatScope scope, Instant now) const
{
    RegistryHeartbeat heartbeat;
    heartbeat.digest = digest();
    heartbeat.known = static_cast<std::uint32_t>(m_entries.size());
    auto isEarlier = [](const auto& a, const auto& b) { return a.second.announcement.start < b.second.announcement.start; };
    auto first = std::min_element(m_entries.begin(), m_entries.end(), isEarlier);
    if (first == m_entries.end())
        return heartbeat;
    heartbeat.earliestStart = first->second.announcement.start;
    for (const auto& [id, entry] : m_entries) {
        bool isRenewed = now - entry.lastHeardAt <= m_times.freshFor();
        if (scope == HeartbeatScope::Stale && isRenewed)
            continue;
        heartbeat.ages[id] = now - entry.lastHeardAt;
        heartbeat.startOffsets.push_back(entry.announcement.start.value() - heartbeat.earliestStart.value());
    }
    return heartbeat;
}

RegistryAges ReplicaRegistry::ages(Instant now) const
{
    RegistryAges message { digest(), static_cast<std::uint32_t>(m_entries.size()), m_runDigestSum, {} };
    message.ages.reserve(m_entries.size());
    for (const auto& [id, entry] : m_entries) {
        auto units = std::clamp<std::int64_t>((now - entry.lastHeardAt + ageUnit - 1us) / ageUnit, 0, ageTooLong);
        message.ages.push_back(static_cast<char>(units));
    }
    return message;
}

void ReplicaRegistry::renew(const RegistryAges& message, Instant now)
{
    if (message.runs != m_runDigestSum || message.ages.size() != m_entries.size())
        return;
    auto age = message.ages.begin();
    for (auto& [id, entry] : m_entries) {
        if (auto units = static_cast<std::uint8_t>(*age++); units < ageTooLong)
            entry.lastHeardAt = std::max(entry.lastHeardAt, now - units * ageUnit);
    }
}

RegistryList ReplicaRegistry::list(Instant now) const
{
    return listOf([](const std::string&) { return true; }, now);
}

template <std::predicate<const std::string&> F> RegistryList ReplicaRegistry::listOf(F includes, Instant now) const
{
    RegistryList list;
    for (const auto& [id, entry] : m_entries) {
        if (!includes(id))
            continue;
        list.known.push_back({ entry.announcement, now - entry.lastHeardAt });
        if (entry.isChanging(now))
            list.changing.push_back({ id, *entry.pendingStage, entry.changeExpiresAt - now, entry.announcement.start });
    }
    for (const auto& [id, ended] : m_withdrawn) {
        if (includes(id))
            list.ended.push_back({ id, ended.start });
    }
    return list;
}

void ReplicaRegistry::updateDigest(Entry& entry)
{
    m_digestSum -= entry.digest;
    entry.digest = digestOf(entry);
    m_digestSum += entry.digest;
}

std::vector<std::uint64_t> ReplicaRegistry::partDigests(std::size_t parts) const
{
    std::vector<std::uint64_t> digests(parts);
    for (const auto& [id, entry] : m_entries)
        digests[partOf(id, parts)] += entry.digest;
    return digests;
}

RegistryRequest ReplicaRegistry::request() const
{
    auto parts = std::sqrt(static_cast<double>(m_entries.size()) * bytesPerReplica / bytesPerPart);
    return { digest(), partDigests(std::min(maxParts, static_cast<std::size_t>(parts))) };
}

RegistryList ReplicaRegistry::listFor(const RegistryRequest& request, Instant now) const
{
    auto parts = request.parts.size();
    if (!parts || parts > maxParts)
        return list(now);
    auto here = partDigests(parts);
    auto differs = [&](const std::string& id) {
        auto part = partOf(id, parts);
        return here[part] != request.parts[part];
    };
    return listOf(differs, now);
}

bool ReplicaRegistry::changeStage(const StageChange& change, Instant now)
{
    auto it = m_entries.find(change.id);
    bool isOfRun = it != m_entries.end() && it->second.announcement.start == change.start;
    if (!isOfRun || it->second.announcement.kind == change.to || it->second.isChanging(now))
        return false;
    it->second.pendingStage = change.to;
    it->second.changeExpiresAt = now + change.lasts;
    updateDigest(it->second);
    return true;
}

void ReplicaRegistry::removeExpired(Instant now)
{
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        auto next = std::next(it);
        if (it->second.isExpired(now))
            erase(it);
        it = next;
    }
    // Resets stage changes that have expired. Otherwise the digest would differ from that of a process that started afterwards.
    for (auto& [id, entry] : m_entries) {
        if (!entry.pendingStage || entry.isChanging(now))
            continue;
        entry.pendingStage.reset();
        updateDigest(entry);
    }
    std::erase_if(m_withdrawn, [now](const auto& item) { return item.second.isExpired(now); });
}

/// Whether an entry counts as expired must not depend on when this process last called removeExpired(). A run whose clock was set back is
/// accepted by one controller as soon as the former entry has expired there, and is passed on to all others once. A controller that had not
/// cleaned up by then would reject it, and never receive it again.
void ReplicaRegistry::removeIfExpired(const std::string& id, Instant now)
{
    if (auto it = m_entries.find(id); it != m_entries.end() && it->second.isExpired(now))
        erase(it);
    if (auto it = m_withdrawn.find(id); it != m_withdrawn.end() && it->second.isExpired(now))
        m_withdrawn.erase(it);
}

} // namespace wrenhinge
