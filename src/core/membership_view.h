#pragma once

#include "core/view_messages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pw {

/// Timeouts after which servers are hidden or forgotten.
struct MembershipTimeouts {
    Duration lease {}; ///< A daemon attached here lapses when it has not reported for this time.
    Duration memberGrace {}; ///< Servers of a control member are hidden when it has been unresponsive for this time.
    Duration tombstoneRetention {}; ///< Retention time of hidden and lapsed servers.
};

/// One control member's view of all backend servers. The member owns the records of servers whose daemons are attached to
/// it and receives all others from their owners. Visible changes are numbered, so that each daemon is sent only the
/// changes after the position it has reached.
class MembershipView {
public:
    /// \param self address of this member.
    /// \param others addresses of the other control members.
    MembershipView(std::string self, std::vector<std::string> others, MembershipTimeouts times, TimePoint start);

    /// Replaces the addresses of the other control members; the last contact of a new one is set to \p now.
    void setOthers(const std::vector<std::string>& others, TimePoint now);

    /// Handles a report of an attached daemon about its server \p name. \returns false when the daemon has to send the
    /// server's entry because the reported version is not known here.
    bool report(const std::string& name, const DaemonReport& report, TimePoint now);

    /// Merges records owned by another member.
    void merge(const std::string& member, const MemberRecords& records, TimePoint now);

    /// Notes the contact with another member and compares the digest of its records. \returns whether to fetch them.
    bool compareDigest(const std::string& member, const MemberDigest& digest, TimePoint now);

    /// Marks lapsed servers and hides servers of unresponsive members.
    void tick(TimePoint now);

    /// \returns the records owned by this member that changed since the last call.
    std::vector<ViewRecord> takeChanged();

    /// \returns all records owned by this member.
    std::vector<ViewRecord> ownedRecords() const;

    /// \returns the digest of the records owned by \p member, as known here.
    std::uint64_t ownedDigest(const std::string& member) const;

    /// \returns the position of the latest visible change.
    std::uint64_t position() const { return m_position; }

    /// \returns the digest of all visible servers.
    std::uint64_t digest() const { return m_digest; }

    /// \returns whether all visible changes after \p position are still available.
    bool hasChangesAfter(std::uint64_t position) const { return position >= m_prunedPosition && position <= m_position; }

    /// \returns the visible changes after \p position.
    std::vector<ViewChange> changesAfter(std::uint64_t position) const;

    /// \returns all visible servers.
    std::vector<ViewChange> all() const;

    /// \returns whether this member has been up for the grace time, after which it knows every server.
    bool isComplete(TimePoint now) const { return now - m_start >= m_times.memberGrace; }

    /// \returns the record of the server \p name, or null.
    const ViewRecord* find(const std::string& name) const;

    /// \returns whether the server \p name is visible to daemons.
    bool visible(const std::string& name) const;

private:
    struct ServerState {
        ViewRecord record;
        bool hidden = false; ///< Its owner is unresponsive, or it has had no owner for the grace time.
        bool changed = false; ///< Not yet sent to the other members.
        std::uint64_t position = 0; ///< Position of its latest visible change.
        TimePoint lastContact; ///< Last report to this member, or when the record lost its owner.
        TimePoint visibilityChanged; ///< Time of its latest visible change, from which the tombstone time counts.

        bool visible() const { return !record.lapsed && !hidden; }
    };

    void replace(ServerState& item, ViewRecord record, TimePoint now);
    void setLapsed(ServerState& item, bool lapsed, TimePoint now);
    void setHidden(ServerState& item, bool hidden, TimePoint now);
    void updatePosition(ServerState& item, bool wasVisible, std::uint64_t digestBefore, TimePoint now);
    bool isMajorityResponsive(TimePoint now) const;
    bool isHidden(const ServerState& item, bool majority, TimePoint now) const;
    void prune(TimePoint now);

    std::string m_self;
    MembershipTimeouts m_times;
    TimePoint m_start;
    std::map<std::string, TimePoint> m_members; ///< Last contact with each other member.
    std::map<std::string, ServerState> m_servers; ///< By server name.
    std::uint64_t m_position = 0;
    std::uint64_t m_prunedPosition = 0; ///< Changes up to this position may have been discarded.
    std::uint64_t m_digest = 0;
};

} // namespace pw
