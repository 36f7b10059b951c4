#pragma once

#include "core/claim_table.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace pw {

/// Times that rule when a restarted replica may grant again.
struct ClaimReplicaTimes {
    Duration retention {}; ///< Claims older than this no longer count.
    Duration roundLimit {}; ///< A round that began before a restart is decided by this time after it.
};

/// One control member's replica of the claims. After a restart its memory is lost, and it grants nothing until every
/// earlier majority with it is known here again: by refilling from all other members, or after the retention time.
class ClaimReplica {
public:
    /// \param others addresses of the other control members.
    /// \param incarnation differs at every start.
    /// \param firstStart this member has never granted a claim from its data folder.
    ClaimReplica(const std::vector<std::string>& others, std::uint64_t incarnation, bool firstStart, ClaimReplicaTimes times, TimePoint start);

    ClaimVote claim(const std::string& holder, const ClaimRequest& request, TimePoint now);
    void release(const std::string& holder, const ClaimRelease& release, TimePoint now);

    /// \returns whether every earlier majority with this member is known here, so that it may be opened.
    bool complete(TimePoint now) const;

    /// Begins to grant, once complete.
    void open() { m_ready = true; }

    bool ready() const { return m_ready; }

    /// \returns the asks to send now, with the addresses; repeated by the caller while not complete.
    std::vector<std::pair<std::string, ClaimRefillAsk>> refillAsks(TimePoint now) const;

    /// \returns the page that answers \p ask.
    /// \param wanted tells which keys the asking member votes on.
    ClaimRefillPage answer(const ClaimRefillAsk& ask, std::size_t most, const std::function<bool(const ClaimKey&)>& wanted, TimePoint now) const;

    /// Takes in a page. \returns whether more should be asked for at once.
    bool refill(const std::string& from, const ClaimRefillPage& page, TimePoint now);

    const ClaimTable& table() const { return m_table; }

private:
    /// Progress with one other member.
    struct Source {
        std::uint64_t incarnation = 0;
        std::uint64_t cursor = 0;
        bool done = false;
        TimePoint firstStartSeen; ///< When it last said that it is at its first start.
    };

    void noteFounders(const ClaimRefillPage& page, TimePoint now);

    ClaimReplicaTimes m_times;
    TimePoint m_start;
    std::uint64_t m_incarnation;
    bool m_firstStart;
    bool m_ready = false;
    std::vector<std::uint64_t> m_founders;
    std::map<std::string, Source> m_sources;
    ClaimTable m_table;
};

} // namespace pw
