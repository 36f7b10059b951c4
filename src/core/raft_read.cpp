#include "core/raft.h"

#include <algorithm>

namespace pw {

void Raft::setDaemonAppliedIndex(std::uint64_t index, TimePoint now)
{
    const auto increased = index > m_daemonAppliedIndex;
    m_daemonAppliedIndex = index;
    m_daemonAppliedIndexes[identity()] = { index, now };
    if (increased && m_role != RaftRole::Leader && !m_halted) {
        sendReadIndexRequest(now);
    }
}

void Raft::sendReadIndexRequest(TimePoint now)
{
    m_nextReadIndexRequest = now + m_options.heartbeat;
    if (const auto* leader = member(m_leader)) {
        send(leader->address, leader->id, ReadIndexRequest { now.time_since_epoch(), m_daemonAppliedIndex });
    }
}

void Raft::handle(const PeerAddress& from, const RaftMessage& message, const ReadIndexRequest& ask, TimePoint now)
{
    if (!leading(now) || !member(message.from)) {
        return;
    }
    m_daemonAppliedIndexes[message.from] = { ask.daemonAppliedIndex, now };
    send(from, message.from, ReadIndexReply { ask.sentAt, m_commit });
}

void Raft::handle(const PeerAddress&, const RaftMessage&, const ReadIndexReply& reply, TimePoint now)
{
    const TimePoint sentAt(reply.sentAt);
    if (sentAt > now) {
        return;
    }
    m_reads.emplace_back(sentAt, reply.commit);
    if (m_reads.size() > config::raftMaxPendingReads) {
        m_reads.pop_front();
    }
    completeReads();
}

void Raft::completeReads()
{
    std::erase_if(m_reads, [this](const auto& read) {
        const auto settled = read.second <= m_applied;
        if (settled) {
            m_completeAsOf = std::max(m_completeAsOf.value_or(read.first), read.first);
        }
        return settled;
    });
}

std::optional<TimePoint> Raft::completeAsOf(TimePoint now) const
{
    if (leading(now) && m_applied == m_commit) {
        return now;
    }
    return m_completeAsOf;
}

void Raft::startReadConfirmation(TimePoint now)
{
    if (m_halted) {
        return;
    }
    if (m_role == RaftRole::Leader) {
        broadcast(now);
    } else {
        sendReadIndexRequest(now);
    }
}

std::optional<TimePoint> Raft::confirmedAsOf(TimePoint now) const
{
    if (m_role != RaftRole::Leader) {
        return m_completeAsOf;
    }
    return leading(now) && m_applied == m_commit ? quorumAcknowledged(now) : std::nullopt;
}

std::optional<std::pair<std::uint64_t, TimePoint>> Raft::daemonAppliedIndexOf(MemberId id) const
{
    const auto it = m_daemonAppliedIndexes.find(id);
    return it == m_daemonAppliedIndexes.end() ? std::nullopt : std::optional(it->second);
}

} // namespace pw
