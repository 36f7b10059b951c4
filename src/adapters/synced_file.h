#pragma once

#include "ports/peer_network.h"

#include <filesystem>
#include <optional>

/// Files whose writes are on the disk when the call returns. Failures leave errno set.
namespace pw::detail {

/// Writes all of \p bytes at the end of \p file and syncs it.
bool writeSynced(int file, std::span<const std::byte> bytes);

/// Puts a file with \p bytes in place of \p path, whole or not at all.
bool replaceFile(const std::filesystem::path& path, std::span<const std::byte> bytes);

/// Syncs the names in \p folder.
bool syncFolder(const std::filesystem::path& folder);

/// \returns the bytes of the file at \p path, or nothing when it cannot be read.
std::optional<Bytes> readFile(const std::filesystem::path& path);

} // namespace pw::detail
