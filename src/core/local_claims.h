#pragma once

#include "core/claims.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace pw {

/// Limits on the claims and answers that a daemon stores.
struct LocalClaimLimits {
    Duration retention {}; ///< Time from the start of its latest round after which a claim is evicted.
    std::size_t claims = 0;
    std::size_t answerBytes = 0;
};

/// The claims of this daemon with their stored answers, bounded in number, bytes and age. A claim that is evicted here
/// is still held by the control members: its state is then unknown, and its request is not run again.
class LocalClaims {
public:
    /// This daemon's claim on a key.
    struct Entry {
        ClaimKey key;
        std::uint64_t token = 0; ///< Latest round of claiming.
        ClaimState state = ClaimState::Claiming;
        TimePoint time; ///< Start of the latest round.
        std::vector<std::uint64_t> releasedTokens; ///< Earlier rounds that ended without running the request.
        StoredAnswer answer;
        std::size_t bytes = 0; ///< Size of the stored answer.
    };

    explicit LocalClaims(LocalClaimLimits limits);

    /// \returns the claim on \p key, or null.
    const Entry* find(const ClaimKey& key) const;

    /// Records the start of a round of claiming.
    void beginRound(const ClaimKey& key, std::uint64_t token, TimePoint now);

    /// Records that the latest round was won, so the request runs.
    void markRunning(const ClaimKey& key);

    /// Records that the latest round ended without running the request.
    void markReleased(const ClaimKey& key);

    /// Stores the answer of a request that may have run.
    void storeAnswer(const ClaimKey& key, StoredAnswer answer, TimePoint now);

    /// \returns whether the round \p token of \p key ended without running the request.
    bool isReleased(const ClaimKey& key, std::uint64_t token) const;

    /// \returns the state of the round \p token of \p key, with its stored answer if there is one.
    ClaimFetchReply fetchReply(const ClaimKey& key, std::uint64_t token) const;

    /// \returns the total size of the stored answers.
    std::size_t answerBytes() const { return m_answerBytes; }
    std::size_t size() const { return m_index.size(); }

private:
    using Entries = std::list<Entry>;

    void moveToBack(Entries::iterator it);
    bool exceedsLimits(const Entry& oldest, TimePoint now) const;
    void evict(TimePoint now);

    LocalClaimLimits m_limits;
    Entries m_entries; ///< Next to be evicted first.
    std::unordered_map<ClaimKey, Entries::iterator> m_index;
    std::size_t m_answerBytes = 0;
};

} // namespace pw
