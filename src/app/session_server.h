#pragma once

#include "app/control_log.h"
#include "core/session_message.h"

#include <deque>
#include <map>
#include <optional>

namespace pw {

/// Control member's side of the sessions with daemons: tracks attached daemons and sends them changes of the state.
class SessionServer {
public:
    /// Completeness of the applied state, according to the replicated log.
    struct Completeness {
        std::uint64_t cluster = 0;
        std::optional<Duration> age; ///< Time since the state was known to be complete; unset if this member cannot tell.
    };

    SessionServer(PeerNetwork& network, TimePoint now);

    /// Starts from a full state and discards earlier deltas.
    void reset(const FleetImage& image);

    /// Records a change of the state.
    void record(const FleetDelta& delta);

    /// Replies to a request of the daemon at \p from.
    void handle(const PeerAddress& from, const SessionRequest& ask, const FleetImage& image, const Completeness& complete,
        TimePoint now);

    /// Sends every attached daemon the changes recorded since its last message.
    void push(const FleetImage& image, std::uint64_t cluster, TimePoint now);

    /// Stops serving and tells all daemons to use another member, for a planned stop.
    void stopServing(std::uint64_t cluster);

    /// \returns the lowest index applied by the daemons that may hold a validity lease granted here, at most \p applied;
    ///     zero while leases granted before this process started may still be valid.
    std::uint64_t minAppliedIndex(std::uint64_t applied, TimePoint now);

    /// \returns the attached daemons.
    std::vector<SessionStatus> status(TimePoint now) const;

private:
    struct Session {
        std::string name;
        std::uint64_t appliedIndex = 0;
        std::uint64_t version = 0;
        std::uint64_t sentIndex = 0;
        TimePoint lastRequest {};
        TimePoint lastReply {};
    };

    /// Adds the changes that a daemon lacks whose state is at reply.baseIndex.
    void addChanges(SessionReply& reply);
    ConfigurationRecord configurationAt(std::uint64_t index) const;
    const ConfigurationDelta& deltaFrom(const ConfigurationRecord& base);

    PeerNetwork& m_network;
    TimePoint m_earlierLeasesEnd; ///< Leases granted before this process started have expired by then.
    std::uint64_t m_baseIndex = 0; ///< Deltas at or below this index are no longer available.
    ConfigurationRecord m_baseConfiguration; ///< Configuration at m_floor.
    std::deque<FleetDelta> m_deltas;
    std::optional<FleetDelta> m_latestConfiguration; ///< Latest change of the configuration above m_floor.
    std::map<std::uint64_t, ConfigurationDelta> m_configurationDeltas; ///< Deltas to the latest configuration, by base version.
    std::uint64_t m_pushedIndex = 0;
    std::map<PeerAddress, Session> m_sessions;
    bool m_closed = false;
};

} // namespace pw
