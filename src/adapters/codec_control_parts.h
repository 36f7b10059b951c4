#pragma once

#include "adapters/codec.h"
#include "control.capnp.h"
#include "core/fleet_state.h"
#include "ports/log_storage.h"

/// Codecs of the structures shared by the messages of the replicated log, its storage and sessions.
namespace pw::detail {

/// Rejects the message with \p reason unless \p holds. Throws an exception that fromBytes() catches.
inline void require(bool holds, const char* reason)
{
    if (!holds) {
        kj::throwFatalException(kj::Exception(kj::Exception::Type::FAILED, __FILE__, __LINE__, kj::str(reason)));
    }
}

/// \returns \p value as an enumerator, or nothing if it is out of range.
template <typename Enum>
std::optional<Enum> toEnum(std::uint8_t value)
{
    return value < static_cast<std::uint8_t>(Enum::Count) ? std::optional(static_cast<Enum>(value)) : std::nullopt;
}

/// Fills \p list by calling \p write(builder, item) for each of \p items.
template <typename List, typename Items, typename Write>
void writeList(List list, const Items& items, Write&& write)
{
    unsigned n = 0;
    for (const auto& it : items) {
        write(list[n++], it);
    }
}

/// \returns the results of \p read for each item of \p list.
template <typename List, typename Read>
auto readList(List list, Read&& read)
{
    std::vector<decltype(read(list[0]))> result;
    result.reserve(list.size());
    for (auto it : list) {
        result.push_back(read(it));
    }
    return result;
}

void writeMember(proto::ControlMember::Builder builder, const ControlMemberRecord& member);
ControlMemberRecord readMember(proto::ControlMember::Reader reader);

void writeEntry(proto::LogEntry::Builder builder, const LogEntry& entry);
LogEntry readEntry(proto::LogEntry::Reader reader);

void writeSnapshot(proto::LogSnapshot::Builder builder, const LogSnapshot& snapshot);
LogSnapshot readSnapshot(proto::LogSnapshot::Reader reader);

void writeKey(proto::Key::Builder builder, const KeyRecord& key);
KeyRecord readKey(proto::Key::Reader reader);

void writeConfiguration(proto::Configuration::Builder builder, const ConfigurationRecord& record);
ConfigurationRecord readConfiguration(proto::Configuration::Reader reader);

void writeEvacuation(proto::Evacuation::Builder builder, const EvacuationRecord& record);
EvacuationRecord readEvacuation(proto::Evacuation::Reader reader);

void writeDelta(proto::FleetDelta::Builder builder, const FleetDelta& delta);
FleetDelta readDelta(proto::FleetDelta::Reader reader);

void writeImage(proto::FleetImage::Builder builder, const FleetImage& image);
FleetImage readImage(proto::FleetImage::Reader reader);

void writeResult(proto::ChangeResult::Builder builder, const ChangeResult& result);
ChangeResult readResult(proto::ChangeResult::Reader reader);

void writeChange(proto::Change::Builder builder, const Change& change);
Change readChange(proto::Change::Reader reader);

} // namespace pw::detail
