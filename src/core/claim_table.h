#pragma once

#include "core/claims.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace pw {

/// Claimed keys of one control member, in memory, each for the retention time.
class ClaimTable {
public:
    explicit ClaimTable(Duration retention);

    /// Claims \p request for \p holder unless another round holds the key.
    ClaimVote claim(const std::string& holder, const ClaimRequest& request, TimePoint now);

    /// Frees a key if the round of \p release, by \p holder, holds it; a repeated claim of that round is no longer granted.
    void release(const std::string& holder, const ClaimRelease& release, TimePoint now);

    /// Adds a claim that another replica holds. When different rounds hold a key at different replicas, any of them may
    /// be the one that won; the key stays taken until all of them are released.
    void restore(const ClaimRecord& record, TimePoint now);

    /// Fills \p page with claims from its cursor on.
    /// \param wanted tells which keys to include.
    void fillPage(ClaimRefillPage& page, std::size_t most, const std::function<bool(const ClaimKey&)>& wanted, TimePoint now) const;

    /// Forgets claims older than the retention time.
    void expire(TimePoint now);

    std::size_t size() const { return m_index.size(); }

private:
    struct Entry {
        ClaimKey key;
        std::uint64_t token = 0;
        TimePoint time;
        std::uint32_t holder = 0; ///< Index into the addresses.
        bool released = false;
    };

    Entry* find(const ClaimKey& key);
    void releaseRival(const std::string& holder, const ClaimRelease& release);
    void promoteRival(Entry& entry);
    void keepRivals(const ClaimKey& key);
    void add(const Entry& entry);
    std::uint32_t holderIndex(const std::string& address);

    Duration m_retention;
    std::uint64_t m_first = 0; ///< Number of the oldest entry; they are numbered as they come.
    std::deque<Entry> m_entries;
    std::unordered_map<ClaimKey, std::uint64_t> m_index; ///< Number of the entry that counts for a key.
    std::map<ClaimKey, std::vector<Entry>> m_rivals; ///< Restored claims of keys that another round holds here.
    std::vector<std::string> m_addresses;
    std::map<std::string, std::uint32_t> m_addressIndex;
};

} // namespace pw
