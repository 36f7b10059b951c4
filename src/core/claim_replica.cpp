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
        m_initialIncarnations.push_back(m_incarnation);
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
    if (!m_initialIncarnations.empty() || now - m_start >= m_times.retention + m_times.roundLimit) {
        return true;
    }
    return !m_sources.empty() && std::ranges::all_of(m_sources, [](const auto& entry) { return entry.second.done; });
}

std::vector<std::pair<std::string, ClaimRefillRequest>> ClaimReplica::refillRequests(TimePoint now) const
{
    // A round in which this member's previous process voted may still be won by another member's vote. That member's
    // claims are sure to include it only after the round limit.
    const bool settled = now - m_start >= m_times.roundLimit;
    std::vector<std::pair<std::string, ClaimRefillRequest>> requests;
    for (const auto& [address, source] : m_sources) {
        if (!source.done) {
            requests.emplace_back(address, ClaimRefillRequest { m_incarnation, source.cursor, settled });
        }
    }
    return requests;
}

ClaimRefillPage ClaimReplica::makePage(const ClaimRefillRequest& request, std::size_t maxRecords, const std::function<bool(const ClaimKey&)>& filter, TimePoint now) const
{
    ClaimRefillPage page;
    page.requesterIncarnation = request.incarnation;
    page.settled = request.settled;
    page.incarnation = m_incarnation;
    page.ready = m_ready;
    page.firstStart = m_firstStart && !m_ready;
    page.initialIncarnations = m_initialIncarnations;
    page.cursor = request.cursor;
    if (m_ready && request.settled) {
        m_table.fillPage(page, maxRecords, filter, now);
    }
    return page;
}

bool ClaimReplica::addPage(const std::string& from, const ClaimRefillPage& page, TimePoint now)
{
    const auto it = m_sources.find(from);
    if (m_ready || page.requesterIncarnation != m_incarnation || it == m_sources.end() || it->second.done) {
        return false;
    }
    auto& source = it->second;
    if (source.incarnation != page.incarnation) {
        source = { page.incarnation, 0, false, {} };
    }
    source.firstStartSeen = page.firstStart ? now : TimePoint();
    detectInitialStart(page, now);
    if (!page.ready || !page.settled || page.cursor != source.cursor) {
        return false;
    }
    std::ranges::for_each(page.records, [this, now](const ClaimRecord& record) { m_table.restore(record, now); });
    source.cursor = page.next;
    source.done = page.done;
    return !source.done;
}

/// Detects the initial start of the fleet, when every member is at its first start and no claim can have been lost. The
/// members record their incarnations then: an incarnation in this list has lost no claim since.
void ClaimReplica::detectInitialStart(const ClaimRefillPage& page, TimePoint now)
{
    if (!m_firstStart) {
        return;
    }
    if (std::ranges::find(page.initialIncarnations, m_incarnation) != page.initialIncarnations.end()) {
        m_initialIncarnations = page.initialIncarnations;
        return;
    }
    const auto atFirstStart = [this, now](const auto& entry) { return now - entry.second.firstStartSeen < m_times.roundLimit; };
    if (std::ranges::all_of(m_sources, atFirstStart)) {
        m_initialIncarnations = { m_incarnation };
        std::ranges::transform(m_sources, std::back_inserter(m_initialIncarnations), [](const auto& entry) { return entry.second.incarnation; });
    }
}

} // namespace pw
