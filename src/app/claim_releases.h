#pragma once

#include "core/claims.h"
#include "ports/peer_network.h"
#include "ports/timers.h"

#include <list>
#include <set>
#include <string>
#include <vector>

namespace pw {

/// Sends claim releases and repeats each until every replica has confirmed it or the maximum number of attempts is reached.
class ClaimReleases {
public:
    ClaimReleases(PeerNetwork& network, Timers& timers);
    ~ClaimReleases();

    ClaimReleases(const ClaimReleases&) = delete;
    ClaimReleases& operator=(const ClaimReleases&) = delete;

    /// Sends \p release to \p replicas and starts repeating it.
    void add(const ClaimRelease& release, const std::vector<std::string>& replicas);

    /// Handles \p vote, by which \p from confirms a release.
    void confirm(const std::string& from, const ClaimVote& vote);

private:
    struct Pending {
        ClaimRelease release;
        std::set<std::string> unconfirmed; ///< Replicas that have not confirmed.
        int attempts = 0;
    };

    void send(Pending& pending);
    void schedule();
    void resend();

    PeerNetwork& m_network;
    Timers& m_timers;
    std::list<Pending> m_pending;
    TimerId m_timer = 0;
};

} // namespace pw
