#pragma once

#include "ports/peer_network.h"

#include <optional>
#include <span>
#include <vector>

/// Checksummed records in a file. All numbers are little-endian.
namespace pw::detail {

/// Size of a record header in bytes: magic, payload size, payload checksum, checksum of the preceding header fields.
inline constexpr std::size_t recordHeaderBytes = 16;

/// \returns \p payload preceded by its record header.
Bytes toRecord(std::span<const std::byte> payload);

/// \returns the payload of the record at the start of \p bytes, or nothing if it is incomplete or corrupt.
std::optional<std::span<const std::byte>> firstRecord(std::span<const std::byte> bytes);

/// Result of scanning a file of records.
struct RecordScan {
    std::vector<std::span<const std::byte>> payloads;
    std::size_t validBytes = 0; ///< Size of the prefix that consists of valid records.
    bool corrupt = false; ///< The rest is corrupt: it cannot be the result of an interrupted append.
};

/// Splits \p bytes into records.
RecordScan scanRecords(std::span<const std::byte> bytes);

} // namespace pw::detail
