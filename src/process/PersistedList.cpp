#include "process/PersistedList.h"

#include "connection/MessageCheck.h"
#include "message/Codec.h"
#include "version/DiskFile.h"

#include <filesystem>

namespace wrenhinge {

namespace {

    /// The name of the file in the controller's data folder.
    template <typename Entry> constexpr const char* fileName = nullptr;
    template <> constexpr const char* fileName<Announcement> = "replicas";
    template <> constexpr const char* fileName<ReplicaCrash> = "crashes";
    template <> constexpr const char* fileName<StoredGatewayCount> = "gateways";

} // namespace

template <typename Entry>
PersistedList<Entry>::PersistedList(std::string folder, EventLog& log, RefusalLog& refusals)
    : m_folder(std::move(folder))
    , m_log(log)
    , m_refusals(refusals)
    , m_thread([this] { run(); })
{
}

template <typename Entry> PersistedList<Entry>::~PersistedList()
{
    {
        std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_one();
    m_thread.join();
}

template <typename Entry> std::vector<Entry> PersistedList<Entry>::load() const
{
    auto path = m_folder + "/" + fileName<Entry>;
    if (!std::filesystem::exists(path))
        return {};
    auto bytes = disk::readFile(path);
    auto refuse = [this, &path](const std::string& why) { m_refusals.note(InputSource::StateFile, path, why); };
    auto list = bytes ? read(bytes.value(), refuse) : std::nullopt;
    if (list)
        return std::move(*list);
    // The next save replaces the file.
    m_log.write({ EventCode::ReplicasForgotten, {}, bytes ? path + " is damaged" : bytes.error().message });
    return {};
}

/// If the record's checksum does not match, no entry can be trusted. An invalid entry in an intact record was written by another release,
/// and the other entries are still valid.
template <typename Entry>
std::optional<std::vector<Entry>> PersistedList<Entry>::read(std::string_view bytes, const std::function<void(const std::string&)>& refused)
{
    auto payload = disk::recordAt(bytes, 0);
    auto entries = payload ? decodeEach<Entry>(*payload) : std::nullopt;
    if (!entries)
        return std::nullopt;
    std::vector<Entry> list;
    for (auto& entry : *entries) {
        auto fault = entry ? faultOf(*entry) : "an entry has fields of unexpected types";
        if (fault)
            refused(*fault);
        else
            list.push_back(std::move(*entry));
    }
    return list;
}

template <typename Entry> void PersistedList<Entry>::save(std::vector<Entry> list)
{
    {
        std::lock_guard lock(m_mutex);
        m_unsaved = std::move(list);
    }
    m_changed.notify_one();
}

template <typename Entry> void PersistedList<Entry>::run()
{
    std::unique_lock lock(m_mutex);
    for (;;) {
        m_changed.wait(lock, [this] { return m_isStopping || m_unsaved; });
        if (m_isStopping)
            return;
        m_changed.wait_for(lock, batchDelay, [this] { return m_isStopping; });
        auto list = std::exchange(m_unsaved, std::nullopt);
        lock.unlock();
        write(*list);
        lock.lock();
    }
}

template <typename Entry> void PersistedList<Entry>::write(const std::vector<Entry>& list)
{
    auto written = disk::replaceFile(m_folder, fileName<Entry>, disk::encodeRecord(encodeValue(list)));
    if (!written)
        m_log.write({ EventCode::ReplicasForgotten, {}, written.error().message });
}

template class PersistedList<Announcement>;
template class PersistedList<ReplicaCrash>;
template class PersistedList<StoredGatewayCount>;

} // namespace wrenhinge
