#pragma once

#include "ports/fleet.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

/// Messages by which request ids are claimed; see docs/design/at-most-once.md.
namespace pw {

/// Digest of a workspace and a caller's request id.
struct ClaimKey {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const ClaimKey&) const = default;
};

/// Entry role to control member: claim this key for the sender.
struct ClaimRequest {
    ClaimKey key;
    std::uint64_t token = 0; ///< Unique to one round of claiming.
};

/// Entry role to control member: the sender's claim ends, nothing was run under it.
struct ClaimRelease {
    ClaimKey key;
    std::uint64_t token = 0;
};

/// Restarted control member to another: send me your claims from \p cursor on.
struct ClaimRefillAsk {
    std::uint64_t incarnation = 0; ///< The sender's; differs at every start.
    std::uint64_t cursor = 0;
    bool settled = false; ///< Rounds in which the sender's earlier process voted are decided.
};

/// One claim as a replica holds it.
struct ClaimRecord {
    ClaimKey key;
    std::uint64_t token = 0;
    std::string holder; ///< Address of the claiming daemon.
    std::chrono::milliseconds age { 0 };
};

/// Answer to a refill ask.
struct ClaimRefillPage {
    std::uint64_t asker = 0; ///< Incarnation that asked.
    std::uint64_t incarnation = 0; ///< The sender's.
    bool settled = false; ///< The ask's; without it the page has no records.
    bool ready = false; ///< The sender's replica is complete.
    bool firstStart = false; ///< The sender has never granted a claim from its data folder.
    std::vector<std::uint64_t> founders; ///< Incarnations that were all at their first start together.
    std::uint64_t cursor = 0; ///< The ask's.
    std::uint64_t next = 0; ///< Cursor of the following page.
    bool done = false; ///< There is no following page.
    std::vector<ClaimRecord> records;
};

/// Anything sent to the control role of a member about claims.
using ClaimMemberMessage = std::variant<ClaimRequest, ClaimRelease, ClaimRefillAsk, ClaimRefillPage>;

/// A member's word on a claim.
enum class ClaimVoteKind : std::uint8_t {
    Granted,
    Taken, ///< Another round holds the key.
    NotReady, ///< The member's replica is not complete since its restart.
    Released, ///< Confirms a release.
    Count
};

/// Control member to entry role.
struct ClaimVote {
    ClaimKey key;
    std::uint64_t token = 0; ///< Of the round that asked.
    ClaimVoteKind kind = ClaimVoteKind::NotReady;
    std::string holder; ///< Taken: address of the claiming daemon.
    std::uint64_t holderToken = 0; ///< Taken: the round that holds the key.
};

/// Entry role to the claiming daemon: what became of the request?
struct ClaimFetch {
    ClaimKey key;
    std::uint64_t token = 0; ///< The round that holds the key.
};

/// What the claiming daemon knows of one of its rounds.
enum class ClaimState : std::uint8_t {
    Unknown, ///< Not known, or no longer.
    Claiming, ///< The round is not decided.
    Running,
    Answered,
    Released, ///< Ended without having run.
    Count
};

/// Claiming daemon to entry role.
struct ClaimFetched {
    ClaimKey key;
    std::uint64_t token = 0;
    ClaimState state = ClaimState::Unknown;
    KeptAnswer answer; ///< Answered only.
};

} // namespace pw

template <>
struct std::hash<pw::ClaimKey> {
    std::size_t operator()(const pw::ClaimKey& key) const noexcept { return static_cast<std::size_t>(key.low); }
};
