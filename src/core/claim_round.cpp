#include "core/claim_round.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace pw {

ClaimRound::ClaimRound(ClaimKey key, std::uint64_t token, std::vector<std::string> replicas, TimePoint start)
    : m_key(key)
    , m_token(token)
    , m_replicas(std::move(replicas))
    , m_start(start)
{
}

void ClaimRound::vote(const std::string& from, const ClaimVote& vote)
{
    const bool isReplica = std::ranges::find(m_replicas, from) != m_replicas.end();
    if (isReplica && vote.key == m_key && vote.token == m_token) {
        m_votes.try_emplace(from, vote);
    }
}

std::size_t ClaimRound::count(ClaimVoteKind kind) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_votes, [kind](const auto& entry) { return entry.second.kind == kind; }));
}

ClaimRoundState ClaimRound::state(TimePoint now, Duration limit) const
{
    const auto majority = m_replicas.size() / 2 + 1;
    const auto granted = count(ClaimVoteKind::Granted);
    const bool expired = now - m_start >= limit;
    if (granted >= majority && !expired) {
        return ClaimRoundState::Won;
    }
    const auto missing = m_replicas.size() - m_votes.size();
    if (granted + missing >= majority && !expired) {
        return ClaimRoundState::Pending;
    }
    return count(ClaimVoteKind::Taken) ? ClaimRoundState::Taken : ClaimRoundState::Unavailable;
}

std::vector<std::string> ClaimRound::unansweredReplicas() const
{
    std::vector<std::string> result;
    std::ranges::copy_if(m_replicas, std::back_inserter(result), [this](const auto& replica) { return !m_votes.contains(replica); });
    return result;
}

const ClaimVote& ClaimRound::holder() const
{
    const auto votesFor = [this](std::uint64_t token) {
        return std::ranges::count_if(m_votes, [token](const auto& entry) {
            return entry.second.kind == ClaimVoteKind::Taken && entry.second.holderToken == token;
        });
    };
    const auto best = std::ranges::max_element(m_votes, {}, [&votesFor](const auto& entry) {
        return entry.second.kind == ClaimVoteKind::Taken ? votesFor(entry.second.holderToken) : 0;
    });
    assert(best != m_votes.end());
    return best->second;
}

} // namespace pw
