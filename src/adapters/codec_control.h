#pragma once

#include "core/fleet_state.h"
#include "core/raft_message.h"
#include "core/session_message.h"

#include <optional>

/// Codec of the replicated log, its storage, sessions and forwarded operator changes; schema in control.capnp.
namespace pw {

Bytes encodeRaftMessage(const RaftMessage& message);
Bytes encodeSessionAsk(const SessionAsk& ask);
Bytes encodeSessionReply(const SessionReply& reply);
Bytes encodeOperatorAsk(const OperatorAsk& ask);
Bytes encodeOperatorReply(const OperatorReply& reply);
Bytes encodeChange(const Change& change);
Bytes encodeFleetState(const FleetState& state);
Bytes encodeEntries(std::span<const LogEntry> entries);
Bytes encodeSnapshot(const LogSnapshot& snapshot);
Bytes encodeVoteRecord(const VoteRecord& vote);

/// The decoders return nothing if \p bytes are not a valid message.
std::optional<RaftMessage> decodeRaftMessage(std::span<const std::byte> bytes);
std::optional<SessionAsk> decodeSessionAsk(std::span<const std::byte> bytes);
std::optional<SessionReply> decodeSessionReply(std::span<const std::byte> bytes);
std::optional<OperatorAsk> decodeOperatorAsk(std::span<const std::byte> bytes);
std::optional<OperatorReply> decodeOperatorReply(std::span<const std::byte> bytes);
std::optional<Change> decodeChange(std::span<const std::byte> bytes);
std::optional<FleetState> decodeFleetState(std::span<const std::byte> bytes);
std::optional<std::vector<LogEntry>> decodeEntries(std::span<const std::byte> bytes);
std::optional<LogSnapshot> decodeSnapshot(std::span<const std::byte> bytes);
std::optional<VoteRecord> decodeVoteRecord(std::span<const std::byte> bytes);

} // namespace pw
