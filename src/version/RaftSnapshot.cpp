/** \file
 * The part of Raft that brings a member up to date by a snapshot, in chunks.
 */
#include "version/Raft.h"

#include <algorithm>

namespace wrenhinge {

namespace {

    constexpr std::size_t snapshotChunkBytes = 64 * 1024;
    /// A snapshot chunk that was not answered for this long is sent again.
    constexpr Duration chunkResendAfter = 500ms;

} // namespace

void Raft::sendSnapshot(const std::string& to, Instant now)
{
    auto& progress = m_progress.at(to);
    // A heartbeat keeps the member's election timer quiet while it receives.
    m_effects.push_back(raft::Send { to, AppendRequest { m_hard.term, lastIndex(), termAt(lastIndex()), 0, m_round, {} } });
    if (now - progress.chunkSentAt < chunkResendAfter)
        return;
    progress.chunkSentAt = now;
    auto bytes = m_snapshot.bytes.substr(std::min(progress.snapshotOffset, m_snapshot.bytes.size()), snapshotChunkBytes);
    bool done = progress.snapshotOffset + bytes.size() >= m_snapshot.bytes.size();
    m_effects.push_back(raft::Send {
        to, SnapshotChunk { m_hard.term, m_snapshot.lastIndex, m_snapshot.lastTerm, progress.snapshotOffset, std::move(bytes), done } });
}

void Raft::on(const std::string& from, const SnapshotChunk& chunk, Instant now)
{
    if (chunk.term < m_hard.term)
        return;
    followLeader(from, chunk.term, now);
    // Another leader's snapshot up to the same entry says the same, but not in the same bytes.
    bool isOtherTerm = std::exchange(m_incomingTerm, chunk.term) != chunk.term;
    bool isNew = isOtherTerm || m_incoming.lastIndex != chunk.lastIndex || m_incoming.lastTerm != chunk.lastTerm;
    if (isNew)
        m_incoming = { chunk.lastIndex, chunk.lastTerm, "" };
    if (chunk.offset == m_incoming.bytes.size())
        m_incoming.bytes += chunk.bytes;
    auto received = m_incoming.bytes.size();
    bool isWhole = chunk.done && chunk.offset + chunk.bytes.size() == received;
    if (isWhole && m_settings.canLoadSnapshot && !m_settings.canLoadSnapshot(m_incoming.bytes)) {
        // A leader of another release may send what this one can't read. The log that is here is worth more; dropped for those bytes it
        // left a controller that ended whenever it was sent them. Without an answer the chunk comes again at the pace of resends.
        m_incoming = {};
        m_effects.push_back(
            LogEvent { EventCode::SnapshotRefused, {}, from + " sent one that can't be read, up to " + std::to_string(chunk.lastIndex) });
        return;
    }
    if (isWhole && chunk.lastIndex > m_commit) {
        // Void on the disk as well: what comes next would follow them there, and the log could not be read at the next start.
        if (lastIndex() > chunk.lastIndex)
            m_effects.push_back(raft::Persist { std::nullopt, chunk.lastIndex + 1, {} });
        // A leader sends a snapshot only to a member whose log does not reach the snapshot's end, or contradicts its own there: nothing
        // that was committed lies beyond it.
        m_snapshot = std::exchange(m_incoming, {});
        m_entries.clear();
        m_bytesKept = 0;
        m_commit = m_applied = m_snapshot.lastIndex;
        m_effects.push_back(raft::SaveSnapshot { m_snapshot });
        m_effects.push_back(raft::Restore { m_snapshot });
        m_effects.push_back(LogEvent { EventCode::SnapshotInstalled, {}, "up to index " + std::to_string(m_snapshot.lastIndex) });
    }
    m_effects.push_back(raft::Send { from, SnapshotReply { m_hard.term, chunk.lastIndex, received, m_settings.disk } });
}

void Raft::on(const std::string& from, const SnapshotReply& reply, Instant now)
{
    auto it = m_progress.find(from);
    if (!isLeader() || it == m_progress.end() || reply.lastIndex != m_snapshot.lastIndex)
        return;
    auto& progress = it->second;
    progress.lastReplyAt = now;
    if (progress.next > m_snapshot.lastIndex)
        return;
    if (reply.received >= m_snapshot.bytes.size()) {
        progress.match = std::max(progress.match, reply.lastIndex);
        progress.next = std::max(progress.next, reply.lastIndex + 1);
        progress.snapshotOffset = 0;
        return sendAppend(from, now);
    }
    // The answer to a chunk that was sent twice. Followed by the next chunk too, it would have all that are left sent twice.
    if (reply.received == progress.snapshotOffset && now - progress.chunkSentAt < chunkResendAfter)
        return;
    progress.snapshotOffset = reply.received;
    progress.chunkSentAt = {};
    sendSnapshot(from, now);
}

Raft::Effects Raft::compact(std::string stateBytes)
{
    if (m_applied <= m_snapshot.lastIndex)
        return {};
    auto lastTerm = termAt(m_applied);
    m_entries.erase(m_entries.begin(), m_entries.begin() + static_cast<std::ptrdiff_t>(m_applied - m_snapshot.lastIndex));
    m_snapshot = { m_applied, lastTerm, std::move(stateBytes) };
    m_bytesKept = 0;
    for (auto& [member, progress] : m_progress) {
        progress.snapshotOffset = 0;
        progress.chunkSentAt = {};
    }
    Effects effects;
    effects.push_back(raft::SaveSnapshot { m_snapshot });
    effects.push_back(LogEvent { EventCode::SnapshotTaken, {}, "up to index " + std::to_string(m_applied) });
    return effects;
}

} // namespace wrenhinge
