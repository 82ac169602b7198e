/** \file
 * Files on a controller's disk: records that show damage, and files that are replaced whole.
 *
 * A record is `mark, length, checksum, payload`. Errors say what to do, and tell a full disk from a failing one.
 */
#pragma once

#include "base/ResultCode.h"

#include <optional>
#include <string>
#include <string_view>

namespace wrenhinge::disk {

constexpr std::size_t recordHeaderBytes = 4 + 4 + 8;
/// The owner alone: routing documents hold the keys of client accounts.
constexpr int filePermissions = 0600;

/// The error of the system call that has just failed.
Error storageError(const std::string& what, const std::string& path);

std::string encodeRecord(const std::string& payload);
/// The payload of the record at `at`, or nothing if there is no whole, undamaged one.
std::optional<std::string_view> recordAt(std::string_view bytes, std::size_t at);
/// Whether a whole record begins behind `at`.
bool hasRecordAfter(std::string_view bytes, std::size_t at);

Result<std::string> readFile(const std::string& path);
Result<void> writeAll(int fd, std::string_view bytes, const std::string& path);
/// A new name in a folder survives a crash only once the folder itself is synced.
Result<void> syncFolder(const std::string& folder);
/// Either the old content or the whole new one is there after a crash, never a mix. Durable on return.
Result<void> replaceFile(const std::string& folder, const std::string& name, const std::string& bytes);

} // namespace wrenhinge::disk
