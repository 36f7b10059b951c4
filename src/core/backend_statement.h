#pragma once

#include "core/http_message.h"

#include <optional>
#include <string_view>
#include <vector>

namespace pw {

/// What a backend server states about itself in one answer.
struct BackendStatement {
    std::optional<double> requestsPerSecond; ///< Requests per second that it accepts in total; empty if it states no limit.
    bool leaving = false; ///< It is shutting down and takes no new requests.
    bool readable = true; ///< False if the stated limit is not a valid number; what was known before stays in force.

    bool operator==(const BackendStatement&) const = default;
};

/// Names of the headers of a BackendStatement in one HTTP dialect.
struct StatementHeaders {
    std::string_view rateLimit; ///< Value: a decimal number of requests per second.
    std::string_view leaving; ///< Value: "1" while the server is leaving.
};

/// \returns the statement in \p headers.
BackendStatement readStatement(const std::vector<HeaderLine>& headers, const StatementHeaders& names);

} // namespace pw
