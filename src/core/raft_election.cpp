#include "core/raft.h"

#include <algorithm>

namespace pw {

void Raft::resetElectionTimer(TimePoint now)
{
    startElectionTimer(m_options.electionTimeout, now);
}

void Raft::startElectionTimer(Duration shortest, TimePoint now)
{
    const auto spread = uniform(m_random) * static_cast<double>(shortest.count());
    m_electionDeadline = now + shortest + Duration(static_cast<Duration::rep>(spread));
}

bool Raft::hasCurrentLeader(TimePoint now) const
{
    return m_role == RaftRole::Leader || now < m_lastLeaderContact + m_options.electionTimeout;
}

void Raft::startElection(bool preVote, bool leadershipTransfer, TimePoint now)
{
    // A pre-vote does not disturb the cluster, so it is retried soon if a voter with recent leader contact rejected it.
    startElectionTimer(preVote ? m_options.heartbeat : m_options.electionTimeout, now);
    m_leader = 0;
    m_role = preVote ? RaftRole::PreCandidate : RaftRole::Candidate;
    m_votesGranted = { identity() };
    m_notMemberReplies.clear();
    m_roundStarted = now;
    ++m_round;
    if (!preVote) {
        ++m_vote.term;
        m_vote.votedFor = identity();
        if (!saveVote()) {
            return;
        }
    }
    const auto proposed = preVote ? term() + 1 : term();
    const VoteRequest ask { m_round, proposed, m_log.lastIndex(), m_log.lastTerm(), preVote, leadershipTransfer };
    for (const auto& it : m_members) {
        if (it.voter && it.id != identity()) {
            send(it.address, it.id, ask);
        }
    }
    if (m_votesGranted.size() < quorum()) {
        return;
    }
    if (preVote) {
        startElection(false, false, now);
    } else {
        becomeLeader(now);
    }
}

void Raft::becomeLeader(TimePoint now)
{
    m_role = RaftRole::Leader;
    m_leader = identity();
    m_electedAt = now;
    m_leadershipTransferPending = false;
    m_progress.clear();
    m_daemonAppliedIndexes.clear();
    for (const auto& it : m_members) {
        m_progress[it.id].next = m_log.lastIndex() + 1;
    }
    m_firstIndexOfTerm = m_log.lastIndex() + 1;
    appendToOwnLog({ m_firstIndexOfTerm, term(), EntryKind::Barrier, {}, {} }, now);
}

bool Raft::logIsCurrent(const VoteRequest& ask) const
{
    return std::pair { ask.lastTerm, ask.lastIndex } >= std::pair { m_log.lastTerm(), m_log.lastIndex() };
}

bool Raft::hasPreVotePriority(MemberId candidate, const VoteRequest& ask, TimePoint now) const
{
    const auto logsAreEqual = ask.lastTerm == m_log.lastTerm() && ask.lastIndex == m_log.lastIndex();
    const auto startedRecently = m_role == RaftRole::PreCandidate && now < m_roundStarted + m_options.heartbeat / 2;
    return startedRecently && logsAreEqual && identity() > candidate;
}

void Raft::handle(const PeerAddress& from, const RaftMessage& message, const VoteRequest& ask, TimePoint now)
{
    if (m_members.empty()) {
        return;
    }
    VoteReply reply { ask.round, ask.preVote, false, false };
    const auto leaderIsProtected = hasCurrentLeader(now) && !ask.leadershipTransfer;
    if (ask.preVote) {
        reply.notMember = leaderIsProtected && !member(message.from);
        reply.granted = !leaderIsProtected && ask.proposedTerm > term() && logIsCurrent(ask) && !hasPreVotePriority(message.from, ask, now);
        send(from, message.from, reply);
        return;
    }
    const auto mayVote = m_vote.votedFor == 0 || m_vote.votedFor == message.from;
    if (!leaderIsProtected && ask.proposedTerm == term() && m_role == RaftRole::Follower && mayVote && logIsCurrent(ask)) {
        m_vote.votedFor = message.from;
        if (!saveVote()) {
            return;
        }
        resetElectionTimer(now);
        reply.granted = true;
    }
    send(from, message.from, reply);
}

void Raft::handle(const PeerAddress&, const RaftMessage& message, const VoteReply& reply, TimePoint now)
{
    const auto expected = reply.preVote ? RaftRole::PreCandidate : RaftRole::Candidate;
    if (m_role != expected || reply.round != m_round || !isVoter(message.from)) {
        return;
    }
    if (reply.notMember) {
        m_notMemberReplies.insert(message.from);
        m_removed = m_removed || m_notMemberReplies.size() >= quorum();
    }
    const auto current = reply.preVote || message.term == term();
    if (!reply.granted || !current) {
        return;
    }
    m_votesGranted.insert(message.from);
    if (m_votesGranted.size() < quorum()) {
        return;
    }
    if (reply.preVote) {
        startElection(false, false, now);
    } else {
        becomeLeader(now);
    }
}

void Raft::transferLeadership(TimePoint now)
{
    m_leadershipTransferPending = m_role == RaftRole::Leader;
    tryLeadershipTransfer(now);
}

void Raft::tryLeadershipTransfer(TimePoint now)
{
    if (!m_leadershipTransferPending) {
        return;
    }
    const auto ready = [&](const ControlMemberRecord& it) {
        return it.voter && it.id != identity() && isResponsive(it.id, now) && m_progress.at(it.id).match == m_log.lastIndex();
    };
    const auto it = std::ranges::find_if(m_members, ready);
    if (it == m_members.end()) {
        return;
    }
    send(it->address, it->id, TimeoutNow {});
    // Give up the lease now: the other voter may win its election while voters still have recent contact with this leader.
    becomeFollower(term(), 0, now);
}

void Raft::handle(const PeerAddress&, const RaftMessage& message, const TimeoutNow&, TimePoint now)
{
    if (message.term == term() && message.from == m_leader && isVoter(identity())) {
        startElection(false, true, now);
    }
}

std::optional<TimePoint> Raft::quorumAcknowledged(TimePoint now) const
{
    std::vector<std::optional<TimePoint>> times;
    for (const auto& it : m_members) {
        if (it.voter) {
            const auto progress = m_progress.find(it.id);
            const auto heardAt = progress == m_progress.end() ? std::nullopt : progress->second.acknowledged;
            times.push_back(it.id == identity() ? std::optional(now) : heardAt);
        }
    }
    if (times.empty()) {
        return std::nullopt;
    }
    std::ranges::sort(times, std::greater());
    return times[quorum() - 1];
}

bool Raft::leading(TimePoint now) const
{
    if (m_role != RaftRole::Leader || m_commit < m_firstIndexOfTerm) {
        return false;
    }
    const auto acknowledged = quorumAcknowledged(now);
    return acknowledged && now < *acknowledged + m_options.leaderLease;
}

} // namespace pw
