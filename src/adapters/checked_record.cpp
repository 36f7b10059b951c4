#include "adapters/checked_record.h"

#include "config.h"

#include <algorithm>
#include <boost/crc.hpp>
#include <boost/endian/conversion.hpp>
#include <cstring>
#include <ranges>

namespace pw::detail {
namespace {

    constexpr std::uint32_t recordMagic = 0x52435750; // "PWCR"
    constexpr std::size_t sectorBytes = 512;

    std::uint32_t checksum(std::span<const std::byte> bytes)
    {
        boost::crc_32_type crc;
        crc.process_bytes(bytes.data(), bytes.size());
        return crc.checksum();
    }

    std::uint32_t loadNumber(std::span<const std::byte> bytes, std::size_t offset)
    {
        return boost::endian::load_little_u32(reinterpret_cast<const unsigned char*>(bytes.data()) + offset);
    }

    void storeNumber(Bytes& bytes, std::size_t offset, std::uint32_t value)
    {
        boost::endian::store_little_u32(reinterpret_cast<unsigned char*>(bytes.data()) + offset, value);
    }

    /// \returns the payload size from the header at the start of \p bytes, or nothing if the header is invalid.
    std::optional<std::size_t> payloadSize(std::span<const std::byte> bytes)
    {
        if (bytes.size() < recordHeaderBytes || loadNumber(bytes, 0) != recordMagic) {
            return std::nullopt;
        }
        if (loadNumber(bytes, 12) != checksum(bytes.first(12))) {
            return std::nullopt;
        }
        return loadNumber(bytes, 4);
    }

    /// \returns whether a sector of the file from \p offset on reads as zeros, that is, was never written.
    bool hasUnwrittenSector(std::span<const std::byte> file, std::size_t offset)
    {
        while (offset < file.size()) {
            const auto end = std::min(file.size(), (offset / sectorBytes + 1) * sectorBytes);
            const auto sector = file.subspan(offset, end - offset);
            if (std::ranges::all_of(sector, [](std::byte it) { return it == std::byte { 0 }; })) {
                return true;
            }
            offset = end;
        }
        return false;
    }

    /// \returns whether the bytes from \p offset on can be the result of an append interrupted by a crash.
    bool isUnfinishedAppend(std::span<const std::byte> file, std::size_t offset)
    {
        const auto tail = file.subspan(offset);
        const auto offsets = std::views::iota(std::size_t { 1 }, tail.size());
        if (std::ranges::any_of(offsets, [&tail](std::size_t it) { return firstRecord(tail.subspan(it)).has_value(); })) {
            return false; // A later record is appended only after this one was synced.
        }
        const auto size = payloadSize(tail);
        const auto cutShort = tail.size() < recordHeaderBytes || (size && tail.size() < recordHeaderBytes + *size);
        return cutShort || hasUnwrittenSector(file, offset);
    }

} // namespace

Bytes toRecord(std::span<const std::byte> payload)
{
    Bytes result(recordHeaderBytes + payload.size());
    storeNumber(result, 0, recordMagic);
    storeNumber(result, 4, static_cast<std::uint32_t>(payload.size()));
    storeNumber(result, 8, checksum(payload));
    storeNumber(result, 12, checksum(std::span(result).first(12)));
    std::ranges::copy(payload, result.begin() + recordHeaderBytes);
    return result;
}

std::optional<std::span<const std::byte>> firstRecord(std::span<const std::byte> bytes)
{
    const auto size = payloadSize(bytes);
    if (!size || bytes.size() - recordHeaderBytes < *size) {
        return std::nullopt;
    }
    const auto payload = bytes.subspan(recordHeaderBytes, *size);
    if (loadNumber(bytes, 8) != checksum(payload)) {
        return std::nullopt;
    }
    return payload;
}

RecordScan scanRecords(std::span<const std::byte> bytes)
{
    RecordScan scan;
    while (scan.validBytes < bytes.size()) {
        const auto payload = firstRecord(bytes.subspan(scan.validBytes));
        if (!payload) {
            scan.corrupt = !isUnfinishedAppend(bytes, scan.validBytes);
            return scan;
        }
        scan.payloads.push_back(*payload);
        scan.validBytes += recordHeaderBytes + payload->size();
    }
    return scan;
}

} // namespace pw::detail
