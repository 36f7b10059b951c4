#pragma once

#include "core/types.h"

#include <string>

namespace pw {

/// One finished request of a caller, for logs and metrics.
struct RequestRecord {
    std::string route; ///< Empty when none matched.
    std::string workspace;
    Rank rank;
    Refusal refusal; ///< Reason::None for a whole answer.
    int status = 0;
    Duration latency { 0 };
};

/// One finished run at the backend server, for metrics.
struct RunRecord {
    std::string route;
    Duration wait { 0 }; ///< Before it began.
    Duration run { 0 };
};

} // namespace pw
