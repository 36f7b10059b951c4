#pragma once

#include "core/fleet_state.h"
#include "core/raft_message.h"
#include "core/session_message.h"

#include <optional>

/// Codec of the replicated log, its storage, sessions and forwarded operator changes; schema in control.capnp.
namespace pw {

Bytes encodeRaftMessage(const RaftMessage& message);
Bytes encodeSessionAsk(const SessionRequest& ask);
Bytes encodeSessionReply(const SessionReply& reply);
Bytes encodeOperatorAsk(const OperatorForwardRequest& ask);
Bytes encodeOperatorReply(const OperatorForwardReply& reply);
Bytes encodeChange(const Change& change);
Bytes encodeFleetState(const FleetState& state);
Bytes encodeEntries(std::span<const LogEntry> entries);
Bytes encodeSnapshot(const LogSnapshot& snapshot);
Bytes encodeVoteRecord(const VoteRecord& vote);

/// The decoders return nothing if \p bytes are not a valid message.
std::optional<RaftMessage> decodeRaftMessage(std::span<const std::byte> bytes);
std::optional<SessionRequest> decodeSessionAsk(std::span<const std::byte> bytes);
std::optional<SessionReply> decodeSessionReply(std::span<const std::byte> bytes);
std::optional<OperatorForwardRequest> decodeOperatorAsk(std::span<const std::byte> bytes);
std::optional<OperatorForwardReply> decodeOperatorReply(std::span<const std::byte> bytes);
std::optional<Change> decodeChange(std::span<const std::byte> bytes);
std::optional<FleetState> decodeFleetState(std::span<const std::byte> bytes);
std::optional<std::vector<LogEntry>> decodeEntries(std::span<const std::byte> bytes);
std::optional<LogSnapshot> decodeSnapshot(std::span<const std::byte> bytes);
std::optional<VoteRecord> decodeVoteRecord(std::span<const std::byte> bytes);

} // namespace pw
