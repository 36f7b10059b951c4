#pragma once

#include "core/types.h"

#include <cstdint>
#include <string>
#include <vector>

/// Messages between the owner of the rates (the control member that leads) and the daemons that spend tokens; see
/// docs/design/rates.md.
namespace pw {

/// A daemon's request for tokens of one workspace, with its counters. A later request replaces every earlier one.
struct GrantRequest {
    std::string workspace;
    std::uint64_t sequence = 0; ///< Increases with every request of the daemon's process.
    std::uint64_t generation = 0; ///< Grant series that the two counters belong to; zero if none.
    std::uint64_t granted = 0; ///< Tokens accepted in this series, less those returned.
    std::uint64_t spent = 0; ///< Tokens spent in this series.
    std::uint32_t want = 0; ///< Number of unspent tokens that the daemon aims to hold.
    std::uint32_t waiting = 0; ///< Callers' requests that wait for a token now.
};

/// Requests that one daemon sends together, one for each workspace.
struct GrantRequestBatch {
    std::uint64_t incarnation = 0; ///< Differs at every start of the daemon.
    std::vector<GrantRequest> requests;
};

/// Reply to a request of one workspace. Further replies with the same sequence follow as tokens accrue for requests that wait.
struct GrantReply {
    std::string workspace;
    std::uint64_t sequence = 0; ///< Of the request that is replied to.
    std::uint64_t generation = 0; ///< Series of the grant; differs from the request's if the owner began a new one.
    std::uint64_t granted = 0; ///< Total of the tokens granted in this series.
    bool scarce = false; ///< Tokens are in short supply: daemons must not request tokens ahead of demand.
    std::chrono::milliseconds wait { 0 }; ///< Estimated time until every request that waits now can have a token.
};

/// Replies to one daemon.
struct GrantReplyBatch {
    bool owner = true; ///< False: the sender does not own the rates and has granted nothing.
    std::string leader; ///< Address of the owner as last known to the sender; empty if unknown.
    std::vector<GrantReply> replies;
};

} // namespace pw
