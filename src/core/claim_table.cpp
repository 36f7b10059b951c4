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
    return it == m_index.end() ? nullptr : &m_entries[it->second - m_first];
}

void ClaimTable::add(const Entry& entry)
{
    m_index[entry.key] = m_first + m_entries.size();
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
    const auto rivals = m_rivals.find(request.key);
    const auto* taker = entry && (repeated ? entry->released : !entry->released) ? entry : nullptr;
    if (repeated && rivals != m_rivals.end()) {
        taker = &rivals->second.back();
    }
    if (taker) {
        vote.kind = ClaimVoteKind::Taken;
        vote.holder = m_addresses[taker->holder];
        vote.holderToken = taker->token;
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
        releaseRival(holder, release);
    } else if (m_addresses[entry->holder] == holder) {
        entry->released = true;
        promoteRival(*entry);
    }
}

void ClaimTable::releaseRival(const std::string& holder, const ClaimRelease& release)
{
    const auto it = m_rivals.find(release.key);
    if (it == m_rivals.end()) {
        return;
    }
    std::erase_if(it->second, [&](const Entry& rival) { return rival.token == release.token && m_addresses[rival.holder] == holder; });
    if (it->second.empty()) {
        m_rivals.erase(it);
    }
}

void ClaimTable::promoteRival(Entry& entry)
{
    const auto it = m_rivals.find(entry.key);
    if (it == m_rivals.end()) {
        return;
    }
    entry = it->second.back();
    it->second.pop_back();
    if (it->second.empty()) {
        m_rivals.erase(it);
    }
}

void ClaimTable::restore(const ClaimRecord& record, TimePoint now)
{
    const Entry restored { record.key, record.token, now - record.age, holderIndex(record.holder), false };
    const auto* entry = find(record.key);
    if (!entry || entry->released) {
        add(restored);
    } else if (entry->token != record.token) {
        auto& rivals = m_rivals[record.key];
        if (std::ranges::find(rivals, record.token, &Entry::token) == rivals.end()) {
            rivals.push_back(restored);
        }
    }
}

void ClaimTable::fillPage(ClaimRefillPage& page, std::size_t most, const std::function<bool(const ClaimKey&)>& wanted, TimePoint now) const
{
    const auto makeRecord = [this, now](const Entry& entry) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - entry.time);
        return ClaimRecord { entry.key, entry.token, m_addresses[entry.holder], age };
    };
    const auto end = m_first + m_entries.size();
    auto number = std::max(page.cursor, m_first);
    for (; number < end && page.records.size() < most; ++number) {
        const auto& entry = m_entries[number - m_first];
        if (entry.released || m_index.at(entry.key) != number || !wanted(entry.key)) {
            continue;
        }
        page.records.push_back(makeRecord(entry));
        const auto rivals = m_rivals.find(entry.key);
        if (rivals != m_rivals.end()) {
            std::ranges::transform(rivals->second, std::back_inserter(page.records), makeRecord);
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
        const bool counts = it != m_index.end() && it->second == m_first;
        m_entries.pop_front();
        ++m_first;
        if (counts) {
            m_index.erase(it);
            keepRivals(key);
        }
    }
}

/// The rivals of an expired claim are younger or expire next; they take its place.
void ClaimTable::keepRivals(const ClaimKey& key)
{
    const auto it = m_rivals.find(key);
    if (it == m_rivals.end()) {
        return;
    }
    auto rivals = std::move(it->second);
    m_rivals.erase(it);
    add(rivals.back());
    rivals.pop_back();
    if (!rivals.empty()) {
        m_rivals[key] = std::move(rivals);
    }
}

} // namespace pw
