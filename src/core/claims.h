#pragma once

#include "ports/fleet.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

/// Messages of the protocol that claims request ids, so that each id runs at most once in the fleet; see
/// docs/design/at-most-once.md. An entry role asks the control members that hold replicas of the claim (its round of
/// claiming) and wins the claim when a majority of them grants it.
namespace pw {

/// Digest of a workspace and a caller's request id; the key of a claim.
struct ClaimKey {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const ClaimKey&) const = default;
};

/// Entry role to control member: claims a key for the sender.
struct ClaimRequest {
    ClaimKey key;
    std::uint64_t token = 0; ///< Identifies the round of claiming; unique to it.
};

/// Entry role to control member: releases the sender's claim; no request was run under it.
struct ClaimRelease {
    ClaimKey key;
    std::uint64_t token = 0; ///< Round that holds the claim.
};

/// Restarted control member to another: requests its claims from \p cursor on, one page at a time.
struct ClaimRefillRequest {
    std::uint64_t incarnation = 0; ///< Of the requesting process; differs at every start.
    std::uint64_t cursor = 0;
    bool settled = false; ///< Every round in which the requester's previous process voted is decided.
};

/// One claim stored in a replica.
struct ClaimRecord {
    ClaimKey key;
    std::uint64_t token = 0; ///< Round that holds the claim.
    std::string holder; ///< Address of the claiming daemon.
    std::chrono::milliseconds age { 0 };
};

/// Reply to a refill request: a page of claims.
struct ClaimRefillPage {
    std::uint64_t requesterIncarnation = 0; ///< Incarnation of the requesting process.
    std::uint64_t incarnation = 0; ///< Of the replying process.
    bool settled = false; ///< Copied from the request; a page without it has no records.
    bool ready = false; ///< The replying member's replica is complete.
    bool firstStart = false; ///< The replying member has never granted a claim with its current data folder.
    std::vector<std::uint64_t> initialIncarnations; ///< Incarnations of all members at the initial start of the fleet; empty when not known.
    std::uint64_t cursor = 0; ///< Copied from the request.
    std::uint64_t next = 0; ///< Cursor of the following page.
    bool done = false; ///< There is no following page.
    std::vector<ClaimRecord> records;
};

/// Any message about claims that is sent to the control role of a member.
using ClaimMemberMessage = std::variant<ClaimRequest, ClaimRelease, ClaimRefillRequest, ClaimRefillPage>;

/// A control member's vote on a claim.
enum class ClaimVoteKind : std::uint8_t {
    Granted,
    Taken, ///< Another round holds the claim.
    NotReady, ///< The member's replica has not been complete since its restart.
    Released, ///< Acknowledges a ClaimRelease.
    Count
};

/// Control member to entry role: reply to ClaimRequest or ClaimRelease.
struct ClaimVote {
    ClaimKey key;
    std::uint64_t token = 0; ///< Round of the request.
    ClaimVoteKind kind = ClaimVoteKind::NotReady;
    std::string holder; ///< Set for Taken: address of the claiming daemon.
    std::uint64_t holderToken = 0; ///< Set for Taken: round that holds the claim.
};

/// Entry role to the claiming daemon: fetches the state of a claimed request, and its stored answer.
struct ClaimFetchRequest {
    ClaimKey key;
    std::uint64_t token = 0; ///< Round that holds the claim.
};

/// State of a round of claiming at the daemon that began it.
enum class ClaimState : std::uint8_t {
    Unknown, ///< Never known here, or evicted.
    Claiming, ///< Voting is in progress.
    Running, ///< Claim won; the request is running.
    Answered, ///< The request has ended; its answer is stored.
    Released, ///< Ended without having run the request.
    Count
};

/// Claiming daemon to entry role: reply to a fetch.
struct ClaimFetchReply {
    ClaimKey key;
    std::uint64_t token = 0;
    ClaimState state = ClaimState::Unknown;
    StoredAnswer answer; ///< Set for Answered only.
};

} // namespace pw

template <>
struct std::hash<pw::ClaimKey> {
    std::size_t operator()(const pw::ClaimKey& key) const noexcept { return static_cast<std::size_t>(key.low); }
};
