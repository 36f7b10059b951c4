#pragma once

#include "ports/log_storage.h"

namespace pw {

/// Entries of one member since its snapshot, in memory.
class RaftLog {
public:
    explicit RaftLog(const StoredLog& stored);

    std::uint64_t lastIndex() const { return m_snapshot.index + m_entries.size(); }
    std::uint64_t lastTerm() const { return termAt(lastIndex()); }
    const LogSnapshot& snapshot() const { return m_snapshot; }

    /// \returns the term of the entry at \p index, which is held or is the snapshot's last; zero otherwise.
    std::uint64_t termAt(std::uint64_t index) const;

    /// \returns the entry at \p index, which must be held.
    const LogEntry& at(std::uint64_t index) const;

    /// \returns held entries from \p first on, limited to \p maxCount and to about \p maxBytes.
    std::vector<LogEntry> slice(std::uint64_t first, std::size_t maxCount, std::size_t maxBytes) const;

    /// Appends \p entries in place of those from the first one's index on.
    void append(std::span<const LogEntry> entries);

    /// Replaces everything up to the snapshot's index; keeps later entries only when they follow it.
    void restore(const LogSnapshot& snapshot);

    /// \returns the entries after \p index.
    std::span<const LogEntry> after(std::uint64_t index) const;

    /// \returns the members in force at \p index, which is not below the snapshot's.
    const std::vector<ControlMemberRecord>& membersAt(std::uint64_t index) const;

    /// \returns whether a change has been made up to \p index. A snapshot is only made of changes.
    bool holdsChange(std::uint64_t index) const;

    /// \returns the index of the last entry that changed the members; the snapshot's when none is held.
    std::uint64_t lastMembersIndex() const;

private:
    LogSnapshot m_snapshot;
    std::vector<LogEntry> m_entries;
};

} // namespace pw
