#include "core/claim_book.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace pw {
namespace {

    /// Released rounds that are remembered for one key.
    constexpr std::size_t maxReleasedTokens = 8;

    std::size_t sizeOf(const KeptAnswer& answer)
    {
        const auto add = [](std::size_t sum, const auto& header) { return sum + header.first.size() + header.second.size(); };
        return std::accumulate(answer.headers.begin(), answer.headers.end(), answer.body.size(), add);
    }

    bool inProgress(ClaimState state)
    {
        return state == ClaimState::Claiming || state == ClaimState::Running;
    }

} // namespace

ClaimBook::ClaimBook(ClaimBookLimits limits)
    : m_limits(limits)
{
}

const ClaimBook::Page* ClaimBook::find(const ClaimKey& key) const
{
    const auto it = m_index.find(key);
    return it == m_index.end() ? nullptr : &*it->second;
}

void ClaimBook::touch(Pages::iterator it)
{
    m_pages.splice(m_pages.end(), m_pages, it);
}

void ClaimBook::begin(const ClaimKey& key, std::uint64_t token, TimePoint now)
{
    trim(now);
    const auto [it, added] = m_index.try_emplace(key);
    if (added) {
        it->second = m_pages.emplace(m_pages.end());
    } else {
        touch(it->second);
    }
    auto& page = *it->second;
    page.key = key;
    page.token = token;
    page.state = ClaimState::Claiming;
    page.time = now;
}

void ClaimBook::won(const ClaimKey& key)
{
    const auto it = m_index.find(key);
    if (it != m_index.end()) {
        it->second->state = ClaimState::Running;
    }
}

void ClaimBook::release(const ClaimKey& key)
{
    const auto it = m_index.find(key);
    if (it == m_index.end()) {
        return;
    }
    auto& page = *it->second;
    page.state = ClaimState::Released;
    page.releasedTokens.push_back(page.token);
    if (page.releasedTokens.size() > maxReleasedTokens) {
        page.releasedTokens.erase(page.releasedTokens.begin());
    }
}

void ClaimBook::answered(const ClaimKey& key, KeptAnswer answer, TimePoint now)
{
    const auto it = m_index.find(key);
    if (it == m_index.end()) {
        return;
    }
    auto& page = *it->second;
    page.state = ClaimState::Answered;
    page.bytes = sizeOf(answer);
    page.answer = std::move(answer);
    m_answerBytes += page.bytes;
    touch(it->second);
    trim(now);
}

bool ClaimBook::isReleased(const ClaimKey& key, std::uint64_t token) const
{
    const auto* page = find(key);
    return page && std::ranges::find(page->releasedTokens, token) != page->releasedTokens.end();
}

ClaimFetched ClaimBook::fetch(const ClaimKey& key, std::uint64_t token) const
{
    ClaimFetched result { key, token, ClaimState::Unknown, {} };
    const auto* page = find(key);
    if (isReleased(key, token)) {
        result.state = ClaimState::Released;
    } else if (page && page->token == token) {
        result.state = page->state;
        result.answer = page->answer;
    }
    return result;
}

bool ClaimBook::overfull(const Page& oldest, TimePoint now) const
{
    return m_answerBytes > m_limits.answerBytes || m_index.size() > m_limits.claims || now - oldest.time >= m_limits.retention;
}

/// Forgets the oldest ended claims; those in progress stay.
void ClaimBook::trim(TimePoint now)
{
    for (auto n = m_pages.size(); n > 0 && overfull(m_pages.front(), now); --n) {
        const auto oldest = m_pages.begin();
        if (inProgress(oldest->state)) {
            touch(oldest);
            continue;
        }
        m_answerBytes -= oldest->bytes;
        m_index.erase(oldest->key);
        m_pages.erase(oldest);
    }
}

} // namespace pw
