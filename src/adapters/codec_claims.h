#pragma once

#include "core/claims.h"
#include "ports/peer_network.h"

#include <optional>

/// Codec of the messages that claim request ids; schema in claims.capnp.
namespace pw {

Bytes encodeClaimMessage(const ClaimMemberMessage& message);
Bytes encodeClaimVote(const ClaimVote& vote);
Bytes encodeClaimFetch(const ClaimFetchRequest& fetch);
Bytes encodeClaimFetched(const ClaimFetchReply& fetched);

/// The decoders return nothing if \p bytes are not a valid message.
std::optional<ClaimMemberMessage> decodeClaimMessage(std::span<const std::byte> bytes);
std::optional<ClaimVote> decodeClaimVote(std::span<const std::byte> bytes);
std::optional<ClaimFetchRequest> decodeClaimFetch(std::span<const std::byte> bytes);
std::optional<ClaimFetchReply> decodeClaimFetched(std::span<const std::byte> bytes);

} // namespace pw
