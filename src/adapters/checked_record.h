#pragma once

#include "ports/peer_network.h"

#include <optional>
#include <span>
#include <vector>

/// Checksummed records in a file. All numbers are little-endian.
namespace pw::detail {

/// Header of a record, in bytes: magic, size, checksum of the payload, checksum of the header before it.
inline constexpr std::size_t recordHeaderBytes = 16;

/// \returns \p payload with its header.
Bytes toRecord(std::span<const std::byte> payload);

/// \returns the payload of the record at the start of \p bytes, or nothing when it does not check.
std::optional<std::span<const std::byte>> firstRecord(std::span<const std::byte> bytes);

/// What the records of a file came to.
struct RecordScan {
    std::vector<std::span<const std::byte>> payloads;
    std::size_t goodBytes = 0; ///< Up to the end of the last good record.
    bool damaged = false; ///< What follows cannot be an unfinished append.
};

/// Splits \p bytes into records.
RecordScan scanRecords(std::span<const std::byte> bytes);

} // namespace pw::detail
