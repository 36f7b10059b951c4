#pragma once

#include "core/grants.h"
#include "ports/peer_network.h"

#include <optional>

/// Codec of the grants of fleet-wide rates; schema in grants.capnp.
namespace pw {

Bytes encodeGrantAsk(const GrantRequestBatch& batch);
Bytes encodeGrantReply(const GrantReplyBatch& batch);

/// The decoders return nothing if \p bytes are not a valid message.
std::optional<GrantRequestBatch> decodeGrantAsk(std::span<const std::byte> bytes);
std::optional<GrantReplyBatch> decodeGrantReply(std::span<const std::byte> bytes);

} // namespace pw
