#include "core/raft.h"

#include <algorithm>
#include <cassert>

namespace pw {

bool Raft::bootstrap(TimePoint now)
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
    const ControlMemberRecord self { identity(), m_name, m_address, true, m_options.failureDomain };
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

bool Raft::addLearner(ControlMemberRecord newcomer, TimePoint now)
{
    if (member(newcomer.id)) {
        return true;
    }
    auto next = m_members;
    std::erase_if(next, [&](const auto& it) {
        return !it.voter && (it.name == newcomer.name || it.address == newcomer.address) && !isResponsive(it.id, now);
    });
    newcomer.voter = false;
    next.push_back(std::move(newcomer));
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
    if (m_halted || m_leadershipTransferPending || !leading(now) || m_log.lastMembersIndex() > m_commit) {
        return false;
    }
    const auto voters = std::ranges::count_if(next, &ControlMemberRecord::voter);
    const auto healthy = std::ranges::count_if(next, [&](const auto& it) { return it.voter && isResponsive(it.id, now); });
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
    return appendToOwnLog({ index, term(), EntryKind::Members, {}, std::move(next) }, now);
}

bool Raft::isResponsive(MemberId id, TimePoint now) const
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
    return isResponsive(id, now) && it != m_progress.end() && it->second.match >= m_commit;
}

std::size_t Raft::voterCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_members, &ControlMemberRecord::voter));
}

bool Raft::isReadyLearner(const ControlMemberRecord& it, TimePoint now) const
{
    return !it.voter && caughtUp(it.id, now);
}

void Raft::reconcileMembers(TimePoint now)
{
    if (removeFailedVoter(now) || promoteLearner(now)) {
        return; // One membership change at a time.
    }
    removeUnresponsiveLearners(now);
}

/// \returns whether \p voter counts as permanently failed: a caught-up learner with its name or address has replaced it, or
/// it has been unresponsive for RaftOptions::voterTimeout and any caught-up learner is available.
bool Raft::hasFailed(const ControlMemberRecord& voter, TimePoint now) const
{
    if (voter.id == identity() || isResponsive(voter.id, now)) {
        return false;
    }
    const auto isReplacement = [&](const ControlMemberRecord& it) {
        return (it.address == voter.address || it.name == voter.name) && isReadyLearner(it, now);
    };
    const auto isReady = [&](const ControlMemberRecord& it) { return isReadyLearner(it, now); };
    const auto progress = m_progress.find(voter.id);
    const auto lastAcknowledged = progress == m_progress.end() ? m_electedAt : progress->second.acknowledged.value_or(m_electedAt);
    const auto unresponsive = now >= std::max(lastAcknowledged, m_electedAt) + m_options.voterTimeout;
    return std::ranges::any_of(m_members, isReplacement) || (unresponsive && std::ranges::any_of(m_members, isReady));
}

/// Removes the failed voter in a change of its own, before a learner is promoted, so that every quorum before overlaps with
/// every quorum after.
bool Raft::removeFailedVoter(TimePoint now)
{
    const auto failed = [&](const ControlMemberRecord& it) { return it.voter && hasFailed(it, now); };
    auto next = m_members;
    const auto it = std::ranges::find_if(next, failed);
    if (it == next.end()) {
        return false;
    }
    next.erase(it);
    return proposeMembers(std::move(next), now);
}

bool Raft::promoteLearner(TimePoint now)
{
    if (voterCount() >= m_options.voters) {
        return false;
    }
    auto next = m_members;
    // A voter that is being replaced at the same address must be removed first.
    const auto replaces = [&](const ControlMemberRecord& learner) {
        return std::ranges::any_of(m_members, [&](const ControlMemberRecord& it) { return it.voter && it.address == learner.address; });
    };
    const auto it = std::ranges::find_if(next, [&](const ControlMemberRecord& it) { return isReadyLearner(it, now) && !replaces(it); });
    if (it == next.end()) {
        return false;
    }
    it->voter = true;
    return proposeMembers(std::move(next), now);
}

void Raft::removeUnresponsiveLearners(TimePoint now)
{
    const auto unresponsive = [&](const ControlMemberRecord& it) {
        const auto progress = m_progress.find(it.id);
        const auto lastAcknowledged = progress == m_progress.end() ? m_electedAt : progress->second.acknowledged.value_or(m_electedAt);
        return !it.voter && now >= std::max(lastAcknowledged, m_electedAt) + m_options.learnerTimeout;
    };
    auto next = m_members;
    if (std::erase_if(next, unresponsive) > 0) {
        proposeMembers(std::move(next), now);
    }
}

} // namespace pw
