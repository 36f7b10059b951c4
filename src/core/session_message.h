#pragma once

#include "core/change.h"
#include "core/fleet_image.h"
#include "core/types.h"

namespace pw {

/// Daemon to control member: renew the validity lease, send what changed.
struct SessionAsk {
    std::uint64_t cluster = 0; ///< Zero to be sent the whole state, as before the first one.
    std::string name; ///< Of the daemon.
    std::uint64_t appliedIndex = 0;
    std::uint64_t version = 0;
    Duration sentAt {}; ///< On the daemon's clock.
};

/// A configuration as the difference from an earlier one.
struct ConfigurationDifference {
    std::uint64_t index = 0; ///< Of the log entry that made it.
    std::uint64_t version = 0;
    std::uint64_t baseVersion = 0; ///< What it differs from.
    std::string difference; ///< As compressText() made it.

    bool operator==(const ConfigurationDifference&) const = default;
};

/// Control member to daemon, as an answer or unasked when the state changed.
struct SessionReply {
    std::uint64_t cluster = 0;
    bool serving = false; ///< Otherwise the member has nothing to give: ask another.
    Duration sentAt {}; ///< Echo of the ask's; zero when unasked.
    std::optional<Duration> age; ///< The state up to index was complete so long before the reply; nothing: unknown.
    std::uint64_t baseIndex = 0; ///< The deltas follow this index.
    std::uint64_t index = 0; ///< Applied by the member.
    std::optional<FleetImage> image; ///< Replaces the whole state of the daemon.
    std::vector<FleetDelta> deltas; ///< But for the configuration.
    std::optional<ConfigurationDifference> configuration; ///< Set when there is another one than at baseIndex.
};

/// Removes a control member.
struct RemoveMember {
    std::string name;
};

/// Waits until an index is in force everywhere.
struct AwaitInForce {
    std::uint64_t index = 0;
};

/// Control member to leader, for an operator.
struct OperatorAsk {
    std::uint64_t token = 0; ///< Echoed in the reply.
    std::variant<Change, RemoveMember, AwaitInForce> what;
};

struct OperatorReply {
    std::uint64_t token = 0;
    ChangeResult result;
};

} // namespace pw
