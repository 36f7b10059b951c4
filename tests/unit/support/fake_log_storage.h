#pragma once

#include "ports/log_storage.h"

#include <algorithm>
#include <deque>

namespace pw::test {

/// Thrown by a fake storage where a process would die in the middle of a write.
struct SimulatedCrash { };

/// A disk that outlives the processes that use it.
struct FakeDisk {
    StoredLog held; ///< What a restart finds.
    StoredLog written; ///< Held and what is not synced yet; differs only on a disk that lies.
    std::deque<StoredLog> unsynced; ///< States between the two.
    int crashIn = -1; ///< Dies at this write; below zero: never.
    bool keepsLastWrite = false; ///< Whether the write at which it dies is on the disk.
    bool full = false; ///< Writes fail.
    std::size_t lostWrites = 0; ///< So many writes that were said to be synced are lost by a crash.

    void crash()
    {
        written = held;
        unsynced.clear();
    }

    /// Makes the oldest writes last.
    void sync()
    {
        unsynced.push_back(written);
        while (unsynced.size() > lostWrites) {
            held = std::move(unsynced.front());
            unsynced.pop_front();
        }
    }

    void wipe() { *this = {}; }
};

/// Storage on a fake disk. Every write is synced when it returns, unless the disk lies.
class FakeLogStorage : public LogStorage {
public:
    explicit FakeLogStorage(FakeDisk& disk)
        : m_disk(disk)
    {
    }

    std::optional<StoredLog> open(Random& random) override
    {
        m_disk.crash();
        if (m_disk.held.vote.identity == 0) {
            m_disk.held.vote.identity = std::max<std::uint64_t>(random(), 1);
            m_disk.crash();
        }
        return m_disk.held;
    }

    bool saveVote(const VoteRecord& vote) override
    {
        return write([&](StoredLog& log) { log.vote = vote; });
    }

    bool append(std::span<const LogEntry> entries) override
    {
        return write([&](StoredLog& log) {
            log.entries.resize(entries.front().index - log.snapshot.index - 1);
            log.entries.insert(log.entries.end(), entries.begin(), entries.end());
        });
    }

    bool saveSnapshot(const LogSnapshot& snapshot, std::span<const LogEntry> remaining) override
    {
        return write([&](StoredLog& log) {
            log.snapshot = snapshot;
            log.entries.assign(remaining.begin(), remaining.end());
        });
    }

    const std::string& lastReason() const override { return m_reason; }

private:
    template <typename Change>
    bool write(Change&& change)
    {
        if (m_disk.full) {
            m_reason = "No space left on device";
            return false;
        }
        const auto dies = m_disk.crashIn == 0;
        m_disk.crashIn = std::max(m_disk.crashIn - 1, -1);
        if (dies && !m_disk.keepsLastWrite) {
            throw SimulatedCrash {};
        }
        change(m_disk.written);
        m_disk.sync();
        if (dies) {
            throw SimulatedCrash {};
        }
        return true;
    }

    FakeDisk& m_disk;
    std::string m_reason;
};

} // namespace pw::test
