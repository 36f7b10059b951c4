#pragma once

#include "ports/log_storage.h"

#include <algorithm>
#include <deque>

namespace pw::test {

/// Thrown by FakeLogStorage to simulate a crash of the process during a write.
struct SimulatedCrash { };

/// Simulated disk, which outlives the simulated processes.
struct FakeDisk {
    StoredLog durable; ///< Durable contents, as found after a restart.
    StoredLog written; ///< Contents including writes that are not durable yet; differs from durable only if lostWrites is set.
    std::deque<StoredLog> unsynced; ///< Contents after each write that is not durable yet, oldest first.
    int writesUntilCrash = -1; ///< Number of writes before the one that crashes; negative for none.
    bool keepsCrashingWrite = false; ///< Whether the write that crashes is durable.
    bool full = false; ///< All writes fail.
    bool keepsFailedWrite = false; ///< Whether a vote or snapshot whose write fails replaces the one before all the same.
    std::size_t lostWrites = 0; ///< Number of acknowledged writes that a crash loses, as on a disk that does not honor syncs.

    void crash()
    {
        written = durable;
        unsynced.clear();
    }

    /// Makes all writes durable except the latest \c lostWrites ones.
    void sync()
    {
        unsynced.push_back(written);
        while (unsynced.size() > lostWrites) {
            durable = std::move(unsynced.front());
            unsynced.pop_front();
        }
    }

    void wipe() { *this = {}; }
};

/// LogStorage on a FakeDisk. Every write is durable when it returns, unless FakeDisk::lostWrites is set.
class FakeLogStorage : public LogStorage {
public:
    explicit FakeLogStorage(FakeDisk& disk)
        : m_disk(disk)
    {
    }

    std::optional<StoredLog> open(Random& random) override
    {
        if (m_disk.full && (m_wasOpened || m_disk.durable.vote.identity == 0)) {
            m_reason = "No space left on device";
            return std::nullopt;
        }
        m_wasOpened = true;
        m_disk.crash();
        if (m_disk.durable.vote.identity == 0) {
            m_disk.durable.vote.identity = std::max<std::uint64_t>(random(), 1);
            m_disk.crash();
        }
        return m_disk.durable;
    }

    bool saveVote(const VoteRecord& vote) override
    {
        return write([&](StoredLog& log) { log.vote = vote; }, m_disk.keepsFailedWrite);
    }

    bool append(std::span<const LogEntry> entries) override
    {
        return write([&](StoredLog& log) {
            log.entries.resize(entries.front().index - log.snapshot.index - 1);
            log.entries.insert(log.entries.end(), entries.begin(), entries.end());
        },
            false);
    }

    bool saveSnapshot(const LogSnapshot& snapshot, std::span<const LogEntry> remaining) override
    {
        return write([&](StoredLog& log) {
            log.snapshot = snapshot;
            log.entries.assign(remaining.begin(), remaining.end());
        },
            m_disk.keepsFailedWrite);
    }

    bool mayRecover() const override { return true; }
    const std::string& lastReason() const override { return m_reason; }

private:
    template <typename Change>
    bool write(Change&& change, bool survivesFailure)
    {
        if (m_disk.full) {
            m_reason = "No space left on device";
            if (survivesFailure) {
                change(m_disk.written);
                m_disk.sync();
            }
            return false;
        }
        const auto crashes = m_disk.writesUntilCrash == 0;
        m_disk.writesUntilCrash = std::max(m_disk.writesUntilCrash - 1, -1);
        if (crashes && !m_disk.keepsCrashingWrite) {
            throw SimulatedCrash {};
        }
        change(m_disk.written);
        m_disk.sync();
        if (crashes) {
            throw SimulatedCrash {};
        }
        return true;
    }

    FakeDisk& m_disk;
    bool m_wasOpened = false;
    std::string m_reason;
};

} // namespace pw::test
