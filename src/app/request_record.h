#pragma once

#include "core/types.h"

#include <optional>
#include <string>

namespace pw {

/// A finished request of a caller, for logs and metrics.
struct RequestRecord {
    std::string route; ///< Empty when none matched.
    std::string workspace;
    Rank rank;
    Refusal refusal; ///< The reason is Reason::None for a whole answer.
    int status = 0;
    Duration latency { 0 };
};

/// A finished run of a call at the backend server, for metrics.
struct RunRecord {
    std::string route;
    Duration wait { 0 }; ///< Time in the queue.
    Duration run { 0 }; ///< Service time.
    std::optional<Duration> work {}; ///< Work time that is reported to entry daemons; empty if it is not.
};

} // namespace pw
