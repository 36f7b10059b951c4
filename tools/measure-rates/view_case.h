#pragma once

#include <cstddef>

namespace pw::measure {

/// What the membership view costs with so many daemons, each with a server, on three control members.
struct ViewResult {
    double changeBytes = 0; ///< Received by one daemon for one change elsewhere.
    double idleBytes = 0; ///< A second, sent and received by one daemon without changes.
    double idleMessages = 0; ///< A second.
    double memberBytes = 0; ///< A second, of one control member without changes.
    double memberProcessor = 0; ///< Part of a core, of one control member without changes.
    double daemonProcessor = 0; ///< Part of a core, without changes.
    double changeProcessor = 0; ///< Seconds of one control member's core for one change.
    double leaveMillis = 0; ///< From the announcement of a leave until the last daemon knows.
};

/// Runs the view in simulated time.
ViewResult runView(std::size_t daemons);

/// What claims cost.
struct ClaimsResult {
    double bytesPerClaim = 0; ///< Memory of a member's table.
    double claimsPerCore = 0; ///< A second, a member's handling of one claim with its codec.
    double wireBytes = 0; ///< Sent and received by the claiming daemon for one claim on three members.
};

/// Fills one table and runs claims through the codec.
ClaimsResult runClaims(std::size_t claims);

} // namespace pw::measure
