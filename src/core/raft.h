#pragma once

#include "config.h"
#include "core/raft_log.h"
#include "core/raft_message.h"

#include <deque>
#include <map>
#include <set>

namespace pw {

/// Timeouts and cluster sizes of a Raft member.
struct RaftOptions {
    Duration electionTimeout = config::raftElectionTimeout; ///< Minimum; timeouts are randomized up to twice this.
    Duration leaderLease = config::raftLeaderLease; ///< Counted from when the latest message that a quorum acknowledged was sent.
    Duration heartbeat = config::raftHeartbeat;
    Duration snapshotResend = config::raftSnapshotResend;
    Duration voterTimeout = config::raftVoterTimeout; ///< An unresponsive voter is replaced by a caught-up learner after this time.
    Duration learnerTimeout = config::raftLearnerTimeout; ///< An unresponsive learner is removed after this time.
    std::size_t voters = 3; ///< Learners are promoted until the cluster has this many voters.
    std::size_t minSyncedCopies = 1; ///< Voters that must have synced an entry before it commits, besides a quorum; at most all voters.
    bool waitsForVoters = false; ///< Rejects proposals until the cluster has reached \c voters for the first time.
    std::string failureDomain; ///< Failure domain of this member.
};

/// Raft role of a member.
enum class RaftRole : std::uint8_t {
    Follower,
    PreCandidate, ///< Runs the pre-vote phase before a real election.
    Candidate,
    Leader,
    Count
};

/// \returns the name of \p role in messages to operators.
std::string_view raftRoleName(RaftRole role);

/// One member of the replicated log: elections, replication, membership, snapshots.
///
/// Performs no network I/O and reads no clock: callers drive it through tick(), receive() and propose(), send what
/// takeMessages() returns and apply what takeCommitted() returns. State is persisted before any message that depends on
/// it is returned. When the storage fails, the member halts and no longer sends or applies anything until resume().
///
/// The leader holds a lease: leading() is true only while a quorum has acknowledged a message sent within the last
/// RaftOptions::leaderLease. A voter that has received a message of a leader rejects vote requests for electionTimeout,
/// which is longer and starts later (on receipt instead of on sending). Hence at most one member leads at any time,
/// regardless of terms.
class Raft {
public:
    /// \param stored the contents that \p storage returned when it was opened; \p storage must outlive this object.
    Raft(const RaftOptions& options, LogStorage& storage, const StoredLog& stored, std::string name, PeerAddress address,
        std::uint64_t seed, TimePoint now);

    /// Runs elections, heartbeats and membership changes; call it every config::raftTickInterval.
    void tick(TimePoint now);

    /// Continues a halted member as a follower with the contents \p stored of its reopened storage, as after a restart of the
    /// process; what it has applied stays applied. \returns false if the storage lost what this member had committed or
    /// belongs to another identity; the member then stays halted for good.
    bool resume(const StoredLog& stored, TimePoint now);

    /// Handles \p message, received from the member at \p from.
    void receive(const PeerAddress& from, const RaftMessage& message, TimePoint now);

    /// Appends a change to the log. \returns its index, or nothing when this member cannot accept changes now.
    std::optional<std::uint64_t> propose(std::string data, TimePoint now);

    /// Creates a cluster with this member as its only voter. \returns false when it already belongs to one or has halted.
    bool bootstrap(TimePoint now);

    /// Adds \p newcomer as a learner. \returns false when members cannot be changed now.
    bool addLearner(ControlMemberRecord newcomer, TimePoint now);

    /// Removes the member called \p name permanently. \returns false when members cannot be changed now.
    bool removeMember(const std::string& name, TimePoint now);

    /// Transfers leadership to a responsive voter as soon as one has replicated the whole log.
    void transferLeadership(TimePoint now);

    /// Stores a snapshot of \p state, the encoded state at appliedIndex(), and discards the entries up to that index.
    void compact(std::string state);

    /// Sets the lowest index applied by this member and its attached daemons; it is reported to the leader.
    void setDaemonAppliedIndex(std::uint64_t index, TimePoint now);

    /// \returns the messages to send, in order.
    std::vector<RaftEnvelope> takeMessages();

    /// \returns a snapshot that replaces the whole applied state; load it before calling takeCommitted().
    std::optional<LogSnapshot> takeSnapshot();

    /// \returns newly committed entries in order, each once; they count as applied afterwards.
    std::vector<LogEntry> takeCommitted();

    /// \returns whether this member is the leader, holds its lease and has committed an entry of its own term, so that it
    /// knows every committed entry.
    bool leading(TimePoint now) const;

    /// \returns the latest local time at which the applied state was complete, that is held every accepted change. Relies
    /// on the leader's lease. Nothing until first known.
    std::optional<TimePoint> completeAsOf(TimePoint now) const;

    /// Starts confirming the commit index as of \p now; confirmedAsOf() reaches \p now once that has succeeded.
    void startReadConfirmation(TimePoint now);

    /// Like completeAsOf(), but at the leader confirmed by a quorum instead of by its lease.
    std::optional<TimePoint> confirmedAsOf(TimePoint now) const;

    /// \returns whether changes may be accepted: the cluster has enough voters now, or has accepted a change before.
    bool formed() const;

    /// \returns whether the latest known membership includes this member.
    bool isMember() const { return member(identity()) != nullptr; }

    /// \returns the index that all daemons attached to \p member have applied, as it last reported, and when it did.
    std::optional<std::pair<std::uint64_t, TimePoint>> daemonAppliedIndexOf(MemberId member) const;

    RaftRole role() const { return m_role; }
    bool halted() const { return m_halted; }
    bool removed() const { return m_removed; } ///< A quorum replied that this identity is no longer a member.
    /// \returns whether the member has halted for a failure that may pass; reopen the storage and call resume().
    bool mayResume() const { return m_halted && !m_lostState && m_storage.mayRecover(); }
    const std::string& haltReason() const { return m_haltReason; }
    TimePoint lastLeaderContact() const { return m_lastLeaderContact; }
    MemberId identity() const { return m_vote.identity; }
    std::uint64_t cluster() const { return m_vote.cluster; }
    std::uint64_t term() const { return m_vote.term; }
    std::uint64_t commitIndex() const { return m_commit; }
    std::uint64_t appliedIndex() const { return m_applied; }
    std::uint64_t lastIndex() const { return m_log.lastIndex(); }
    std::uint64_t entriesSinceSnapshot() const { return m_applied - m_log.snapshot().index; }
    PeerAddress leaderAddress() const;
    const std::vector<ControlMemberRecord>& members() const { return m_members; }
    const std::string& name() const { return m_name; }

private:
    /// Replication progress of another member, kept by the leader.
    struct Progress {
        std::uint64_t match = 0; ///< Highest index known to be replicated (matchIndex).
        std::uint64_t next = 1; ///< Index of the next entry to send (nextIndex).
        std::optional<TimePoint> acknowledged; ///< Sending time of the latest message that it acknowledged.
        std::optional<TimePoint> snapshotSent;
    };

    // raft.cpp
    void halt();
    bool saveVote();
    void send(const PeerAddress& address, MemberId to, decltype(RaftMessage::body) body);
    const ControlMemberRecord* member(MemberId id) const;
    bool isVoter(MemberId id) const;
    std::size_t quorum() const;
    void refreshMembers();
    bool acceptTerm(const RaftMessage& message, TimePoint now);
    void becomeFollower(std::uint64_t term, MemberId leader, TimePoint now);

    // raft_election.cpp
    void resetElectionTimer(TimePoint now);
    void startElectionTimer(Duration shortest, TimePoint now);
    bool hasCurrentLeader(TimePoint now) const;
    void startElection(bool preVote, bool leadershipTransfer, TimePoint now);
    void becomeLeader(TimePoint now);
    bool logIsCurrent(const VoteRequest& ask) const;
    /// \returns whether this member's own pre-vote, started at about the same time as that of \p candidate, takes precedence.
    bool hasPreVotePriority(MemberId candidate, const VoteRequest& ask, TimePoint now) const;
    void handle(const PeerAddress& from, const RaftMessage& message, const VoteRequest& ask, TimePoint now);
    void handle(const PeerAddress& from, const RaftMessage& message, const VoteReply& reply, TimePoint now);
    void handle(const PeerAddress& from, const RaftMessage& message, const TimeoutNow& order, TimePoint now);
    void tryLeadershipTransfer(TimePoint now);
    std::optional<TimePoint> quorumAcknowledged(TimePoint now) const;

    // raft_replication.cpp
    bool appendToOwnLog(LogEntry entry, TimePoint now);
    void broadcast(TimePoint now);
    void sendAppend(const ControlMemberRecord& to, TimePoint now);
    void advanceCommit(TimePoint now);
    bool acceptEntries(const AppendRequest& ask);
    void setCommit(std::uint64_t index);
    void noteLeaderContact(const RaftMessage& message, TimePoint now);
    void handle(const PeerAddress& from, const RaftMessage& message, const AppendRequest& ask, TimePoint now);
    void handle(const PeerAddress& from, const RaftMessage& message, const AppendReply& reply, TimePoint now);

    // raft_read.cpp
    void sendReadIndexRequest(TimePoint now);
    void completeReads();
    void handle(const PeerAddress& from, const RaftMessage& message, const ReadIndexRequest& ask, TimePoint now);
    void handle(const PeerAddress& from, const RaftMessage& message, const ReadIndexReply& reply, TimePoint now);

    // raft_membership.cpp
    bool mayChangeMembers(const std::vector<ControlMemberRecord>& next, TimePoint now) const;
    bool proposeMembers(std::vector<ControlMemberRecord> next, TimePoint now);
    bool isResponsive(MemberId id, TimePoint now) const;
    bool caughtUp(MemberId id, TimePoint now) const;
    std::size_t voterCount() const;
    bool isReadyLearner(const ControlMemberRecord& it, TimePoint now) const;
    bool hasFailed(const ControlMemberRecord& voter, TimePoint now) const;
    void reconcileMembers(TimePoint now);
    bool removeFailedVoter(TimePoint now);
    bool promoteLearner(TimePoint now);
    void removeUnresponsiveLearners(TimePoint now);

    // raft_snapshot.cpp
    void sendSnapshot(const ControlMemberRecord& to, Progress& progress, TimePoint now);
    void handle(const PeerAddress& from, const RaftMessage& message, const InstallSnapshotRequest& ask, TimePoint now);

    // Join messages are handled by ClusterJoin, which knows the settings.
    void handle(const PeerAddress&, const RaftMessage&, const JoinRequest&, TimePoint) { }
    void handle(const PeerAddress&, const RaftMessage&, const JoinReply&, TimePoint) { }

    RaftOptions m_options;
    LogStorage& m_storage;
    std::string m_name;
    PeerAddress m_address;
    Random m_random;

    VoteRecord m_vote;
    RaftLog m_log;
    std::vector<ControlMemberRecord> m_members; ///< Latest membership in the log, committed or not.
    std::uint64_t m_commit = 0;
    std::uint64_t m_applied = 0;
    bool m_snapshotPending = false;

    RaftRole m_role = RaftRole::Follower;
    MemberId m_leader = 0;
    bool m_halted = false;
    bool m_lostState = false; ///< The storage no longer holds what this member had committed.
    std::string m_haltReason;
    bool m_removed = false;
    TimePoint m_lastLeaderContact; ///< Starts at construction, because leaders contacted before a restart are unknown.
    TimePoint m_electionDeadline;
    std::uint64_t m_round = 0; ///< Number of the latest election or pre-vote.
    TimePoint m_roundStarted {};
    std::set<MemberId> m_votesGranted; ///< Members that granted their vote in this round.
    std::set<MemberId> m_notMemberReplies; ///< Members that replied in this round that this one is not a member.

    TimePoint m_electedAt;
    TimePoint m_nextHeartbeat;
    std::uint64_t m_firstIndexOfTerm = 0; ///< Index of the first entry of this leader's term.
    bool m_leadershipTransferPending = false;
    std::map<MemberId, Progress> m_progress;
    std::map<MemberId, std::pair<std::uint64_t, TimePoint>> m_daemonAppliedIndexes;

    TimePoint m_nextReadIndexRequest;
    std::uint64_t m_daemonAppliedIndex = 0;
    std::deque<std::pair<TimePoint, std::uint64_t>> m_reads; ///< Confirmed reads: sending time of the request, index to be applied first.
    std::optional<TimePoint> m_completeAsOf;

    std::vector<RaftEnvelope> m_outbox;
};

} // namespace pw
