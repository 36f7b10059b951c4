#pragma once

#include "core/types.h"
#include "ports/log_storage.h"

#include <variant>

namespace pw {

/// RequestVote: candidate to voters.
struct VoteAsk {
    std::uint64_t round = 0; ///< Election round of the candidate; echoed in the reply.
    std::uint64_t proposedTerm = 0; ///< Term for which the candidate is running.
    std::uint64_t lastIndex = 0;
    std::uint64_t lastTerm = 0;
    bool preVote = false; ///< Pre-vote: asks whether a vote would be granted, without changing any state.
    bool handOver = false; ///< Election started by HandOver; not rejected because of recent contact with the leader.
};

struct VoteReply {
    std::uint64_t round = 0;
    bool preVote = false;
    bool granted = false;
    bool notMember = false; ///< The voter follows a live leader whose membership does not include the candidate.
};

/// AppendEntries: leader to other members; without entries it is a heartbeat.
struct AppendAsk {
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
struct SnapshotAsk {
    LogSnapshot snapshot;
    Duration sentAt {};
};

/// TimeoutNow: leader to the voter that takes over leadership, which starts an election at once.
struct HandOver { };

/// ReadIndex: member asks the leader for its commit index.
struct ReadAsk {
    Duration sentAt {}; ///< Requesting member's clock.
    std::uint64_t sessionsIndex = 0; ///< Lowest index applied by the member and all daemons attached to it.
};

struct ReadReply {
    Duration sentAt {};
    std::uint64_t commit = 0; ///< Covers at least every change accepted before sentAt.
};

/// Member without a cluster to known control members: asks to be added.
struct JoinAsk {
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
    MemberId to = 0; ///< Zero in JoinAsk, whose recipient is known by address only.
    std::uint64_t term = 0; ///< Current term of the sender.
    std::variant<VoteAsk, VoteReply, AppendAsk, AppendReply, SnapshotAsk, HandOver, ReadAsk, ReadReply, JoinAsk, JoinReply> body;
};

/// A message and the address it is sent to.
struct RaftEnvelope {
    PeerAddress address;
    RaftMessage message;
};

} // namespace pw
