#pragma once

#include "core/claim_table.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace pw {

/// Times that decide when a restarted replica may grant claims again.
struct ClaimReplicaTimes {
    Duration retention {}; ///< Claims expire at this age.
    Duration roundLimit {}; ///< A round that began before a restart is decided this long after the restart at the latest.
};

/// One control member's replica of the claims, kept in memory only. After a restart it grants nothing until it holds
/// again every claim that was won with its previous vote: once it has been refilled from all other members, or once
/// those claims have expired.
class ClaimReplica {
public:
    /// \param others addresses of the other control members.
    /// \param incarnation identifies this process; differs at every start.
    /// \param firstStart this member has never granted a claim with its current data folder.
    ClaimReplica(const std::vector<std::string>& others, std::uint64_t incarnation, bool firstStart, ClaimReplicaTimes times, TimePoint start);

    ClaimVote claim(const std::string& holder, const ClaimRequest& request, TimePoint now);
    void release(const std::string& holder, const ClaimRelease& release, TimePoint now);

    /// \returns whether every claim won with an earlier vote of this member is held here, so that it may grant again.
    bool complete(TimePoint now) const;

    /// Starts granting claims; to be called once complete.
    void startGranting() { m_ready = true; }

    bool ready() const { return m_ready; }

    /// \returns the requests to send now, with their addresses; the caller repeats them while not complete.
    std::vector<std::pair<std::string, ClaimRefillRequest>> refillRequests(TimePoint now) const;

    /// \returns the reply to \p request, with about \p maxRecords claims at most.
    /// \param filter tells whether the requesting member votes on a key.
    ClaimRefillPage makePage(const ClaimRefillRequest& request, std::size_t maxRecords, const std::function<bool(const ClaimKey&)>& filter, TimePoint now) const;

    /// Adds the claims of a received page. \returns whether the following page should be requested at once.
    bool addPage(const std::string& from, const ClaimRefillPage& page, TimePoint now);

    const ClaimTable& table() const { return m_table; }

private:
    /// Progress of the refill from one other member.
    struct Source {
        std::uint64_t incarnation = 0;
        std::uint64_t cursor = 0;
        bool done = false;
        TimePoint firstStartSeen; ///< Time of its last report that it is at its first start; zero if its last page said otherwise.
    };

    void detectInitialStart(const ClaimRefillPage& page, TimePoint now);

    ClaimReplicaTimes m_times;
    TimePoint m_start;
    std::uint64_t m_incarnation;
    bool m_firstStart;
    bool m_ready = false;
    std::vector<std::uint64_t> m_initialIncarnations; ///< Incarnations of all members at the initial start of the fleet.
    std::map<std::string, Source> m_sources;
    ClaimTable m_table;
};

} // namespace pw
