#pragma once

#include "core/types.h"

#include <cstdint>
#include <string>
#include <vector>

/// Messages between the owner of the rates and the daemons that spend them; see docs/design/rates.md.
namespace pw {

/// State of a daemon's tokens of one workspace, and what it wants. A later ask replaces every earlier one.
struct GrantAsk {
    std::string workspace;
    std::uint64_t sequence = 0; ///< Grows with every ask of the daemon's process.
    std::uint64_t generation = 0; ///< Grant series that the two counters belong to; zero for none.
    std::uint64_t granted = 0; ///< Tokens accepted of this series, less those given back.
    std::uint64_t spent = 0; ///< Tokens spent of this series.
    std::uint32_t want = 0; ///< Unspent tokens that the daemon would like to hold.
    std::uint32_t waiting = 0; ///< Requests that wait for a token now.
};

/// All that one daemon asks at one time.
struct GrantAskBatch {
    std::uint64_t incarnation = 0; ///< Differs at every start of the daemon.
    std::vector<GrantAsk> asks;
};

/// Answer to one ask; more of them follow while tokens accrue for requests that wait.
struct GrantReply {
    std::string workspace;
    std::uint64_t sequence = 0; ///< The ask's.
    std::uint64_t generation = 0; ///< Series of the grant; differs from the ask's when the owner began a new one.
    std::uint64_t granted = 0; ///< Tokens granted in this series so far.
    bool scarce = false; ///< Tokens are short: daemons shall not hold any ahead of demand.
    std::chrono::milliseconds wait { 0 }; ///< Time until everybody who waits now can have a token.
};

/// Answers to one daemon.
struct GrantReplyBatch {
    bool owner = true; ///< False: the sender does not own the rates and has granted nothing.
    std::string leader; ///< Address of the owner as far as the sender knows, else empty.
    std::vector<GrantReply> replies;
};

} // namespace pw
