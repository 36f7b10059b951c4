#include "core/raft.h"

#include <algorithm>
#include <cassert>

namespace pw {

std::optional<std::uint64_t> Raft::propose(std::string data, TimePoint now)
{
    if (m_halted || m_leadershipTransferPending || !leading(now) || !formed()) {
        return std::nullopt;
    }
    const auto index = m_log.lastIndex() + 1;
    if (!appendToOwnLog({ index, term(), EntryKind::Change, std::move(data), {} }, now)) {
        return std::nullopt;
    }
    return index;
}

bool Raft::appendToOwnLog(LogEntry entry, TimePoint now)
{
    const std::vector entries { std::move(entry) };
    if (!m_storage.append(entries)) {
        halt();
        return false;
    }
    m_log.append(entries);
    refreshMembers();
    broadcast(now);
    advanceCommit(now);
    return true;
}

void Raft::broadcast(TimePoint now)
{
    m_nextHeartbeat = now + m_options.heartbeat;
    for (const auto& it : m_members) {
        if (it.id != identity()) {
            sendAppend(it, now);
        }
    }
}

void Raft::sendAppend(const ControlMemberRecord& to, TimePoint now)
{
    auto& progress = m_progress[to.id];
    AppendRequest ask;
    ask.sentAt = now.time_since_epoch();
    if (progress.next <= m_log.snapshot().index) {
        // An empty AppendRequest at index zero matches every log; it keeps the member from starting an election while it
        // waits for the snapshot.
        sendSnapshot(to, progress, now);
        send(to.address, to.id, std::move(ask));
        return;
    }
    ask.prevIndex = progress.next - 1;
    ask.prevTerm = m_log.termAt(ask.prevIndex);
    ask.commit = m_commit;
    ask.entries = m_log.slice(progress.next, config::raftMaxAppendEntries, config::raftMaxAppendBytes);
    progress.next += ask.entries.size();
    send(to.address, to.id, std::move(ask));
}

void Raft::advanceCommit(TimePoint now)
{
    std::vector<std::uint64_t> matches;
    for (const auto& it : m_members) {
        if (it.voter) {
            matches.push_back(it.id == identity() ? m_log.lastIndex() : m_progress[it.id].match);
        }
    }
    if (matches.empty()) {
        return;
    }
    std::ranges::sort(matches, std::greater());
    const auto needed = std::max(quorum(), std::min(m_options.minSyncedCopies, matches.size()));
    const auto index = matches[needed - 1];
    if (index <= m_commit || m_log.termAt(index) != term()) {
        return;
    }
    setCommit(index);
    broadcast(now);
    if (!isVoter(identity())) {
        becomeFollower(term(), 0, now);
    }
}

void Raft::setCommit(std::uint64_t index)
{
    m_commit = std::max(m_commit, std::min(index, m_log.lastIndex()));
}

void Raft::noteLeaderContact(const RaftMessage& message, TimePoint now)
{
    becomeFollower(term(), message.from, now);
    m_removed = false;
    m_lastLeaderContact = now;
    resetElectionTimer(now);
    if (m_members.empty() && cluster() != message.cluster) {
        m_vote.cluster = message.cluster;
        saveVote();
    }
}

bool Raft::acceptEntries(const AppendRequest& ask)
{
    const auto isKnown = [this](const LogEntry& entry) {
        return entry.index <= m_log.snapshot().index || m_log.termAt(entry.index) == entry.term;
    };
    const auto first = std::ranges::find_if_not(ask.entries, isKnown);
    if (first == ask.entries.end()) {
        return true;
    }
    assert(first->index > m_commit);
    const std::span newEntries(first, ask.entries.end());
    if (!m_storage.append(newEntries)) {
        halt();
        return false;
    }
    m_log.append(newEntries);
    refreshMembers();
    return true;
}

void Raft::handle(const PeerAddress& from, const RaftMessage& message, const AppendRequest& ask, TimePoint now)
{
    AppendReply reply { false, 0, ask.sentAt };
    if (message.term < term()) {
        send(from, message.from, reply);
        return;
    }
    noteLeaderContact(message, now);
    if (m_halted) {
        return;
    }
    const auto compacted = ask.prevIndex < m_log.snapshot().index;
    if (!compacted && (ask.prevIndex > m_log.lastIndex() || m_log.termAt(ask.prevIndex) != ask.prevTerm)) {
        auto hint = std::min(ask.prevIndex - 1, m_log.lastIndex());
        const auto conflicting = m_log.termAt(hint);
        while (hint > m_commit && m_log.termAt(hint) == conflicting && conflicting > ask.prevTerm) {
            --hint;
        }
        reply.match = hint;
        send(from, message.from, reply);
        return;
    }
    if (!acceptEntries(ask)) {
        return;
    }
    reply.accepted = true;
    reply.match = ask.prevIndex + ask.entries.size();
    setCommit(std::min(ask.commit, reply.match));
    send(from, message.from, reply);
}

void Raft::handle(const PeerAddress&, const RaftMessage& message, const AppendReply& reply, TimePoint now)
{
    const auto* sender = member(message.from);
    if (m_role != RaftRole::Leader || message.term != term() || !sender) {
        return;
    }
    auto& progress = m_progress[message.from];
    const TimePoint sentAt(reply.sentAt);
    if (sentAt <= now) {
        progress.acknowledged = std::max(progress.acknowledged.value_or(sentAt), sentAt);
    }
    if (!reply.accepted) {
        progress.next = std::clamp(reply.match + 1, progress.match + 1, m_log.lastIndex() + 1);
        sendAppend(*sender, now);
        return;
    }
    if (reply.match > progress.match && reply.match <= m_log.lastIndex()) {
        progress.match = reply.match;
        progress.next = std::max(progress.next, progress.match + 1);
        advanceCommit(now);
    }
    if (m_role == RaftRole::Leader && progress.next <= m_log.lastIndex() && progress.next > m_log.snapshot().index) {
        sendAppend(*sender, now);
    }
    tryLeadershipTransfer(now);
}

} // namespace pw
