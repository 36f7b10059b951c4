#pragma once

#include "core/claims.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace pw {

/// State of a round of claiming, judged by the votes received.
enum class ClaimRoundState : std::uint8_t {
    Pending, ///< More votes are needed.
    Won, ///< A majority of the replicas granted the claim.
    Taken, ///< Cannot be won; another round holds the claim at one replica at least.
    Unavailable, ///< Cannot be won; no replica reported another round.
    Count
};

/// One round of claiming a key: counts the votes of its replicas.
class ClaimRound {
public:
    /// \param replicas addresses of the members that vote on the key.
    ClaimRound(ClaimKey key, std::uint64_t token, std::vector<std::string> replicas, TimePoint start);

    /// Counts the vote of \p from. Ignores votes of other rounds, votes of members that are no replica of the key, and
    /// further votes of the same member.
    void vote(const std::string& from, const ClaimVote& vote);

    /// \returns the state at \p now; a round can be won only within \p limit after its start.
    ClaimRoundState state(TimePoint now, Duration limit) const;

    /// \returns the replicas that have not voted yet.
    std::vector<std::string> unansweredReplicas() const;

    /// \returns the vote for the round that holds the claim at most replicas; valid only in ClaimRoundState::Taken.
    const ClaimVote& holder() const;

    const ClaimKey& key() const { return m_key; }
    std::uint64_t token() const { return m_token; }
    const std::vector<std::string>& replicas() const { return m_replicas; }

private:
    std::size_t count(ClaimVoteKind kind) const;

    ClaimKey m_key;
    std::uint64_t m_token;
    std::vector<std::string> m_replicas;
    TimePoint m_start;
    std::map<std::string, ClaimVote> m_votes;
};

} // namespace pw
