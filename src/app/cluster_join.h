#pragma once

#include "app/settings.h"
#include "core/raft.h"
#include "ports/timers.h"

#include <map>

namespace pw {

/// How a member without a cluster gets into one: it asks to be taken in, or founds one when all others are empty too.
/// With seeds, a member that is no member any more asks as well, and the first seed founds by itself.
class ClusterJoin {
public:
    ClusterJoin(const Settings& settings, PeerNetwork& network, Timers& timers, Raft& raft);

    /// Asks the members that are known, while this one belongs to no cluster. \returns whether it founded one.
    bool work();

    /// Takes in a join message. \returns false when \p message is none.
    bool receive(const PeerAddress& from, const RaftMessage& message);

    /// \returns why this member may not found a cluster now, or nothing when it may.
    std::optional<std::string> whyNotFound() const;

private:
    void ask(const PeerAddress& address);
    void answer(const PeerAddress& from, const RaftMessage& message, const JoinAsk& ask);
    std::vector<PeerAddress> configured() const;
    std::vector<PeerAddress> others() const;

    PeerNetwork& m_network;
    Timers& m_timers;
    Raft& m_raft;
    const Settings& m_settings;
    bool m_seeded; ///< Members are learned, not set.
    bool m_founds; ///< Founds by itself when nobody has anything.
    TimePoint m_askDue {};
    std::map<PeerAddress, TimePoint> m_emptyMembers; ///< When each said that it belongs to no cluster.
};

} // namespace pw
