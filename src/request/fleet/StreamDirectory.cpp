#include "request/fleet/StreamDirectory.h"

#include <algorithm>
#include <xxhash.h>

namespace wrenhinge {

namespace {

    /// Services times versions in a deployment, with room for more. Origins come from announcements, so callers can't add any.
    constexpr std::size_t maxOrigins = 4096;

} // namespace

/// The hash of the account is the seed for that of the id, so that no separator between the two is needed.
StreamId streamIdOf(std::string_view account, std::string_view requestId)
{
    auto seed = XXH3_64bits(account.data(), account.size());
    return StreamId(XXH3_64bits_withSeed(requestId.data(), requestId.size(), seed));
}

void StreamDirectory::add(const StreamRecord& record, Instant now)
{
    removeExpired(now);
    auto expiresAt = now + std::clamp(record.keepFor, Duration::zero(), longestRetention);
    if (m_origins.size() >= maxOrigins && !m_origins.contains(record.origin))
        return;
    const auto* origin = &*m_origins.insert(record.origin).first;
    auto [it, isNew] = m_entries.try_emplace(record.stream, Entry { origin, expiresAt, false });
    auto& entry = it->second;
    if (!isNew) {
        entry.isAmbiguous = entry.isAmbiguous || entry.origin != origin;
        m_byExpiry.erase({ entry.expiresAt, record.stream });
        entry.expiresAt = std::max(entry.expiresAt, expiresAt);
    }
    m_byExpiry.insert({ entry.expiresAt, record.stream });
    if (m_entries.size() > maxStreams)
        remove(m_byExpiry.begin()->second);
}

StreamLookupReply StreamDirectory::find(StreamId stream, Instant now) const
{
    auto it = m_entries.find(stream);
    if (it == m_entries.end() || it->second.expiresAt <= now)
        return { stream, StreamKnowledge::Unknown, {} };
    if (it->second.isAmbiguous)
        return { stream, StreamKnowledge::Ambiguous, {} };
    return { stream, StreamKnowledge::Known, *it->second.origin };
}

std::vector<StreamRecord> StreamDirectory::records(Instant now) const
{
    std::vector<StreamRecord> list;
    list.reserve(m_entries.size());
    for (const auto& [stream, entry] : m_entries) {
        if (!entry.isAmbiguous && entry.expiresAt > now)
            list.push_back({ stream, *entry.origin, entry.expiresAt - now });
    }
    return list;
}

void StreamDirectory::removeExpired(Instant now)
{
    while (!m_byExpiry.empty() && m_byExpiry.begin()->first <= now)
        remove(m_byExpiry.begin()->second);
    if (m_entries.empty())
        m_origins.clear();
}

void StreamDirectory::remove(StreamId stream)
{
    auto it = m_entries.find(stream);
    m_byExpiry.erase({ it->second.expiresAt, stream });
    m_entries.erase(it);
}

} // namespace wrenhinge
