#pragma once

#include "app/settings.h"
#include "core/raft.h"
#include "ports/timers.h"

#include <map>

namespace pw {

/// Lets a member without a cluster join one, or bootstrap one when all other members are empty too.
/// With configured seeds, a member that was removed also rejoins, and the first seed bootstraps on its own at first start.
class ClusterJoin {
public:
    ClusterJoin(const Settings& settings, PeerNetwork& network, Timers& timers, Raft& raft);

    /// Sends join requests to known members while this one belongs to no cluster. \returns whether it bootstrapped one.
    bool poll();

    /// Handles a join message. \returns false if \p message is of another kind.
    bool receive(const PeerAddress& from, const RaftMessage& message);

    /// \returns the reason why this member may not bootstrap a cluster now, or nothing when it may.
    std::optional<std::string> bootstrapObstacle() const;

private:
    void sendRequest(const PeerAddress& address);
    void handleRequest(const PeerAddress& from, const RaftMessage& message, const JoinRequest& ask);
    std::vector<PeerAddress> configured() const;
    std::vector<PeerAddress> others() const;

    PeerNetwork& m_network;
    Timers& m_timers;
    Raft& m_raft;
    const Settings& m_settings;
    bool m_usesSeeds; ///< The settings list seeds instead of all control members.
    bool m_bootstraps; ///< Bootstraps on its own once all other seeds have replied that they are empty.
    TimePoint m_nextRequest {};
    std::map<PeerAddress, TimePoint> m_emptyMembers; ///< Time of the last reply of each member that belongs to no cluster.
};

} // namespace pw
