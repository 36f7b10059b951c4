#include "core/raft.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

namespace pw {
namespace {

    constexpr std::array<std::string_view, static_cast<std::size_t>(RaftRole::Count)> roleNames {
        "follower", "pre-candidate", "candidate", "leader"
    };

} // namespace

std::string_view raftRoleName(RaftRole role)
{
    return roleNames.at(static_cast<std::size_t>(role));
}

Raft::Raft(const RaftOptions& options, LogStorage& storage, const StoredLog& stored, std::string name, PeerAddress address,
    std::uint64_t seed, TimePoint now)
    : m_options(options)
    , m_storage(storage)
    , m_name(std::move(name))
    , m_address(std::move(address))
    , m_random(seed)
    , m_vote(stored.vote)
    , m_log(stored)
    , m_commit(stored.snapshot.index)
    , m_applied(stored.snapshot.index)
    , m_snapshotPending(stored.snapshot.index > 0)
    , m_lastLeaderContact(now)
    , m_electedAt(now)
    , m_nextHeartbeat(now)
    , m_nextReadIndexRequest(now)
{
    refreshMembers();
    resetElectionTimer(now);
}

bool Raft::resume(const StoredLog& stored, TimePoint now)
{
    assert(m_halted);
    RaftLog log(stored);
    if (stored.vote.identity != identity() || log.lastIndex() < m_commit) {
        m_lostState = true;
        m_haltReason = "the data folder has lost what this member had stored";
        return false;
    }
    m_vote = stored.vote;
    m_log = std::move(log);
    if (stored.snapshot.index > m_applied) {
        m_applied = stored.snapshot.index;
        m_commit = std::max(m_commit, m_applied);
        m_snapshotPending = true;
    }
    m_halted = false;
    m_haltReason.clear();
    m_leadershipTransferPending = false;
    m_votesGranted.clear();
    m_notMemberReplies.clear();
    m_progress.clear();
    refreshMembers();
    // As after a restart, leaders that this member has promised not to unseat are unknown.
    m_lastLeaderContact = now;
    resetElectionTimer(now);
    return true;
}

void Raft::tick(TimePoint now)
{
    if (m_halted) {
        return;
    }
    if (m_role == RaftRole::Leader) {
        const auto acknowledged = quorumAcknowledged(now).value_or(m_electedAt);
        if (now >= std::max(acknowledged, m_electedAt) + m_options.electionTimeout) {
            becomeFollower(term(), 0, now);
            return;
        }
        if (now >= m_nextHeartbeat) {
            broadcast(now);
        }
        reconcileMembers(now);
        tryLeadershipTransfer(now);
        return;
    }
    if (isVoter(identity()) && now >= m_electionDeadline) {
        startElection(true, false, now);
    }
    if (now >= m_nextReadIndexRequest) {
        sendReadIndexRequest(now);
    }
}

void Raft::receive(const PeerAddress& from, const RaftMessage& message, TimePoint now)
{
    const auto isAddressee = message.to == identity() && message.from != identity();
    const auto isOtherCluster = !m_members.empty() && message.cluster != cluster();
    if (m_halted || !isAddressee || isOtherCluster || !acceptTerm(message, now)) {
        return;
    }
    std::visit([&](const auto& body) { handle(from, message, body, now); }, message.body);
}

std::vector<RaftEnvelope> Raft::takeMessages()
{
    return std::exchange(m_outbox, {});
}

std::optional<LogSnapshot> Raft::takeSnapshot()
{
    if (m_halted || !std::exchange(m_snapshotPending, false)) {
        return std::nullopt;
    }
    return m_log.snapshot();
}

std::vector<LogEntry> Raft::takeCommitted()
{
    assert(!m_snapshotPending || m_halted);
    if (m_halted) {
        return {};
    }
    std::vector<LogEntry> result;
    for (; m_applied < m_commit; ++m_applied) {
        result.push_back(m_log.at(m_applied + 1));
    }
    completeReads();
    return result;
}

PeerAddress Raft::leaderAddress() const
{
    const auto* it = member(m_leader);
    return it ? it->address : PeerAddress {};
}

void Raft::halt()
{
    m_halted = true;
    m_haltReason = m_storage.lastReason();
    m_role = RaftRole::Follower;
    m_leader = 0;
    m_outbox.clear(); // The messages may depend on state that was not persisted.
}

bool Raft::saveVote()
{
    if (!m_storage.saveVote(m_vote)) {
        halt();
    }
    return !m_halted;
}

void Raft::send(const PeerAddress& address, MemberId to, decltype(RaftMessage::body) body)
{
    m_outbox.push_back({ address, { cluster(), identity(), to, term(), std::move(body) } });
}

const ControlMemberRecord* Raft::member(MemberId id) const
{
    const auto it = std::ranges::find(m_members, id, &ControlMemberRecord::id);
    return it == m_members.end() ? nullptr : &*it;
}

bool Raft::isVoter(MemberId id) const
{
    const auto* it = member(id);
    return it && it->voter;
}

std::size_t Raft::quorum() const
{
    return voterCount() / 2 + 1;
}

bool Raft::formed() const
{
    return !m_options.waitsForVoters || voterCount() >= m_options.voters || m_log.containsChange(m_commit);
}

void Raft::refreshMembers()
{
    m_members = m_log.membersAt(m_log.lastIndex());
    std::erase_if(m_progress, [this](const auto& entry) { return !member(entry.first); });
}

bool Raft::acceptTerm(const RaftMessage& message, TimePoint now)
{
    if (message.term <= term()) {
        return true;
    }
    if (const auto* ask = std::get_if<VoteRequest>(&message.body)) {
        if (ask->preVote) {
            return true; // A pre-vote does not change the term.
        }
        if (m_members.empty() || (hasCurrentLeader(now) && !ask->leadershipTransfer)) {
            return false;
        }
    }
    const auto keepsTerm = std::holds_alternative<ReadIndexRequest>(message.body) || std::holds_alternative<ReadIndexReply>(message.body);
    if (!keepsTerm) {
        becomeFollower(message.term, 0, now);
    }
    return !m_halted;
}

void Raft::becomeFollower(std::uint64_t newTerm, MemberId leader, TimePoint now)
{
    assert(newTerm >= term());
    const auto stepsDown = m_role != RaftRole::Follower;
    m_role = RaftRole::Follower;
    m_leader = leader;
    m_leadershipTransferPending = false;
    if (stepsDown) {
        resetElectionTimer(now);
    }
    if (newTerm > term()) {
        m_vote.term = newTerm;
        m_vote.votedFor = 0;
        saveVote();
    }
}

} // namespace pw
