#pragma once

#include "core/view_messages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pw {

/// Times that rule when servers are no longer shown.
struct MembershipTimes {
    Duration lease {}; ///< Silence after which a daemon attached here has lapsed.
    Duration grace {}; ///< Silence of a control member after which the servers that it vouched for are hidden.
    Duration tombstone {}; ///< Time for which lapsed servers are remembered.
};

/// One control member's view of all backend servers. It vouches for those whose daemons are attached to it, and learns
/// the rest from the other members. Every visible change has a position, so that daemons can be sent what they lack.
class MembershipView {
public:
    /// \param self address of this member.
    /// \param others addresses of the other control members.
    MembershipView(std::string self, std::vector<std::string> others, MembershipTimes times, TimePoint start);

    /// Replaces the addresses of the other control members; one that is new counts as heard at \p now.
    void setOthers(const std::vector<std::string>& others, TimePoint now);

    /// Takes a report of the daemon of \p name, attached here. \returns whether its server is known in its version.
    bool report(const std::string& name, const DaemonReport& report, TimePoint now);

    /// Takes records that another member vouches for.
    void merge(const std::string& member, const MemberRecords& records, TimePoint now);

    /// Notes a sign of life of another member, and compares its digest. \returns whether its records should be fetched.
    bool compare(const std::string& member, const MemberDigest& digest, TimePoint now);

    /// Finds lapsed servers and silent members.
    void tick(TimePoint now);

    /// \returns the records that this member vouches for and that changed since the last call.
    std::vector<ViewRecord> takeChanged();

    /// \returns all records that this member vouches for.
    std::vector<ViewRecord> vouched() const;

    /// \returns the digest of the records that \p member vouches for, as known here.
    std::uint64_t vouchedDigest(const std::string& member) const;

    /// \returns the position of the latest visible change.
    std::uint64_t position() const { return m_position; }

    /// \returns the digest of all visible servers.
    std::uint64_t digest() const { return m_digest; }

    /// \returns whether the visible changes after \p position are all remembered.
    bool remembers(std::uint64_t position) const { return position >= m_pruned && position <= m_position; }

    /// \returns the visible changes after \p position.
    std::vector<ViewChange> changesAfter(std::uint64_t position) const;

    /// \returns all visible servers.
    std::vector<ViewChange> all() const;

    /// \returns whether this member has been up long enough to know of every server.
    bool settled(TimePoint now) const { return now - m_start >= m_times.grace; }

    /// \returns the record of the server \p name, or null.
    const ViewRecord* find(const std::string& name) const;

    /// \returns whether daemons are shown the server \p name.
    bool visible(const std::string& name) const;

private:
    struct Item {
        ViewRecord record;
        bool hidden = false; ///< Its member has been silent, or no longer vouches for it.
        bool changed = false; ///< Not shared with the other members yet.
        std::uint64_t position = 0; ///< Of its latest visible change.
        TimePoint heard; ///< Last report here, or when no member vouched for it any more.
        TimePoint removed; ///< Since when it is not visible.

        bool visible() const { return !record.lapsed && !hidden; }
    };

    void replace(Item& item, ViewRecord record, TimePoint now);
    void setLapsed(Item& item, bool lapsed, TimePoint now);
    void setHidden(Item& item, bool hidden, TimePoint now);
    void shown(Item& item, bool wasVisible, std::uint64_t digestBefore, TimePoint now);
    bool majorityHeard(TimePoint now) const;
    bool isHidden(const Item& item, bool majority, TimePoint now) const;
    void prune(TimePoint now);

    std::string m_self;
    MembershipTimes m_times;
    TimePoint m_start;
    std::map<std::string, TimePoint> m_members; ///< When each other member was heard last.
    std::map<std::string, Item> m_items; ///< By name of the server.
    std::uint64_t m_position = 0;
    std::uint64_t m_pruned = 0; ///< Changes up to here may be forgotten.
    std::uint64_t m_digest = 0;
};

} // namespace pw
