#pragma once

#include "core/types.h"
#include "ports/log_storage.h"

#include <variant>

namespace pw {

/// RequestVote: candidate to voters.
struct VoteRequest {
    std::uint64_t round = 0; ///< Election round of the candidate; echoed in the reply.
    std::uint64_t proposedTerm = 0; ///< Term for which the candidate is running.
    std::uint64_t lastIndex = 0;
    std::uint64_t lastTerm = 0;
    bool preVote = false; ///< Pre-vote: asks whether a vote would be granted, without changing any state.
    bool leadershipTransfer = false; ///< Election started by TimeoutNow; not rejected because of recent contact with the leader.
};

struct VoteReply {
    std::uint64_t round = 0;
    bool preVote = false;
    bool granted = false;
    bool notMember = false; ///< The voter follows a live leader whose membership does not include the candidate.
};

/// AppendEntries: leader to other members; without entries it is a heartbeat.
struct AppendRequest {
    std::uint64_t prevIndex = 0;
    std::uint64_t prevTerm = 0;
    std::uint64_t commit = 0;
    Duration sentAt {}; ///< Leader's clock; echoed in the reply, so that the leader counts its lease from it.
    std::vector<LogEntry> entries;
};

struct AppendReply {
    bool accepted = false;
    std::uint64_t match = 0; ///< If accepted, highest matching index; otherwise, index to retry from.
    Duration sentAt {};
};

/// InstallSnapshot: leader to a member that needs compacted entries. Answered with AppendReply.
struct InstallSnapshotRequest {
    LogSnapshot snapshot;
    Duration sentAt {};
};

/// TimeoutNow: leader to the voter that takes over leadership, which starts an election at once.
struct TimeoutNow { };

/// ReadIndex: member asks the leader for its commit index.
struct ReadIndexRequest {
    Duration sentAt {}; ///< Requesting member's clock.
    std::uint64_t daemonAppliedIndex = 0; ///< Lowest index applied by the member and all daemons attached to it.
};

struct ReadIndexReply {
    Duration sentAt {};
    std::uint64_t commit = 0; ///< Covers at least every change accepted before sentAt.
};

/// Member without a cluster to known control members: asks to be added.
struct JoinRequest {
    std::string name;
    std::string failureDomain;
};

struct JoinReply {
    bool empty = false; ///< The replying member does not belong to a cluster either.
    PeerAddress leader; ///< Address of the leader, empty if unknown.
};

/// A message between control members.
struct RaftMessage {
    std::uint64_t cluster = 0;
    MemberId from = 0;
    MemberId to = 0; ///< Zero in JoinRequest, whose recipient is known by address only.
    std::uint64_t term = 0; ///< Current term of the sender.
    std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, InstallSnapshotRequest, TimeoutNow, ReadIndexRequest, ReadIndexReply, JoinRequest, JoinReply> body;
};

/// A message and the address it is sent to.
struct RaftEnvelope {
    PeerAddress address;
    RaftMessage message;
};

} // namespace pw
