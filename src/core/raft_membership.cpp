#include "core/raft.h"

#include <algorithm>
#include <cassert>

namespace pw {

bool Raft::found(TimePoint now)
{
    if (m_halted || !m_members.empty()) {
        return false;
    }
    assert(m_log.lastIndex() == 0);
    m_vote.cluster = std::max<std::uint64_t>(m_random(), 1);
    m_vote.term = std::max<std::uint64_t>(term(), 1);
    if (!saveVote()) {
        return false;
    }
    const ControlMemberRecord self { identity(), m_name, m_address, true };
    const std::vector entries { LogEntry { 1, term(), EntryKind::Members, {}, { self } } };
    if (!m_storage.append(entries)) {
        halt();
        return false;
    }
    m_log.append(entries);
    refreshMembers();
    startElection(true, false, now);
    return !m_halted;
}

bool Raft::addLearner(MemberId id, const std::string& name, const PeerAddress& address, TimePoint now)
{
    if (member(id)) {
        return true;
    }
    auto next = m_members;
    std::erase_if(next, [&](const auto& it) { return !it.voter && it.name == name && !recentlyHeard(it.id, now); });
    next.push_back({ id, name, address, false });
    return next.size() <= config::maxControlMembers && proposeMembers(std::move(next), now);
}

bool Raft::removeMember(const std::string& name, TimePoint now)
{
    if (name == m_name) {
        return false;
    }
    auto next = m_members;
    const auto removedCount = std::erase_if(next, [&](const auto& it) { return it.name == name; });
    return removedCount > 0 && proposeMembers(std::move(next), now);
}

bool Raft::mayChangeMembers(const std::vector<ControlMemberRecord>& next, TimePoint now) const
{
    if (m_halted || m_handingOver || !leading(now) || m_log.lastMembersIndex() > m_commit) {
        return false;
    }
    const auto voters = std::ranges::count_if(next, &ControlMemberRecord::voter);
    const auto healthy = std::ranges::count_if(next, [&](const auto& it) { return it.voter && recentlyHeard(it.id, now); });
    return healthy >= voters / 2 + 1;
}

bool Raft::proposeMembers(std::vector<ControlMemberRecord> next, TimePoint now)
{
    if (!mayChangeMembers(next, now)) {
        return false;
    }
    const auto index = m_log.lastIndex() + 1;
    for (const auto& it : next) {
        m_progress.try_emplace(it.id, Progress { 0, index, std::nullopt, std::nullopt });
    }
    return appendOwn({ index, term(), EntryKind::Members, {}, std::move(next) }, now);
}

bool Raft::recentlyHeard(MemberId id, TimePoint now) const
{
    if (id == identity()) {
        return true;
    }
    const auto it = m_progress.find(id);
    return it != m_progress.end() && it->second.acknowledged && now < *it->second.acknowledged + m_options.electionTimeout;
}

bool Raft::caughtUp(MemberId id, TimePoint now) const
{
    const auto it = m_progress.find(id);
    return recentlyHeard(id, now) && it != m_progress.end() && it->second.match >= m_commit;
}

void Raft::settleLearners(TimePoint now)
{
    for (const auto& it : m_members) {
        if (!it.voter && caughtUp(it.id, now) && settleLearner(it, now)) {
            return; // m_members has changed.
        }
    }
}

bool Raft::settleLearner(const ControlMemberRecord& learner, TimePoint now)
{
    auto next = m_members;
    const auto replaced = std::ranges::find_if(next, [&](const auto& it) { return it.voter && it.name == learner.name; });
    if (replaced != next.end()) {
        if (recentlyHeard(replaced->id, now)) {
            return false;
        }
        // The silent voter goes first and alone, so that any quorum before overlaps with any after.
        next.erase(replaced);
        return proposeMembers(std::move(next), now);
    }
    const auto voters = static_cast<std::size_t>(std::ranges::count_if(next, &ControlMemberRecord::voter));
    if (voters >= m_options.voters) {
        return false;
    }
    std::ranges::find(next, learner.id, &ControlMemberRecord::id)->voter = true;
    return proposeMembers(std::move(next), now);
}

} // namespace pw
