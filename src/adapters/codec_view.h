#pragma once

#include "core/view_messages.h"
#include "ports/peer_network.h"

#include <optional>

/// Codec of the membership view; schema in view.capnp.
namespace pw {

Bytes encodeViewMessage(const ViewMemberMessage& message);
Bytes encodeViewDelta(const ViewDelta& delta);

/// The decoders return nothing if \p bytes are not a valid message.
std::optional<ViewMemberMessage> decodeViewMessage(std::span<const std::byte> bytes);
std::optional<ViewDelta> decodeViewDelta(std::span<const std::byte> bytes);

} // namespace pw
