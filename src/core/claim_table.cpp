#include "core/claim_table.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pw {

ClaimTable::ClaimTable(Duration retention)
    : m_retention(retention)
{
}

ClaimTable::Entry* ClaimTable::find(const ClaimKey& key)
{
    const auto it = m_index.find(key);
    return it == m_index.end() ? nullptr : &m_entries[it->second - m_firstNumber];
}

void ClaimTable::add(const Entry& entry)
{
    m_index[entry.key] = m_firstNumber + m_entries.size();
    m_entries.push_back(entry);
}

std::uint32_t ClaimTable::holderIndex(const std::string& address)
{
    const auto [it, added] = m_addressIndex.try_emplace(address, static_cast<std::uint32_t>(m_addresses.size()));
    if (added) {
        m_addresses.push_back(address);
    }
    return it->second;
}

ClaimVote ClaimTable::claim(const std::string& holder, const ClaimRequest& request, TimePoint now)
{
    expire(now);
    ClaimVote vote { request.key, request.token, ClaimVoteKind::Granted, {}, 0 };
    const auto* entry = find(request.key);
    const bool repeated = entry && entry->token == request.token;
    const auto conflicts = m_conflicts.find(request.key);
    const auto* blocking = entry && (repeated ? entry->released : !entry->released) ? entry : nullptr;
    if (repeated && conflicts != m_conflicts.end()) {
        blocking = &conflicts->second.back();
    }
    if (blocking) {
        vote.kind = ClaimVoteKind::Taken;
        vote.holder = m_addresses[blocking->holder];
        vote.holderToken = blocking->token;
    } else if (!repeated) {
        add({ request.key, request.token, now, holderIndex(holder), false });
    }
    return vote;
}

void ClaimTable::release(const std::string& holder, const ClaimRelease& release, TimePoint now)
{
    expire(now);
    auto* entry = find(release.key);
    if (!entry) {
        return;
    }
    if (entry->token != release.token) {
        releaseConflict(holder, release);
    } else if (m_addresses[entry->holder] == holder) {
        entry->released = true;
        promoteConflict(*entry);
    }
}

void ClaimTable::releaseConflict(const std::string& holder, const ClaimRelease& release)
{
    const auto it = m_conflicts.find(release.key);
    if (it == m_conflicts.end()) {
        return;
    }
    std::erase_if(it->second, [&](const Entry& conflict) { return conflict.token == release.token && m_addresses[conflict.holder] == holder; });
    if (it->second.empty()) {
        m_conflicts.erase(it);
    }
}

void ClaimTable::promoteConflict(Entry& entry)
{
    const auto it = m_conflicts.find(entry.key);
    if (it == m_conflicts.end()) {
        return;
    }
    entry = it->second.back();
    it->second.pop_back();
    if (it->second.empty()) {
        m_conflicts.erase(it);
    }
}

void ClaimTable::restore(const ClaimRecord& record, TimePoint now)
{
    const Entry restored { record.key, record.token, now - record.age, holderIndex(record.holder), false };
    const auto* entry = find(record.key);
    if (!entry || entry->released) {
        add(restored);
    } else if (entry->token != record.token) {
        auto& conflicts = m_conflicts[record.key];
        if (std::ranges::find(conflicts, record.token, &Entry::token) == conflicts.end()) {
            conflicts.push_back(restored);
        }
    }
}

void ClaimTable::fillPage(ClaimRefillPage& page, std::size_t maxRecords, const std::function<bool(const ClaimKey&)>& filter, TimePoint now) const
{
    const auto makeRecord = [this, now](const Entry& entry) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - entry.time);
        return ClaimRecord { entry.key, entry.token, m_addresses[entry.holder], age };
    };
    const auto end = m_firstNumber + m_entries.size();
    auto number = std::max(page.cursor, m_firstNumber);
    for (; number < end && page.records.size() < maxRecords; ++number) {
        const auto& entry = m_entries[number - m_firstNumber];
        if (entry.released || m_index.at(entry.key) != number || !filter(entry.key)) {
            continue;
        }
        page.records.push_back(makeRecord(entry));
        const auto conflicts = m_conflicts.find(entry.key);
        if (conflicts != m_conflicts.end()) {
            std::ranges::transform(conflicts->second, std::back_inserter(page.records), makeRecord);
        }
    }
    page.next = number;
    page.done = number >= end;
}

void ClaimTable::expire(TimePoint now)
{
    while (!m_entries.empty() && now - m_entries.front().time >= m_retention) {
        const auto key = m_entries.front().key;
        const auto it = m_index.find(key);
        const bool inEffect = it != m_index.end() && it->second == m_firstNumber;
        m_entries.pop_front();
        ++m_firstNumber;
        if (inEffect) {
            m_index.erase(it);
            replaceExpired(key);
        }
    }
}

/// Replaces an expired claim by the conflicting claims on its key, which are newer or expire next.
void ClaimTable::replaceExpired(const ClaimKey& key)
{
    const auto it = m_conflicts.find(key);
    if (it == m_conflicts.end()) {
        return;
    }
    auto conflicts = std::move(it->second);
    m_conflicts.erase(it);
    add(conflicts.back());
    conflicts.pop_back();
    if (!conflicts.empty()) {
        m_conflicts[key] = std::move(conflicts);
    }
}

} // namespace pw
