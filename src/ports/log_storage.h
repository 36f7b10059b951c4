#pragma once

#include "core/fleet_image.h"
#include "ports/random.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace pw {

/// Kind of a log entry.
enum class EntryKind : std::uint8_t {
    Barrier, ///< No-op that a new leader appends first.
    Change, ///< Encoded Change.
    Members, ///< Membership from this entry on.
    Count
};

/// One entry of the replicated log.
struct LogEntry {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    EntryKind kind = EntryKind::Barrier;
    std::string data; ///< Set for EntryKind::Change.
    std::vector<ControlMemberRecord> members; ///< Set for EntryKind::Members.

    bool operator==(const LogEntry&) const = default;
};

/// Persistent identity, term and vote of a member.
struct VoteRecord {
    MemberId identity = 0; ///< Identity of this data folder.
    std::uint64_t cluster = 0; ///< Random id of the cluster; zero while the member belongs to none.
    std::uint64_t term = 0;
    MemberId votedFor = 0; ///< Candidate that got the vote in this term; zero if none.

    bool operator==(const VoteRecord&) const = default;
};

/// Snapshot of the state at an index; replaces the entries up to it.
struct LogSnapshot {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::vector<ControlMemberRecord> members;
    std::string data; ///< Encoded state.

    bool operator==(const LogSnapshot&) const = default;
};

/// Contents of a data folder.
struct StoredLog {
    VoteRecord vote;
    LogSnapshot snapshot; ///< Index zero if there is none.
    std::vector<LogEntry> entries; ///< Contiguous, from snapshot.index + 1.
    std::uint64_t tornBytes = 0; ///< Size of an incomplete write at the end that was discarded.
};

/// Port: the data folder of one control member. Each write returns only after it has been synced to disk.
/// After a failed write the storage rejects all further writes until open() has read the folder again, because the contents of
/// the disk are unknown.
class LogStorage {
public:
    virtual ~LogStorage() = default;

    /// Locks the folder for this process and reads it; an empty folder is given a new identity. May be called again after a
    /// failure: discards what a failed append() has left, and succeeds only if the disk takes writes again.
    /// \returns nothing when the folder is in use, damaged, unreadable or not writable; see lastReason().
    virtual std::optional<StoredLog> open(Random& random) = 0;

    /// Replaces the vote record.
    virtual bool saveVote(const VoteRecord& vote) = 0;

    /// Appends contiguous \p entries; replaces stored entries from the index of the first one on.
    virtual bool append(std::span<const LogEntry> entries) = 0;

    /// Stores \p snapshot and replaces all entries with \p remaining, which come after it.
    virtual bool saveSnapshot(const LogSnapshot& snapshot, std::span<const LogEntry> remaining) = 0;

    /// \returns whether the last failure may pass on its own, as that of a full disk does.
    virtual bool mayRecover() const = 0;

    /// \returns the reason why the last call failed.
    virtual const std::string& lastReason() const = 0;
};

} // namespace pw
