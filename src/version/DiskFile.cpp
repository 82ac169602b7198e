#include "version/DiskFile.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

namespace wrenhinge::disk {

namespace {

    /// Opens each record, so that a search for whole records behind a torn one tries few places: trying every byte as a length
    /// hashes the rest of the log thousands of times, and a controller that restarts after a power loss took minutes.
    constexpr std::string_view recordMagic = "WhLg";
    static_assert(recordHeaderBytes == recordMagic.size() + sizeof(std::uint32_t) + sizeof(std::uint64_t));
    constexpr std::uint32_t maxRecordBytes = 256u << 20;

} // namespace

Error storageError(const std::string& what, const std::string& path)
{
    bool isFull = errno == ENOSPC || errno == EDQUOT;
    auto remedy = isFull ? "; make room on the disk and restart" : "; check the disk and the folder's permissions";
    return { isFull ? ResultCode::StorageFull : ResultCode::StorageFailed, what + " " + path + ": " + std::strerror(errno) + remedy };
}

std::string encodeRecord(const std::string& payload)
{
    std::string bytes(recordHeaderBytes, '\0');
    auto length = static_cast<std::uint32_t>(payload.size());
    auto checksum = static_cast<std::uint64_t>(XXH3_64bits(payload.data(), payload.size()));
    std::memcpy(bytes.data(), recordMagic.data(), recordMagic.size());
    std::memcpy(bytes.data() + recordMagic.size(), &length, sizeof length);
    std::memcpy(bytes.data() + recordMagic.size() + sizeof length, &checksum, sizeof checksum);
    return bytes + payload;
}

std::optional<std::string_view> recordAt(std::string_view bytes, std::size_t at)
{
    if (bytes.size() - at < recordHeaderBytes || bytes.substr(at, recordMagic.size()) != recordMagic)
        return std::nullopt;
    std::uint32_t length = 0;
    std::uint64_t checksum = 0;
    std::memcpy(&length, bytes.data() + at + recordMagic.size(), sizeof length);
    std::memcpy(&checksum, bytes.data() + at + recordMagic.size() + sizeof length, sizeof checksum);
    if (!length || length > maxRecordBytes || bytes.size() - at - recordHeaderBytes < length)
        return std::nullopt;
    auto payload = bytes.substr(at + recordHeaderBytes, length);
    if (XXH3_64bits(payload.data(), payload.size()) != checksum)
        return std::nullopt;
    return payload;
}

bool hasRecordAfter(std::string_view bytes, std::size_t at)
{
    for (auto i = bytes.find(recordMagic, at + 1); i != std::string_view::npos; i = bytes.find(recordMagic, i + 1)) {
        if (recordAt(bytes, i))
            return true;
    }
    return false;
}

Result<std::string> readFile(const std::string& path)
{
    std::ifstream in(path, std::ios::binary);
    if (!in)
        return storageError("can't read", path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

Result<void> writeAll(int fd, std::string_view bytes, const std::string& path)
{
    while (!bytes.empty()) {
        auto n = ::write(fd, bytes.data(), bytes.size());
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0)
            return storageError("can't write", path);
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> syncFolder(const std::string& folder)
{
    int fd = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (fd < 0)
        return storageError("can't open", folder);
    bool failed = ::fsync(fd) != 0;
    ::close(fd);
    if (failed)
        return storageError("can't sync", folder);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> replaceFile(const std::string& folder, const std::string& name, const std::string& bytes)
{
    auto path = folder + "/" + name;
    auto temporary = path + ".new";
    int fd = ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, filePermissions);
    if (fd < 0)
        return storageError("can't open", temporary);
    auto written = writeAll(fd, bytes, temporary);
    bool synced = ::fsync(fd) == 0;
    ::close(fd);
    if (!written)
        return written;
    if (!synced)
        return storageError("can't sync", temporary);
    if (::rename(temporary.c_str(), path.c_str()) != 0)
        return storageError("can't replace", path);
    return syncFolder(folder);
}

} // namespace wrenhinge::disk
