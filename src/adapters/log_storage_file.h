#pragma once

#include "ports/log_storage.h"

#include <cerrno>
#include <filesystem>

namespace pw {

/// Raft log storage of a control member in a data folder on disk.
///
/// Files: "lock" (held while open), "vote" and "snapshot" (one checksummed record each, replaced atomically), "log" (a base
/// record, then one record per append). A record is a header and a Cap'n Proto message, both checksummed. Each append is
/// synced before the next one starts, so a crash can only leave the last record incomplete; such a record is discarded.
/// Any other checksum mismatch is corruption, and open() fails. A record whose append() failed is cut off, even if it is whole:
/// after a failed sync, the page cache may hold what the disk does not.
class LogStorageFile final : public LogStorage {
public:
    explicit LogStorageFile(std::filesystem::path folder);
    ~LogStorageFile() override;

    LogStorageFile(const LogStorageFile&) = delete;
    LogStorageFile& operator=(const LogStorageFile&) = delete;

    std::optional<StoredLog> open(Random& random) override;
    bool saveVote(const VoteRecord& vote) override;
    bool append(std::span<const LogEntry> entries) override;
    bool saveSnapshot(const LogSnapshot& snapshot, std::span<const LogEntry> remaining) override;
    bool mayRecover() const override { return m_mayRecover; }
    const std::string& lastReason() const override { return m_reason; }

private:
    bool lockFolder();
    bool prepareReopen();
    bool readVote(StoredLog& stored, bool folderInUse, Random& random);
    bool readSnapshot(StoredLog& stored);
    bool readLog(StoredLog& stored);
    bool replaceLog(const LogSnapshot& base, std::span<const LogEntry> entries);
    bool openLog(std::uint64_t keptBytes);
    bool refuse(std::string reason);
    bool fail(const std::string& what, int error = errno);

    std::filesystem::path m_folder;
    std::string m_reason;
    bool m_failed = false;
    bool m_mayRecover = false;
    bool m_wasOpened = false;
    std::optional<std::uint64_t> m_syncedLogBytes; ///< Size of the log after its latest successful write; nothing while it is replaced.
    int m_lock = -1;
    int m_log = -1;
};

} // namespace pw
