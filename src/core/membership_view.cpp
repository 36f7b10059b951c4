#include "core/membership_view.h"

#include <algorithm>
#include <set>
#include <utility>

namespace pw {
namespace {

    /// \returns whether \p later announces the same backend server process that was leaving in \p earlier, as happens when
    /// a late announcement reaches a restarted daemon.
    bool isSameDepartedServer(const ServerEntry& earlier, const ServerEntry& later)
    {
        return earlier.leaving && later.backendIncarnation != 0 && later.backendIncarnation == earlier.backendIncarnation;
    }

} // namespace

MembershipView::MembershipView(std::string self, std::vector<std::string> others, MembershipTimeouts times, TimePoint start)
    : m_self(std::move(self))
    , m_times(times)
    , m_start(start)
{
    std::ranges::for_each(others, [this, start](const auto& other) { m_members[other] = start; });
}

void MembershipView::setOthers(const std::vector<std::string>& others, TimePoint now)
{
    std::map<std::string, TimePoint> members;
    for (const auto& other : others) {
        const auto it = m_members.find(other);
        members[other] = it == m_members.end() ? now : it->second;
    }
    m_members = std::move(members);
}

bool MembershipView::report(const std::string& name, const DaemonReport& report, TimePoint now)
{
    const auto it = m_servers.find(name);
    if (!report.incarnation) {
        if (it != m_servers.end() && it->second.record.owner == m_self) {
            setLapsed(it->second, true, now);
        }
        return true;
    }
    const auto reported = std::tuple(report.incarnation, report.sequence, report.attachment);
    const auto versionOf = [](const ViewRecord& record) { return std::tuple(record.entry.incarnation, record.entry.sequence, record.attachment); };
    const bool known = it != m_servers.end() && versionOf(it->second.record) >= reported;
    if (!known && !report.entry) {
        return false;
    }
    auto& item = m_servers[name];
    item.lastContact = now;
    if (!known) {
        replace(item, { *report.entry, m_self, report.attachment, 0, false }, now);
        item.changed = true;
    } else if (item.record.owner == m_self) {
        setLapsed(item, false, now);
    }
    return true;
}

void MembershipView::merge(const std::string& member, const MemberRecords& records, TimePoint now)
{
    m_members[member] = now;
    std::set<std::string> listed;
    for (const auto& record : records.records) {
        listed.insert(record.entry.name);
        auto& item = m_servers[record.entry.name];
        if (item.record.version() < record.version()) {
            replace(item, record, now);
            item.changed = false;
        }
    }
    if (!records.all) {
        return;
    }
    for (auto& [name, item] : m_servers) {
        if (item.record.owner == member && !listed.contains(name)) {
            item.record.owner.clear(); // Hidden after the grace time unless its daemon attaches again.
            item.lastContact = now;
        }
    }
}

bool MembershipView::compareDigest(const std::string& member, const MemberDigest& digest, TimePoint now)
{
    m_members[member] = now;
    return digest.digest != ownedDigest(member);
}

void MembershipView::replace(ServerState& item, ViewRecord record, TimePoint now)
{
    const bool wasVisible = item.visible() && !item.record.entry.name.empty();
    const auto digestBefore = serverDigest(item.record.entry);
    record.entry.leaving = record.entry.leaving || isSameDepartedServer(item.record.entry, record.entry);
    item.record = std::move(record);
    item.hidden = false;
    updatePosition(item, wasVisible, digestBefore, now);
}

void MembershipView::setLapsed(ServerState& item, bool lapsed, TimePoint now)
{
    if (item.record.lapsed == lapsed) {
        return;
    }
    const bool wasVisible = item.visible();
    item.record.lapsed = lapsed;
    ++item.record.revision;
    item.changed = true;
    updatePosition(item, wasVisible, serverDigest(item.record.entry), now);
}

void MembershipView::setHidden(ServerState& item, bool hidden, TimePoint now)
{
    const bool wasVisible = item.visible();
    item.hidden = hidden;
    updatePosition(item, wasVisible, serverDigest(item.record.entry), now);
}

/// Assigns a new position if the change is visible to daemons; changes of owner or attachment are not.
void MembershipView::updatePosition(ServerState& item, bool wasVisible, std::uint64_t digestBefore, TimePoint now)
{
    const auto digest = serverDigest(item.record.entry);
    if (wasVisible == item.visible() && digest == digestBefore) {
        return;
    }
    m_digest ^= wasVisible ? digestBefore : 0;
    m_digest ^= item.visible() ? digest : 0;
    item.position = ++m_position;
    item.visibilityChanged = now;
}

bool MembershipView::isMajorityResponsive(TimePoint now) const
{
    const auto responsive = std::ranges::count_if(m_members, [this, now](const auto& entry) { return now - entry.second < m_times.memberGrace; });
    const auto size = m_members.size() + 1;
    return static_cast<std::size_t>(responsive) + 1 > size / 2;
}

/// While this member is partitioned from the majority, it does not hide further servers.
bool MembershipView::isHidden(const ServerState& item, bool majority, TimePoint now) const
{
    if (item.record.owner == m_self) {
        return false;
    }
    const auto member = m_members.find(item.record.owner);
    const auto lastContact = member == m_members.end() ? item.lastContact : member->second;
    const bool unresponsive = now - lastContact >= m_times.memberGrace;
    return unresponsive && (majority || item.hidden);
}

void MembershipView::tick(TimePoint now)
{
    const bool majority = isMajorityResponsive(now);
    for (auto& [name, item] : m_servers) {
        if (item.record.owner == m_self && now - item.lastContact >= m_times.lease) {
            setLapsed(item, true, now);
        }
        if (const bool hidden = isHidden(item, majority, now); hidden != item.hidden) {
            setHidden(item, hidden, now);
        }
    }
    prune(now);
}

void MembershipView::prune(TimePoint now)
{
    std::erase_if(m_servers, [this, now](const auto& entry) {
        const auto& item = entry.second;
        const bool outdated = !item.visible() && !item.changed && now - item.visibilityChanged >= m_times.tombstoneRetention;
        m_prunedPosition = outdated ? std::max(m_prunedPosition, item.position) : m_prunedPosition;
        return outdated;
    });
}

std::vector<ViewRecord> MembershipView::takeChanged()
{
    std::vector<ViewRecord> result;
    for (auto& [name, item] : m_servers) {
        if (std::exchange(item.changed, false) && item.record.owner == m_self) {
            result.push_back(item.record);
        }
    }
    return result;
}

std::vector<ViewRecord> MembershipView::ownedRecords() const
{
    std::vector<ViewRecord> result;
    for (const auto& [name, item] : m_servers) {
        if (item.record.owner == m_self) {
            result.push_back(item.record);
        }
    }
    return result;
}

std::uint64_t MembershipView::ownedDigest(const std::string& member) const
{
    std::uint64_t digest = 0;
    for (const auto& [name, item] : m_servers) {
        if (item.record.owner == member && !item.record.lapsed) {
            digest ^= serverDigest(item.record.entry) + item.record.attachment + item.record.revision;
        }
    }
    return digest;
}

std::vector<ViewChange> MembershipView::changesAfter(std::uint64_t position) const
{
    std::vector<ViewChange> result;
    if (position >= m_position) {
        return result;
    }
    for (const auto& [name, item] : m_servers) {
        if (item.position > position) {
            result.push_back({ item.record.entry, !item.visible() });
        }
    }
    return result;
}

std::vector<ViewChange> MembershipView::all() const
{
    std::vector<ViewChange> result;
    for (const auto& [name, item] : m_servers) {
        if (item.visible()) {
            result.push_back({ item.record.entry, false });
        }
    }
    return result;
}

const ViewRecord* MembershipView::find(const std::string& name) const
{
    const auto it = m_servers.find(name);
    return it == m_servers.end() ? nullptr : &it->second.record;
}

bool MembershipView::visible(const std::string& name) const
{
    const auto it = m_servers.find(name);
    return it != m_servers.end() && it->second.visible();
}

} // namespace pw
