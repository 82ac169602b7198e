#include "process/StreamLog.h"

#include "base/SystemClock.h"
#include "connection/MessageCheck.h"
#include "message/Codec.h"
#include "request/fleet/StreamDirectory.h"
#include "version/DiskFile.h"

#include <algorithm>
#include <charconv>
#include <fcntl.h>
#include <filesystem>
#include <map>
#include <unistd.h>

namespace wrenhinge {

namespace {

    /// Followed by a number that grows with each file.
    constexpr std::string_view filePrefix = "streams-";

    Duration wallTime() { return Duration(currentWallMicros()); }

    /// The number in a file's name; nullopt: not one of these files.
    std::optional<std::uint64_t> numberOf(const std::string& name)
    {
        if (!name.starts_with(filePrefix))
            return std::nullopt;
        std::uint64_t number = 0;
        const auto* end = name.data() + name.size();
        auto [last, ec] = std::from_chars(name.data() + filePrefix.size(), end, number);
        return ec == std::errc() && last == end ? std::optional(number) : std::nullopt;
    }

    Duration expiryOf(const StreamRecord& record, Duration writtenAt)
    {
        return writtenAt + std::min(record.keepFor, StreamDirectory::longestRetention);
    }

} // namespace

StreamLog::StreamLog(std::string folder, EventLog& log, RefusalLog& refusals)
    : m_folder(std::move(folder))
    , m_log(log)
    , m_refusals(refusals)
{
    loadFiles();
    m_thread = std::thread([this] { run(); });
}

StreamLog::~StreamLog()
{
    {
        std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_one();
    m_thread.join();
    endFile();
}

void StreamLog::loadFiles()
{
    std::map<std::uint64_t, std::string> paths;
    std::error_code ec;
    for (const auto& entry : std::filesystem::directory_iterator(m_folder, ec)) {
        if (auto number = numberOf(entry.path().filename().string()))
            paths.emplace(*number, entry.path().string());
    }
    auto now = wallTime();
    for (const auto& [number, path] : paths) {
        m_lastNumber = number;
        m_files.push_back({ path, now });
        auto bytes = disk::readFile(path);
        if (!bytes) {
            m_log.write({ EventCode::StreamsForgotten, {}, bytes.error().message });
            continue;
        }
        auto refuse = [this, &path = path](const std::string& why) { m_refusals.note(InputSource::StateFile, path, why); };
        for (auto& record : read(bytes.value(), now, refuse)) {
            m_files.back().expiresAt = std::max(m_files.back().expiresAt, expiryOf(record, now));
            m_restored.push_back(std::move(record));
        }
    }
}

std::vector<StreamRecord> StreamLog::read(std::string_view bytes, Duration now, const std::function<void(const std::string&)>& refused)
{
    std::vector<StreamRecord> list;
    for (std::size_t at = 0; at < bytes.size();) {
        auto payload = disk::recordAt(bytes, at);
        auto batch = payload ? decodeValue<Batch>(*payload) : std::nullopt;
        if (!batch)
            break;
        auto age = std::max(Duration::zero(), now - batch->writtenAt);
        for (auto& record : batch->records) {
            if (auto fault = faultOf(record)) {
                refused(*fault);
            } else if (record.keepFor > age) {
                record.keepFor -= age;
                list.push_back(std::move(record));
            }
        }
        at += disk::recordHeaderBytes + payload->size();
    }
    return list;
}

void StreamLog::append(const std::vector<StreamRecord>& records)
{
    {
        std::lock_guard lock(m_mutex);
        if (m_unwritten.size() + records.size() > maxUnwritten)
            return;
        m_unwritten.insert(m_unwritten.end(), records.begin(), records.end());
    }
    m_changed.notify_one();
}

void StreamLog::run()
{
    std::unique_lock lock(m_mutex);
    for (;;) {
        m_changed.wait(lock, [this] { return m_isStopping || !m_unwritten.empty(); });
        if (m_isStopping)
            return;
        m_changed.wait_for(lock, batchDelay, [this] { return m_isStopping; });
        auto records = std::exchange(m_unwritten, {});
        lock.unlock();
        write(records);
        lock.lock();
    }
}

void StreamLog::write(const std::vector<StreamRecord>& records)
{
    Batch batch { wallTime(), records };
    auto written = writeBatch(batch);
    if (!written && !m_isFailing)
        m_log.write({ EventCode::StreamsForgotten, {}, written.error().message });
    m_isFailing = !written;
    // Nothing that follows an incomplete batch in a file would be read.
    if (!written)
        endFile();
    deleteExpired(batch.writtenAt);
}

Result<void> StreamLog::writeBatch(const Batch& batch)
{
    if (m_fd >= 0 && batch.writtenAt - m_fileBeganAt >= fileSpan)
        endFile();
    if (m_fd < 0) {
        if (auto begun = beginFile(batch.writtenAt); !begun)
            return begun;
    }
    auto& file = m_files.back();
    if (auto written = disk::writeAll(m_fd, disk::encodeRecord(encodeValue(batch)), file.path); !written)
        return written;
    if (::fdatasync(m_fd) != 0)
        return disk::storageError("can't sync", file.path);
    for (const auto& record : batch.records)
        file.expiresAt = std::max(file.expiresAt, expiryOf(record, batch.writtenAt));
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> StreamLog::beginFile(Duration now)
{
    auto path = m_folder + "/" + std::string(filePrefix) + std::to_string(++m_lastNumber);
    m_fd = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, disk::filePermissions);
    if (m_fd < 0)
        return disk::storageError("can't open", path);
    m_files.push_back({ path, now });
    m_fileBeganAt = now;
    return disk::syncFolder(m_folder);
}

void StreamLog::endFile()
{
    if (m_fd >= 0)
        ::close(std::exchange(m_fd, -1));
}

void StreamLog::deleteExpired(Duration now)
{
    auto end = m_files.end() - (m_fd >= 0 ? 1 : 0);
    auto expired = std::stable_partition(m_files.begin(), end, [now](const File& file) { return file.expiresAt > now; });
    std::for_each(expired, end, [](const File& file) { ::unlink(file.path.c_str()); });
    m_files.erase(expired, end);
}

} // namespace wrenhinge
