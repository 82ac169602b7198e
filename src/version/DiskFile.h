/** \file
 * Files on a controller's disk: records with checksums, and files that are replaced atomically.
 *
 * A record is `magic, length, checksum, payload`. Error messages name a remedy, and distinguish a full disk from a failing one.
 */
#pragma once

#include "base/ResultCode.h"

#include <optional>
#include <string>
#include <string_view>

namespace wrenhinge::disk {

constexpr std::size_t recordHeaderBytes = 4 + 4 + 8;
/// Only the owner has access: routing documents contain the keys of client accounts.
constexpr int filePermissions = 0600;

/// The error for the system call that has just failed, from `errno`.
Error storageError(const std::string& what, const std::string& path);

std::string encodeRecord(const std::string& payload);
/// The payload of the record at offset `at`, or nothing if there is no complete, valid record.
std::optional<std::string_view> recordAt(std::string_view bytes, std::size_t at);
/// Whether a complete, valid record begins after offset `at`.
bool hasRecordAfter(std::string_view bytes, std::size_t at);

Result<std::string> readFile(const std::string& path);
Result<void> writeAll(int fd, std::string_view bytes, const std::string& path);
/// Syncs a folder: a new name in it survives a crash only after this.
Result<void> syncFolder(const std::string& folder);
/// Replaces a file atomically: after a crash it has either the old or the whole new content. Durable on return.
Result<void> replaceFile(const std::string& folder, const std::string& name, const std::string& bytes);

} // namespace wrenhinge::disk
