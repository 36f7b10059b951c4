#pragma once

#include "ports/peer_network.h"

#include <filesystem>
#include <optional>

/// File operations that return only after the data is synced to disk. On failure errno is set.
namespace pw::detail {

/// Appends \p bytes to \p file and syncs it.
bool writeSynced(int file, std::span<const std::byte> bytes);

/// Atomically replaces the file at \p path by one that holds \p bytes.
bool replaceFile(const std::filesystem::path& path, std::span<const std::byte> bytes);

/// Syncs the directory entries of \p folder.
bool syncFolder(const std::filesystem::path& folder);

/// \returns the bytes of the file at \p path, or nothing if it cannot be read.
std::optional<Bytes> readFile(const std::filesystem::path& path);

} // namespace pw::detail
