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

/// The claims that one control member holds in memory, each for the retention time.
class ClaimTable {
public:
    explicit ClaimTable(Duration retention);

    /// Claims the key of \p request for \p holder unless another round holds it.
    ClaimVote claim(const std::string& holder, const ClaimRequest& request, TimePoint now);

    /// Releases a key if the round of \p release by \p holder holds it. A repeated request of that round is not granted again.
    void release(const std::string& holder, const ClaimRelease& release, TimePoint now);

    /// Adds a claim that another replica holds. If different rounds hold a key at different replicas, any of them may have
    /// won, so the key stays taken until all of them are released.
    void restore(const ClaimRecord& record, TimePoint now);

    /// Adds claims to \p page, starting at its cursor and ending once it has \p maxRecords or more.
    /// \param filter tells which keys to include.
    void fillPage(ClaimRefillPage& page, std::size_t maxRecords, const std::function<bool(const ClaimKey&)>& filter, TimePoint now) const;

    /// Removes claims that are older than the retention time.
    void expire(TimePoint now);

    std::size_t size() const { return m_index.size(); }

private:
    struct Entry {
        ClaimKey key;
        std::uint64_t token = 0; ///< Round that holds the claim.
        TimePoint time;
        std::uint32_t holder = 0; ///< Index into m_addresses.
        bool released = false;
    };

    Entry* find(const ClaimKey& key);
    void releaseConflict(const std::string& holder, const ClaimRelease& release);
    void promoteConflict(Entry& entry);
    void replaceExpired(const ClaimKey& key);
    void add(const Entry& entry);
    std::uint32_t holderIndex(const std::string& address);

    Duration m_retention;
    std::uint64_t m_firstNumber = 0; ///< Number of the oldest entry; entries are numbered in order of arrival.
    std::deque<Entry> m_entries;
    std::unordered_map<ClaimKey, std::uint64_t> m_index; ///< Number of the entry in effect for each key.
    std::map<ClaimKey, std::vector<Entry>> m_conflicts; ///< Further restored claims on keys in m_index, held by other rounds.
    std::vector<std::string> m_addresses;
    std::map<std::string, std::uint32_t> m_addressIndex;
};

} // namespace pw
