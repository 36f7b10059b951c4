#include "core/local_claims.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace pw {
namespace {

    /// Released rounds that are stored for one key.
    constexpr std::size_t maxReleasedTokens = 8;

    std::size_t sizeOf(const StoredAnswer& answer)
    {
        const auto add = [](std::size_t sum, const auto& header) { return sum + header.first.size() + header.second.size(); };
        return std::accumulate(answer.headers.begin(), answer.headers.end(), answer.body.size(), add);
    }

    bool inProgress(ClaimState state)
    {
        return state == ClaimState::Claiming || state == ClaimState::Running;
    }

} // namespace

LocalClaims::LocalClaims(LocalClaimLimits limits)
    : m_limits(limits)
{
}

const LocalClaims::Entry* LocalClaims::find(const ClaimKey& key) const
{
    const auto it = m_index.find(key);
    return it == m_index.end() ? nullptr : &*it->second;
}

void LocalClaims::moveToBack(Entries::iterator it)
{
    m_entries.splice(m_entries.end(), m_entries, it);
}

void LocalClaims::beginRound(const ClaimKey& key, std::uint64_t token, TimePoint now)
{
    evict(now);
    const auto [it, added] = m_index.try_emplace(key);
    if (added) {
        it->second = m_entries.emplace(m_entries.end());
    } else {
        moveToBack(it->second);
    }
    auto& entry = *it->second;
    entry.key = key;
    entry.token = token;
    entry.state = ClaimState::Claiming;
    entry.time = now;
}

void LocalClaims::markRunning(const ClaimKey& key)
{
    const auto it = m_index.find(key);
    if (it != m_index.end()) {
        it->second->state = ClaimState::Running;
    }
}

void LocalClaims::markReleased(const ClaimKey& key)
{
    const auto it = m_index.find(key);
    if (it == m_index.end()) {
        return;
    }
    auto& entry = *it->second;
    entry.state = ClaimState::Released;
    entry.releasedTokens.push_back(entry.token);
    if (entry.releasedTokens.size() > maxReleasedTokens) {
        entry.releasedTokens.erase(entry.releasedTokens.begin());
    }
}

void LocalClaims::storeAnswer(const ClaimKey& key, StoredAnswer answer, TimePoint now)
{
    const auto it = m_index.find(key);
    if (it == m_index.end()) {
        return;
    }
    auto& entry = *it->second;
    entry.state = ClaimState::Answered;
    entry.bytes = sizeOf(answer);
    entry.answer = std::move(answer);
    m_answerBytes += entry.bytes;
    moveToBack(it->second);
    evict(now);
}

bool LocalClaims::isReleased(const ClaimKey& key, std::uint64_t token) const
{
    const auto* entry = find(key);
    return entry && std::ranges::find(entry->releasedTokens, token) != entry->releasedTokens.end();
}

ClaimFetchReply LocalClaims::fetchReply(const ClaimKey& key, std::uint64_t token) const
{
    ClaimFetchReply result { key, token, ClaimState::Unknown, {} };
    const auto* entry = find(key);
    if (isReleased(key, token)) {
        result.state = ClaimState::Released;
    } else if (entry && entry->token == token) {
        result.state = entry->state;
        result.answer = entry->answer;
    }
    return result;
}

bool LocalClaims::exceedsLimits(const Entry& oldest, TimePoint now) const
{
    return m_answerBytes > m_limits.answerBytes || m_index.size() > m_limits.claims || now - oldest.time >= m_limits.retention;
}

/// Evicts the oldest claims that have ended; claims in progress stay.
void LocalClaims::evict(TimePoint now)
{
    for (auto n = m_entries.size(); n > 0 && exceedsLimits(m_entries.front(), now); --n) {
        const auto oldest = m_entries.begin();
        if (inProgress(oldest->state)) {
            moveToBack(oldest);
            continue;
        }
        m_answerBytes -= oldest->bytes;
        m_index.erase(oldest->key);
        m_entries.erase(oldest);
    }
}

} // namespace pw
