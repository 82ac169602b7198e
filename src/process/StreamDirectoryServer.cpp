#include "process/StreamDirectoryServer.h"

#include "base/SystemClock.h"

namespace wrenhinge {

StreamDirectoryServer::StreamDirectoryServer(Strand strand, PeerHub& hub)
    : m_strand(std::move(strand))
    , m_hub(hub)
{
}

void StreamDirectoryServer::openLog(const std::string& folder, EventLog& log, RefusalLog& refusals)
{
    m_log.emplace(folder, log, refusals);
    boost::asio::post(m_strand, [this, records = m_log->takeRestored()] {
        for (const auto& record : records)
            m_directory.add(record, currentInstant());
    });
}

bool StreamDirectoryServer::receive(PeerId from, const Message& message)
{
    if (const auto* records = std::get_if<StreamRecords>(&message))
        boost::asio::post(m_strand, [this, from, records = *records] { add(from, records); });
    else if (const auto* lookup = std::get_if<StreamLookup>(&message))
        boost::asio::post(m_strand, [this, from, lookup = *lookup] { answer(from, lookup); });
    else
        return false;
    return true;
}

void StreamDirectoryServer::add(PeerId from, const StreamRecords& records)
{
    StreamRecordsHeld held;
    for (const auto& record : records.records) {
        m_directory.add(record, currentInstant());
        held.streams.push_back(record.stream);
    }
    m_hub.send(from, held);
    if (m_log)
        m_log->append(records.records);
}

void StreamDirectoryServer::answer(PeerId from, const StreamLookup& lookup)
{
    m_hub.send(from, m_directory.find(lookup.stream, currentInstant()));
}

} // namespace wrenhinge
