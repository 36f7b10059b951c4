#pragma once

#include "core/claims.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace pw {

/// Outcome of a round of claiming, as far as the votes tell.
enum class ClaimRoundState : std::uint8_t {
    Pending,
    Won, ///< A majority of the replicas granted the key.
    Taken, ///< Cannot be won; another round holds the key at a replica.
    Unavailable, ///< Cannot be won; no other round was seen.
    Count
};

/// One round of claiming a key: counts the votes of the replicas.
class ClaimRound {
public:
    /// \param replicas addresses of the members that vote on the key.
    ClaimRound(ClaimKey key, std::uint64_t token, std::vector<std::string> replicas, TimePoint start);

    /// Counts the vote of \p from; votes of other rounds or of strangers, and second votes, do not count.
    void vote(const std::string& from, const ClaimVote& vote);

    /// \returns the outcome; after \p limit a round that is not won cannot be any more.
    ClaimRoundState state(TimePoint now, Duration limit) const;

    /// \returns the replicas that have not voted.
    std::vector<std::string> silent() const;

    /// \returns the round that holds the key at most replicas; only after ClaimRoundState::Taken.
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
