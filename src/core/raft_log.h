#pragma once

#include "ports/log_storage.h"

namespace pw {

/// In-memory copy of a member's snapshot and of the log entries after it.
class RaftLog {
public:
    explicit RaftLog(const StoredLog& stored);

    std::uint64_t lastIndex() const { return m_snapshot.index + m_entries.size(); }
    std::uint64_t lastTerm() const { return termAt(lastIndex()); }
    const LogSnapshot& snapshot() const { return m_snapshot; }

    /// \returns the term of the entry at \p index, or zero when the log does not hold it. The last index covered by the
    /// snapshot counts as held.
    std::uint64_t termAt(std::uint64_t index) const;

    /// \returns the entry at \p index, which must be in the log.
    const LogEntry& at(std::uint64_t index) const;

    /// \returns the entries from \p first on, at most \p maxCount; stops after the entry that reaches \p maxBytes.
    std::vector<LogEntry> slice(std::uint64_t first, std::size_t maxCount, std::size_t maxBytes) const;

    /// Truncates the log before the index of the first of \p entries, then appends them.
    void append(std::span<const LogEntry> entries);

    /// Installs \p snapshot; keeps the entries after its index only if the log matches the snapshot's term there.
    void restore(const LogSnapshot& snapshot);

    /// \returns the entries after \p index.
    std::span<const LogEntry> after(std::uint64_t index) const;

    /// \returns the membership as of \p index, which must not be below the snapshot's index.
    const std::vector<ControlMemberRecord>& membersAt(std::uint64_t index) const;

    /// \returns whether the log contains a change up to \p index; true if there is a snapshot, as one implies changes.
    bool containsChange(std::uint64_t index) const;

    /// \returns the index of the last membership entry, or the snapshot's index when the log holds none.
    std::uint64_t lastMembersIndex() const;

private:
    LogSnapshot m_snapshot;
    std::vector<LogEntry> m_entries;
};

} // namespace pw
