#include "core/raft_log.h"

#include <algorithm>
#include <cassert>
#include <ranges>

namespace pw {

RaftLog::RaftLog(const StoredLog& stored)
    : m_snapshot(stored.snapshot)
    , m_entries(stored.entries)
{
}

std::uint64_t RaftLog::termAt(std::uint64_t index) const
{
    if (index == m_snapshot.index) {
        return m_snapshot.term;
    }
    if (index < m_snapshot.index || index > lastIndex()) {
        return 0;
    }
    return at(index).term;
}

const LogEntry& RaftLog::at(std::uint64_t index) const
{
    assert(index > m_snapshot.index && index <= lastIndex());
    return m_entries[index - m_snapshot.index - 1];
}

std::vector<LogEntry> RaftLog::slice(std::uint64_t first, std::size_t maxCount, std::size_t maxBytes) const
{
    std::vector<LogEntry> result;
    std::size_t bytes = 0;
    for (auto index = first; index <= lastIndex() && result.size() < maxCount && bytes < maxBytes; ++index) {
        result.push_back(at(index));
        bytes += result.back().data.size();
    }
    return result;
}

void RaftLog::append(std::span<const LogEntry> entries)
{
    if (entries.empty()) {
        return;
    }
    assert(entries.front().index > m_snapshot.index && entries.front().index <= lastIndex() + 1);
    m_entries.resize(entries.front().index - m_snapshot.index - 1);
    m_entries.insert(m_entries.end(), entries.begin(), entries.end());
}

void RaftLog::restore(const LogSnapshot& snapshot)
{
    assert(snapshot.index >= m_snapshot.index);
    std::vector<LogEntry> remaining;
    if (termAt(snapshot.index) == snapshot.term) {
        const auto tail = after(snapshot.index);
        remaining.assign(tail.begin(), tail.end());
    }
    m_snapshot = snapshot;
    m_entries = std::move(remaining);
}

std::span<const LogEntry> RaftLog::after(std::uint64_t index) const
{
    const auto skipped = std::min<std::uint64_t>(index - m_snapshot.index, m_entries.size());
    return std::span(m_entries).subspan(skipped);
}

const std::vector<ControlMemberRecord>& RaftLog::membersAt(std::uint64_t index) const
{
    const auto held = m_entries | std::views::take(index - m_snapshot.index) | std::views::reverse;
    const auto it = std::ranges::find(held, EntryKind::Members, &LogEntry::kind);
    return it == held.end() ? m_snapshot.members : it->members;
}

bool RaftLog::containsChange(std::uint64_t index) const
{
    const auto held = m_entries | std::views::take(index - m_snapshot.index);
    return m_snapshot.index > 0 || std::ranges::find(held, EntryKind::Change, &LogEntry::kind) != held.end();
}

std::uint64_t RaftLog::lastMembersIndex() const
{
    const auto latestFirst = m_entries | std::views::reverse;
    const auto it = std::ranges::find(latestFirst, EntryKind::Members, &LogEntry::kind);
    return it == latestFirst.end() ? m_snapshot.index : it->index;
}

} // namespace pw
