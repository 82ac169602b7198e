#include "process/ReplicaMemory.h"

#include "message/Codec.h"
#include "version/DiskFile.h"

#include <filesystem>

namespace wrenhinge {

namespace {

    constexpr auto fileName = "replicas";

} // namespace

ReplicaMemory::ReplicaMemory(std::string folder, EventLog& log)
    : m_folder(std::move(folder))
    , m_log(log)
    , m_thread([this] { run(); })
{
}

ReplicaMemory::~ReplicaMemory()
{
    {
        std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_one();
    m_thread.join();
}

std::vector<Announcement> ReplicaMemory::load() const
{
    auto path = m_folder + "/" + fileName;
    if (!std::filesystem::exists(path))
        return {};
    auto bytes = disk::readFile(path);
    auto payload = bytes ? disk::recordAt(bytes.value(), 0) : std::nullopt;
    auto list = payload ? decodeValue<std::vector<Announcement>>(*payload) : std::nullopt;
    if (list)
        return std::move(*list);
    // The announcements will tell; the next save replaces it.
    m_log.write({ EventCode::ReplicasForgotten, {}, bytes ? path + " is damaged" : bytes.error().message });
    return {};
}

void ReplicaMemory::save(std::vector<Announcement> list)
{
    {
        std::lock_guard lock(m_mutex);
        m_toWrite = std::move(list);
    }
    m_changed.notify_one();
}

void ReplicaMemory::run()
{
    std::unique_lock lock(m_mutex);
    for (;;) {
        m_changed.wait(lock, [this] { return m_isStopping || m_toWrite; });
        if (m_isStopping)
            return;
        m_changed.wait_for(lock, gatherFor, [this] { return m_isStopping; });
        auto list = std::exchange(m_toWrite, std::nullopt);
        lock.unlock();
        write(*list);
        lock.lock();
    }
}

void ReplicaMemory::write(const std::vector<Announcement>& list)
{
    auto written = disk::replaceFile(m_folder, fileName, disk::sealRecord(encodeValue(list)));
    if (!written)
        m_log.write({ EventCode::ReplicasForgotten, {}, written.error().message });
}

} // namespace wrenhinge
