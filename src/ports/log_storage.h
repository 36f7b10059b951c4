#pragma once

#include "core/fleet_image.h"
#include "ports/random.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace pw {

/// What a log entry holds.
enum class EntryKind : std::uint8_t {
    Barrier, ///< Nothing: a new leader's first entry.
    Change, ///< An encoded change.
    Members, ///< The control members from here on.
    Count
};

/// One entry of the replicated log.
struct LogEntry {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    EntryKind kind = EntryKind::Barrier;
    std::string data; ///< For EntryKind::Change.
    std::vector<ControlMemberRecord> members; ///< For EntryKind::Members.

    bool operator==(const LogEntry&) const = default;
};

/// Who a member is and what it promised.
struct VoteRecord {
    MemberId identity = 0; ///< Of this data folder.
    std::uint64_t cluster = 0; ///< Random id of the cluster; zero before the member belongs to one.
    std::uint64_t term = 0;
    MemberId votedFor = 0; ///< In term; zero for nobody.

    bool operator==(const VoteRecord&) const = default;
};

/// The state up to one index, which replaces the entries before it.
struct LogSnapshot {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::vector<ControlMemberRecord> members;
    std::string data; ///< Encoded state.

    bool operator==(const LogSnapshot&) const = default;
};

/// All that a data folder holds.
struct StoredLog {
    VoteRecord vote;
    LogSnapshot snapshot; ///< Index zero: none.
    std::vector<LogEntry> entries; ///< Contiguous, from snapshot.index + 1.
    std::uint64_t tornBytes = 0; ///< Of an unfinished write at the end that were dropped.
};

/// Port: the data folder of one control member. Each write returns after it is synced.
/// After a failed write the storage refuses all others: nobody knows what is on the disk.
class LogStorage {
public:
    virtual ~LogStorage() = default;

    /// Opens the folder for this process alone and reads it; an empty folder gets a new identity.
    /// \returns nothing when it is in use, damaged or unreadable; see lastReason().
    virtual std::optional<StoredLog> open(Random& random) = 0;

    /// Replaces the vote record.
    virtual bool saveVote(const VoteRecord& vote) = 0;

    /// Appends \p entries, contiguous; stored entries from the first one's index on are replaced.
    virtual bool append(std::span<const LogEntry> entries) = 0;

    /// Stores \p snapshot and replaces the entries by \p remaining, which follow it.
    virtual bool saveSnapshot(const LogSnapshot& snapshot, std::span<const LogEntry> remaining) = 0;

    /// \returns why the last call failed.
    virtual const std::string& lastReason() const = 0;
};

} // namespace pw
