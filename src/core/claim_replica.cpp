#include "core/claim_replica.h"

#include <algorithm>

namespace pw {

ClaimReplica::ClaimReplica(const std::vector<std::string>& others, std::uint64_t incarnation, bool firstStart, ClaimReplicaTimes times, TimePoint start)
    : m_times(times)
    , m_start(start)
    , m_incarnation(incarnation)
    , m_firstStart(firstStart)
    , m_table(times.retention)
{
    for (const auto& other : others) {
        m_sources[other] = {};
    }
    if (m_firstStart && m_sources.empty()) {
        m_founders.push_back(m_incarnation);
    }
}

ClaimVote ClaimReplica::claim(const std::string& holder, const ClaimRequest& request, TimePoint now)
{
    if (!m_ready) {
        return { request.key, request.token, ClaimVoteKind::NotReady, {}, 0 };
    }
    return m_table.claim(holder, request, now);
}

void ClaimReplica::release(const std::string& holder, const ClaimRelease& release, TimePoint now)
{
    m_table.release(holder, release, now);
}

bool ClaimReplica::complete(TimePoint now) const
{
    if (!m_founders.empty() || now - m_start >= m_times.retention + m_times.roundLimit) {
        return true;
    }
    return !m_sources.empty() && std::ranges::all_of(m_sources, [](const auto& entry) { return entry.second.done; });
}

std::vector<std::pair<std::string, ClaimRefillAsk>> ClaimReplica::refillAsks(TimePoint now) const
{
    // A round in which this member's earlier process voted may still be waiting for another member's vote; only what
    // that member holds after the round limit shows it.
    const bool settled = now - m_start >= m_times.roundLimit;
    std::vector<std::pair<std::string, ClaimRefillAsk>> asks;
    for (const auto& [address, source] : m_sources) {
        if (!source.done) {
            asks.emplace_back(address, ClaimRefillAsk { m_incarnation, source.cursor, settled });
        }
    }
    return asks;
}

ClaimRefillPage ClaimReplica::answer(const ClaimRefillAsk& ask, std::size_t most, const std::function<bool(const ClaimKey&)>& wanted, TimePoint now) const
{
    ClaimRefillPage page;
    page.asker = ask.incarnation;
    page.settled = ask.settled;
    page.incarnation = m_incarnation;
    page.ready = m_ready;
    page.firstStart = m_firstStart && !m_ready;
    page.founders = m_founders;
    page.cursor = ask.cursor;
    if (m_ready && ask.settled) {
        m_table.fillPage(page, most, wanted, now);
    }
    return page;
}

bool ClaimReplica::refill(const std::string& from, const ClaimRefillPage& page, TimePoint now)
{
    const auto it = m_sources.find(from);
    if (m_ready || page.asker != m_incarnation || it == m_sources.end() || it->second.done) {
        return false;
    }
    auto& source = it->second;
    if (source.incarnation != page.incarnation) {
        source = { page.incarnation, 0, false, {} };
    }
    source.firstStartSeen = page.firstStart ? now : TimePoint();
    noteFounders(page, now);
    if (!page.ready || !page.settled || page.cursor != source.cursor) {
        return false;
    }
    std::ranges::for_each(page.records, [this, now](const ClaimRecord& record) { m_table.restore(record, now); });
    source.cursor = page.next;
    source.done = page.done;
    return !source.done;
}

/// At the very first start of the fleet nothing can have been claimed: every member is at its first start. Those that
/// see this found the replicas; a member that a founder has seen so has lost nothing since.
void ClaimReplica::noteFounders(const ClaimRefillPage& page, TimePoint now)
{
    if (!m_firstStart) {
        return;
    }
    if (std::ranges::find(page.founders, m_incarnation) != page.founders.end()) {
        m_founders = page.founders;
        return;
    }
    const auto recent = [this, now](const auto& entry) { return now - entry.second.firstStartSeen < m_times.roundLimit; };
    if (std::ranges::all_of(m_sources, recent)) {
        m_founders = { m_incarnation };
        std::ranges::transform(m_sources, std::back_inserter(m_founders), [](const auto& entry) { return entry.second.incarnation; });
    }
}

} // namespace pw
