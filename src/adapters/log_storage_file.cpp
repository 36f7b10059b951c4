#include "adapters/log_storage_file.h"

#include "adapters/checked_record.h"
#include "adapters/codec_control.h"
#include "adapters/synced_file.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <fcntl.h>
#include <sys/file.h>
#include <tuple>
#include <unistd.h>
#include <utility>

namespace pw {
namespace {

    constexpr int fileMode = 0600;

    /// \returns whether \p error may pass without an operator.
    bool isTransient(int error)
    {
        constexpr std::array transientErrors { ENOSPC, EDQUOT, EFBIG, EIO, ENOMEM, EMFILE, ENFILE };
        return std::ranges::find(transientErrors, error) != transientErrors.end();
    }

    /// \returns the base record of a log that follows \p snapshot.
    Bytes baseRecord(const LogSnapshot& snapshot)
    {
        return detail::toRecord(encodeSnapshot({ snapshot.index, snapshot.term, {}, {} }));
    }

    /// Replaces the entries from the first index of \p batch on. \returns false if the batch leaves a gap or is not contiguous.
    bool replaceFrom(std::vector<LogEntry>& entries, std::uint64_t base, const std::vector<LogEntry>& batch)
    {
        auto expected = batch.empty() ? 0 : batch.front().index;
        const auto contiguous = std::ranges::all_of(batch, [&expected](const auto& it) { return it.index == expected++; });
        if (batch.empty() || !contiguous || batch.front().index <= base || batch.front().index > base + entries.size() + 1) {
            return false;
        }
        entries.resize(batch.front().index - base - 1);
        entries.insert(entries.end(), batch.begin(), batch.end());
        return true;
    }

    /// Removes the entries after \p base that \p snapshot covers. \returns false if the log does not match the snapshot.
    bool followSnapshot(std::vector<LogEntry>& entries, const LogSnapshot& base, const LogSnapshot& snapshot)
    {
        if (base.index > snapshot.index || (base.index == snapshot.index && base.term != snapshot.term)) {
            return false;
        }
        const auto covered = snapshot.index - base.index;
        if (covered > entries.size() || (covered > 0 && entries[covered - 1].term != snapshot.term)) {
            entries.clear(); // The process stopped after storing the snapshot and before replacing the log.
            return true;
        }
        entries.erase(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(covered));
        return true;
    }

} // namespace

LogStorageFile::LogStorageFile(std::filesystem::path folder)
    : m_folder(std::move(folder))
{
}

LogStorageFile::~LogStorageFile()
{
    if (m_log >= 0) {
        ::close(m_log);
    }
    if (m_lock >= 0) {
        ::close(m_lock);
    }
}

std::optional<StoredLog> LogStorageFile::open(Random& random)
{
    StoredLog stored;
    m_failed = false;
    std::error_code ec;
    std::filesystem::create_directories(m_folder, ec);
    if (ec) {
        fail("", ec.value());
        return std::nullopt;
    }
    if (m_lock < 0 ? !lockFolder() : !prepareReopen()) {
        return std::nullopt;
    }
    const auto inUse = m_wasOpened || std::filesystem::exists(m_folder / "log", ec) || std::filesystem::exists(m_folder / "snapshot", ec);
    if (!readVote(stored, inUse, random)) {
        return std::nullopt;
    }
    if (m_wasOpened && !saveVote(stored.vote)) {
        return std::nullopt; // Unchanged content, written to learn whether the disk takes writes again.
    }
    if (!readSnapshot(stored) || !readLog(stored)) {
        return std::nullopt;
    }
    m_wasOpened = true;
    return stored;
}

/// Discards what a failed append() has left, and syncs the names of files that were replaced before a failure.
bool LogStorageFile::prepareReopen()
{
    if (m_log >= 0) {
        ::close(std::exchange(m_log, -1));
    }
    std::error_code ec;
    const auto path = m_folder / "log";
    if (m_syncedLogBytes && std::filesystem::file_size(path, ec) > *m_syncedLogBytes && !ec) {
        std::filesystem::resize_file(path, *m_syncedLogBytes, ec);
    }
    if (ec) {
        return fail("log", ec.value());
    }
    return detail::syncFolder(m_folder) || fail("");
}

bool LogStorageFile::lockFolder()
{
    const auto path = m_folder / "lock";
    m_lock = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, fileMode);
    if (m_lock < 0) {
        return fail("lock");
    }
    if (::flock(m_lock, LOCK_EX | LOCK_NB) != 0) {
        ::close(std::exchange(m_lock, -1));
        return refuse(m_folder.string() + ": another process uses this data folder");
    }
    return true;
}

bool LogStorageFile::readVote(StoredLog& stored, bool folderInUse, Random& random)
{
    const auto path = m_folder / "vote";
    const auto bytes = detail::readFile(path);
    if (!bytes && errno != ENOENT) {
        return fail("vote");
    }
    if (!bytes && folderInUse) {
        return refuse(path.string() + ": missing although the folder holds a log; empty the folder to start as a new member");
    }
    if (!bytes) {
        stored.vote.identity = std::max<std::uint64_t>(random(), 1);
        return saveVote(stored.vote);
    }
    const auto payload = detail::firstRecord(*bytes);
    const auto vote = payload ? decodeVoteRecord(*payload) : std::nullopt;
    if (!vote || vote->identity == 0) {
        return refuse(path.string() + ": damaged; empty the folder to start as a new member");
    }
    stored.vote = *vote;
    return true;
}

bool LogStorageFile::readSnapshot(StoredLog& stored)
{
    const auto path = m_folder / "snapshot";
    const auto bytes = detail::readFile(path);
    if (!bytes) {
        return errno == ENOENT || fail("snapshot");
    }
    const auto payload = detail::firstRecord(*bytes);
    auto snapshot = payload ? decodeSnapshot(*payload) : std::nullopt;
    if (!snapshot) {
        return refuse(path.string() + ": damaged; empty the folder to start as a new member");
    }
    stored.snapshot = std::move(*snapshot);
    return true;
}

bool LogStorageFile::readLog(StoredLog& stored)
{
    const auto path = m_folder / "log";
    const auto bytes = detail::readFile(path);
    if (!bytes && errno != ENOENT) {
        return fail("log");
    }
    const auto wasUsed = stored.snapshot.index > 0 || stored.vote.term > 0 || stored.vote.cluster > 0;
    if (!bytes && wasUsed) {
        return refuse(path.string() + ": missing although this member was in use; empty the folder to start as a new member");
    }
    if (!bytes) {
        return replaceLog({}, {});
    }
    const auto scan = detail::scanRecords(*bytes);
    const auto base = scan.payloads.empty() ? std::nullopt : decodeSnapshot(scan.payloads.front());
    const auto append = [&](std::span<const std::byte> payload) {
        const auto batch = decodeEntries(payload);
        return batch && replaceFrom(stored.entries, base->index, *batch);
    };
    const auto valid = base && !scan.corrupt && std::all_of(scan.payloads.begin() + 1, scan.payloads.end(), append);
    if (!valid || !followSnapshot(stored.entries, *base, stored.snapshot)) {
        return refuse(path.string() + ": damaged at byte " + std::to_string(scan.validBytes)
            + "; empty the folder to start as a new member");
    }
    stored.tornBytes = bytes->size() - scan.validBytes;
    if (base->index < stored.snapshot.index) {
        return replaceLog(stored.snapshot, stored.entries);
    }
    return openLog(scan.validBytes);
}

bool LogStorageFile::replaceLog(const LogSnapshot& base, std::span<const LogEntry> entries)
{
    auto bytes = baseRecord(base);
    if (!entries.empty()) {
        const auto record = detail::toRecord(encodeEntries(entries));
        bytes.insert(bytes.end(), record.begin(), record.end());
    }
    m_syncedLogBytes.reset();
    return detail::replaceFile(m_folder / "log", bytes) ? openLog(bytes.size()) : fail("log");
}

bool LogStorageFile::openLog(std::uint64_t keptBytes)
{
    if (m_log >= 0) {
        ::close(m_log);
    }
    m_log = ::open((m_folder / "log").c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
    if (m_log < 0 || ::ftruncate(m_log, static_cast<off_t>(keptBytes)) != 0 || ::fsync(m_log) != 0) {
        return fail("log");
    }
    m_syncedLogBytes = keptBytes;
    return true;
}

bool LogStorageFile::saveVote(const VoteRecord& vote)
{
    if (m_failed) {
        return false;
    }
    return detail::replaceFile(m_folder / "vote", detail::toRecord(encodeVoteRecord(vote))) || fail("vote");
}

bool LogStorageFile::append(std::span<const LogEntry> entries)
{
    if (m_failed) {
        return false;
    }
    const auto record = detail::toRecord(encodeEntries(entries));
    if (!detail::writeSynced(m_log, record)) {
        fail("log");
        // Best effort: a process that is killed before open() is called again should not find the record either.
        std::ignore = ::ftruncate(m_log, static_cast<off_t>(*m_syncedLogBytes));
        return false;
    }
    *m_syncedLogBytes += record.size();
    return true;
}

bool LogStorageFile::saveSnapshot(const LogSnapshot& snapshot, std::span<const LogEntry> remaining)
{
    if (m_failed) {
        return false;
    }
    if (!detail::replaceFile(m_folder / "snapshot", detail::toRecord(encodeSnapshot(snapshot)))) {
        return fail("snapshot");
    }
    return replaceLog(snapshot, remaining);
}

bool LogStorageFile::refuse(std::string reason)
{
    m_failed = true;
    m_mayRecover = false;
    m_reason = std::move(reason);
    return false;
}

bool LogStorageFile::fail(const std::string& what, int error)
{
    refuse((m_folder / what).string() + ": " + std::strerror(error));
    m_mayRecover = isTransient(error);
    return false;
}

} // namespace pw
