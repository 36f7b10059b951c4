#pragma once

#include "core/types.h"

#include <algorithm>
#include <cstdint>

namespace pw {

/// Outcome of a run at a backend server, as used by concurrency limits and pickers.
enum class RunOutcome : std::uint8_t {
    Ok, ///< Complete answer.
    Failed, ///< The connection was closed, or the answer was truncated or malformed.
    Timeout, ///< No answer by the deadline.
    Refused, ///< The backend server reported that it did not run the request.
    Cancelled, ///< The caller disconnected; implies nothing about the backend server.
    Count
};

/// Measurements of one finished run, from which a concurrency limit adapts.
struct LimitSample {
    Duration serviceTime { 0 }; ///< Time at the backend server, excluding time spent waiting for nested calls where it is known.
    Duration queueDelay { 0 }; ///< Time in the daemon's queue before the run.
    std::uint32_t running = 0; ///< Concurrent runs at the backend server when this one ended, including itself.
    RunOutcome outcome = RunOutcome::Ok;
    Duration heldTime { 0 }; ///< Time at the backend server, including nested calls; zero: serviceTime.
    bool warmingUp = false; ///< The backend server was cold during the run, so its service time is not its usual one.

    /// \returns when the run started, for a run that ended at \p now.
    TimePoint startedAt(TimePoint now) const { return now - std::max(serviceTime, heldTime); }
};

} // namespace pw
