#pragma once

#include "core/call.h"
#include "ports/peer_network.h"

#include <optional>

/// Codec of the messages that forward requests between daemons; schema in call.capnp.
namespace pw {

Bytes encodeCall(const Call& call);
Bytes encodeAnswer(const Answer& answer);
Bytes encodeCancel(std::uint64_t callId);

/// The decoders return nothing if \p bytes are not a valid message.
std::optional<Call> decodeCall(std::span<const std::byte> bytes);
std::optional<Answer> decodeAnswer(std::span<const std::byte> bytes);
std::optional<std::uint64_t> decodeCancel(std::span<const std::byte> bytes);

} // namespace pw
