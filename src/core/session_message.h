#pragma once

#include "core/change.h"
#include "core/fleet_image.h"
#include "core/types.h"

namespace pw {

/// Daemon to control member: renews the validity lease and requests changes of the state.
struct SessionRequest {
    std::uint64_t cluster = 0; ///< Cluster id of the daemon's state; zero requests the full state.
    std::string name; ///< Name of the daemon.
    std::uint64_t appliedIndex = 0;
    std::uint64_t version = 0; ///< Configuration version in use.
    Duration sentAt {}; ///< Daemon's clock; echoed in the reply.
};

/// Delta encoding of a configuration against an earlier version.
struct ConfigurationDelta {
    std::uint64_t index = 0; ///< Index of the log entry.
    std::uint64_t version = 0;
    std::uint64_t baseVersion = 0; ///< Version that the delta applies to.
    std::string encodedDelta; ///< Output of compressText().

    bool operator==(const ConfigurationDelta&) const = default;
};

/// Control member to daemon: reply to a SessionRequest, or pushed when the state has changed.
struct SessionReply {
    std::uint64_t cluster = 0;
    bool serving = false; ///< False if the member cannot serve the state; the daemon should use another member.
    Duration sentAt {}; ///< Echoed from the request; zero if pushed.
    std::optional<Duration> age; ///< Time before the reply at which the state up to index was known to be complete; unset if unknown.
    std::uint64_t baseIndex = 0; ///< Index that the deltas apply to.
    std::uint64_t index = 0; ///< Index applied by the member.
    std::optional<FleetImage> image; ///< Full state, which replaces that of the daemon.
    std::vector<FleetDelta> deltas; ///< Changes other than those of the configuration.
    std::optional<ConfigurationDelta> configuration; ///< Set if the configuration has changed since baseIndex.
};

/// Removes a control member.
struct RemoveMember {
    std::string name;
};

/// Waits until all daemons have applied an index, or can no longer hold a validity lease granted before it.
struct AwaitInForce {
    std::uint64_t index = 0;
};

/// Control member to leader: forwards an operator's request.
struct OperatorForwardRequest {
    std::uint64_t token = 0; ///< Echoed in the reply.
    std::variant<Change, RemoveMember, AwaitInForce> operation;
};

struct OperatorForwardReply {
    std::uint64_t token = 0;
    ChangeResult result;
};

} // namespace pw
