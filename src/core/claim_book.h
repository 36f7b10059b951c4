#pragma once

#include "core/claims.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace pw {

/// Bounds of what a daemon remembers of its own claims.
struct ClaimBookLimits {
    Duration retention {};
    std::size_t claims = 0;
    std::size_t answerBytes = 0;
};

/// One daemon's own claims with their answers, bounded in number, bytes and time. What is forgotten here is still
/// claimed at the control members, so it is answered as unknown and never run again.
class ClaimBook {
public:
    /// This daemon's claim of a key.
    struct Page {
        ClaimKey key;
        std::uint64_t token = 0; ///< Of the latest round.
        ClaimState state = ClaimState::Claiming;
        TimePoint time;
        std::vector<std::uint64_t> releasedTokens; ///< Rounds under which nothing was run.
        KeptAnswer answer;
        std::size_t bytes = 0; ///< Size of the answer.
    };

    explicit ClaimBook(ClaimBookLimits limits);

    /// \returns the claim of \p key, or null.
    const Page* find(const ClaimKey& key) const;

    /// Notes that a round of claiming begins.
    void begin(const ClaimKey& key, std::uint64_t token, TimePoint now);

    /// Notes that the round was won.
    void won(const ClaimKey& key);

    /// Notes that nothing was run under the latest round.
    void release(const ClaimKey& key);

    /// Keeps the answer of a request that may have run.
    void answered(const ClaimKey& key, KeptAnswer answer, TimePoint now);

    /// \returns whether nothing was run under the round \p token of \p key.
    bool isReleased(const ClaimKey& key, std::uint64_t token) const;

    /// \returns what is known of the round \p token of \p key.
    ClaimFetched fetch(const ClaimKey& key, std::uint64_t token) const;

    /// \returns bytes of kept answers.
    std::size_t answerBytes() const { return m_answerBytes; }
    std::size_t size() const { return m_index.size(); }

private:
    using Pages = std::list<Page>;

    void touch(Pages::iterator it);
    bool overfull(const Page& oldest, TimePoint now) const;
    void trim(TimePoint now);

    ClaimBookLimits m_limits;
    Pages m_pages; ///< Oldest first.
    std::unordered_map<ClaimKey, Pages::iterator> m_index;
    std::size_t m_answerBytes = 0;
};

} // namespace pw
