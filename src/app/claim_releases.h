#pragma once

#include "core/claims.h"
#include "ports/peer_network.h"
#include "ports/timers.h"

#include <list>
#include <set>
#include <string>
#include <vector>

namespace pw {

/// Sends releases of claims until every replica has confirmed them, or the tries are used up.
class ClaimReleases {
public:
    ClaimReleases(PeerNetwork& network, Timers& timers);
    ~ClaimReleases();

    ClaimReleases(const ClaimReleases&) = delete;
    ClaimReleases& operator=(const ClaimReleases&) = delete;

    void add(const ClaimRelease& release, const std::vector<std::string>& replicas);

    /// Notes that \p from has confirmed a release.
    void confirmed(const std::string& from, const ClaimVote& vote);

private:
    struct Pending {
        ClaimRelease release;
        std::set<std::string> unconfirmed;
        int tries = 0;
    };

    void send(Pending& pending);
    void schedule();
    void repeat();

    PeerNetwork& m_network;
    Timers& m_timers;
    std::list<Pending> m_pending;
    TimerId m_timer = 0;
};

} // namespace pw
